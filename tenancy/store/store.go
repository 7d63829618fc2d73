// Package store keeps tenants' records on disk, in one bbolt file. Open is the way in; Keep returns once what it was given
// is on disk, by bbolt's own fsync at the end of each transaction, and only then may the orders that go with it be sent. A
// file that is torn, of another version or of something else is refused with a plain message and left as it is.
package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"vetchdoor/tenancy"
)

// version of the file's layout.
const version = 2

var (
	about     = []byte("about")
	tenants   = []byte("tenants")
	proxies   = []byte("proxies")
	theForm   = []byte("version")
	theKnown  = []byte("known")
	theLimits = []byte("limits")
	theBirth  = []byte("born")
)

// Store is an open file.
type Store struct {
	path string
	db   *bbolt.DB
}

// Open opens a file or makes a new one. Another process that has it open is waited for no longer than a second.
func Open(path string) (s *Store, err error) {
	s = &Store{path: path}
	defer s.guard(&err)()
	if err := s.whole(); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: not a store of tenants, or torn: %w", path, err)
	}
	s.db = db
	fresh := false
	if err = db.View(func(tx *bbolt.Tx) error { fresh, err = s.check(tx); return err }); err == nil && fresh {
		err = db.Update(layOut)
	}
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// guard turns what bbolt does on torn pages, panics and faults of its memory map, into an error.
func (s *Store) guard(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%s: not a store of tenants, or torn: %v", s.path, p)
		}
	}
}

// whole looks a file over before bbolt maps it: one shorter than its newest header says was cut off.
func (s *Store) whole() error {
	f, err := os.Open(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return fmt.Errorf("%s: an empty file is no store of tenants; remove it to begin anew", s.path)
	}
	const magic, header = 0xED0CDAED, 80 // of bbolt's meta pages
	newest, pages, size := uint64(0), uint64(0), int64(0)
	for i := range int64(2) {
		b := make([]byte, header)
		if _, err := f.ReadAt(b, i*max(size, 4096)); err != nil || binary.LittleEndian.Uint32(b[16:]) != magic {
			continue
		}
		size = int64(binary.LittleEndian.Uint32(b[24:]))
		if txid := binary.LittleEndian.Uint64(b[64:]); txid >= newest {
			newest, pages = txid, binary.LittleEndian.Uint64(b[56:])
		}
	}
	if size == 0 {
		return fmt.Errorf("%s: not a store of tenants", s.path)
	}
	if uint64(info.Size()) < pages*uint64(size) {
		return fmt.Errorf("%s: torn: %d bytes of %d", s.path, info.Size(), pages*uint64(size))
	}
	return nil
}

// check looks at the layout; fresh says that the file is new.
func (s *Store) check(tx *bbolt.Tx) (fresh bool, err error) {
	b := tx.Bucket(about)
	if b == nil {
		if k, _ := tx.Cursor().First(); k != nil {
			return false, fmt.Errorf("%s: a bbolt file, but no store of tenants", s.path)
		}
		return true, nil
	}
	v := b.Get(theForm)
	if len(v) != 4 || tx.Bucket(tenants) == nil || tx.Bucket(proxies) == nil {
		return false, fmt.Errorf("%s: not a store of tenants, or torn", s.path)
	}
	if got := binary.BigEndian.Uint32(v); got != version {
		return false, fmt.Errorf("%s: its layout is version %d, this program reads version %d; it is left as it is", s.path, got, version)
	}
	if len(b.Get(theBirth)) != 8 {
		return false, fmt.Errorf("%s: not a store of tenants, or torn", s.path)
	}
	return false, nil
}

func layOut(tx *bbolt.Tx) error {
	for _, name := range [][]byte{about, tenants, proxies} {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	born := uint64(time.Now().UnixMicro())
	if err := tx.Bucket(about).Put(theBirth, binary.BigEndian.AppendUint64(nil, born)); err != nil {
		return err
	}
	return tx.Bucket(about).Put(theForm, binary.BigEndian.AppendUint32(nil, version))
}

// seal writes a value with a hash before it.
func seal(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...), nil
}

func (s *Store) unseal(what string, b []byte, v any) error {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return fmt.Errorf("%s: the record of %s is torn", s.path, what)
	}
	if err := json.Unmarshal(b[8:], v); err != nil {
		return fmt.Errorf("%s: the record of %s: %w", s.path, what, err)
	}
	return nil
}

// key is a tenant's: its name, or the hash of one that bbolt would not take as a key.
func key(name string) []byte {
	if name == "" || len(name) > 1024 {
		return binary.BigEndian.AppendUint64([]byte{0}, xxhash.Sum64String(name))
	}
	return append([]byte{1}, name...)
}

// Keep writes what a step of the Mover hands out, all of it or, on an error, nothing.
// Limits that stand take the place of those kept before where they are not nil.
func (s *Store) Keep(d tenancy.StepResult, limits []tenancy.Sentence) (err error) {
	defer s.guard(&err)()
	if len(d.Records) == 0 && d.KnownProxies == nil && limits == nil {
		return nil
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		for _, r := range d.Records {
			b, err := seal(r)
			if err != nil {
				return err
			}
			if err := tx.Bucket(tenants).Put(key(r.Tenant), b); err != nil {
				return err
			}
		}
		if d.KnownProxies != nil {
			if err := put(tx, theKnown, d.KnownProxies); err != nil {
				return err
			}
		}
		if limits != nil {
			return put(tx, theLimits, limits)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

func put(tx *bbolt.Tx, key []byte, v any) error {
	b, err := seal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(proxies).Put(key, b)
}

// Contents is all that a store holds.
type Contents struct {
	Born         uint64 // microseconds since 1970 at which the store was made: below the numbers of all its orders
	Records      []tenancy.Record
	KnownProxies []tenancy.ProxyID

	Sentences []tenancy.Sentence // limits that stand
}

// Load reads all that was kept. One torn record refuses the whole: a tenant whose place is not known must not be guessed.
func (s *Store) Load() (k Contents, err error) {
	defer s.guard(&err)()
	err = s.db.View(func(tx *bbolt.Tx) error {
		k.Born = binary.BigEndian.Uint64(tx.Bucket(about).Get(theBirth))
		err := tx.Bucket(tenants).ForEach(func(key, v []byte) error {
			var r tenancy.Record
			if err := s.unseal(fmt.Sprintf("a tenant, key %.40q", key), v, &r); err != nil {
				return err
			}
			k.Records = append(k.Records, r)
			return nil
		})
		if b := tx.Bucket(proxies).Get(theKnown); err == nil && b != nil {
			err = s.unseal("the proxies", b, &k.KnownProxies)
		}
		if b := tx.Bucket(proxies).Get(theLimits); err == nil && b != nil {
			err = s.unseal("the limits", b, &k.Sentences)
		}
		return err
	})
	if err != nil {
		return Contents{}, err
	}
	return k, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }
