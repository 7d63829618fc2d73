// Package store saves the records of tenants in a bbolt file. Save returns once its data is on disk, as bbolt calls fsync
// at the end of each transaction; only then may the binding updates of the same step be sent. Open refuses a file that is
// corrupt, of another version or of another kind, with a one-line error, and leaves it unchanged.
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

// version is the version of the file's layout.
const version = 2

var (
	aboutBucket   = []byte("about")
	tenantsBucket = []byte("tenants")
	proxiesBucket = []byte("proxies")
	versionKey    = []byte("version")
	knownKey      = []byte("known")
	limitsKey     = []byte("limits")
	bornKey       = []byte("born")
)

// Store is an open file.
type Store struct {
	path string
	db   *bbolt.DB
}

// Open opens a file, or creates it if it does not exist. It waits up to a second for another process that has the file
// open.
func Open(path string) (s *Store, err error) {
	s = &Store{path: path}
	defer s.recoverFaults(&err)()
	if err := s.checkSize(); err != nil {
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
	isNew := false
	if err = db.View(func(tx *bbolt.Tx) error { isNew, err = s.check(tx); return err }); err == nil && isNew {
		err = db.Update(createLayout)
	}
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// recoverFaults turns panics of bbolt and faults in its memory map, which corrupt pages cause, into an error.
func (s *Store) recoverFaults(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%s: not a store of tenants, or torn: %v", s.path, p)
		}
	}
}

// checkSize checks a file before bbolt maps it: one that is shorter than the size in its newest meta page is truncated.
func (s *Store) checkSize() error {
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
		return fmt.Errorf("%s: an empty file is not a store of tenants; remove it to create a new store", s.path)
	}
	const magic, header = 0xED0CDAED, 80 // of bbolt's meta pages: the magic number, and the bytes that are read
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
		return fmt.Errorf("%s: truncated: %d bytes of %d", s.path, info.Size(), pages*uint64(size))
	}
	return nil
}

// check validates the layout; isNew reports that the file is new and has no layout yet.
func (s *Store) check(tx *bbolt.Tx) (isNew bool, err error) {
	b := tx.Bucket(aboutBucket)
	if b == nil {
		if k, _ := tx.Cursor().First(); k != nil {
			return false, fmt.Errorf("%s: a bbolt file, but not a store of tenants", s.path)
		}
		return true, nil
	}
	v := b.Get(versionKey)
	if len(v) != 4 || tx.Bucket(tenantsBucket) == nil || tx.Bucket(proxiesBucket) == nil {
		return false, fmt.Errorf("%s: not a store of tenants, or torn", s.path)
	}
	if got := binary.BigEndian.Uint32(v); got != version {
		return false, fmt.Errorf("%s: its layout is version %d, this program reads version %d; the file is left unchanged",
			s.path, got, version)
	}
	if len(b.Get(bornKey)) != 8 {
		return false, fmt.Errorf("%s: not a store of tenants, or torn", s.path)
	}
	return false, nil
}

// createLayout creates the buckets and keys of a new file.
func createLayout(tx *bbolt.Tx) error {
	for _, name := range [][]byte{aboutBucket, tenantsBucket, proxiesBucket} {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	born := uint64(time.Now().UnixMicro())
	if err := tx.Bucket(aboutBucket).Put(bornKey, binary.BigEndian.AppendUint64(nil, born)); err != nil {
		return err
	}
	return tx.Bucket(aboutBucket).Put(versionKey, binary.BigEndian.AppendUint32(nil, version))
}

// encode encodes a value as JSON, preceded by its hash.
func encode(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...), nil
}

// decode verifies the hash of an encoded value and decodes it into v; what names the record in errors.
func (s *Store) decode(what string, b []byte, v any) error {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return fmt.Errorf("%s: the record of %s is torn: its hash does not match", s.path, what)
	}
	if err := json.Unmarshal(b[8:], v); err != nil {
		return fmt.Errorf("%s: cannot decode the record of %s: %w", s.path, what, err)
	}
	return nil
}

// key returns the key of a tenant: its name, or a hash of it where the name is too short or too long for a key of bbolt.
func key(name string) []byte {
	if name == "" || len(name) > 1024 {
		return binary.BigEndian.AppendUint64([]byte{0}, xxhash.Sum64String(name))
	}
	return append([]byte{1}, name...)
}

// Save writes the records and proxies of a step of the Mover, and the limits, in one transaction: on an error, nothing is
// written. limits, if not nil, replaces all limits saved before.
func (s *Store) Save(d tenancy.StepResult, limits []tenancy.LimitRecord) (err error) {
	defer s.recoverFaults(&err)()
	if len(d.Records) == 0 && d.KnownProxies == nil && limits == nil {
		return nil
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		for _, r := range d.Records {
			b, err := encode(r)
			if err != nil {
				return err
			}
			if err := tx.Bucket(tenantsBucket).Put(key(r.Tenant), b); err != nil {
				return err
			}
		}
		if d.KnownProxies != nil {
			if err := put(tx, knownKey, d.KnownProxies); err != nil {
				return err
			}
		}
		if limits != nil {
			return put(tx, limitsKey, limits)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// put saves a value in the bucket of the proxies.
func put(tx *bbolt.Tx, key []byte, v any) error {
	b, err := encode(v)
	if err != nil {
		return err
	}
	return tx.Bucket(proxiesBucket).Put(key, b)
}

// Contents is all that a store holds.
type Contents struct {
	CreatedAt    uint64 // when the store was created, in microseconds since 1970; all update numbers are greater
	Records      []tenancy.Record
	KnownProxies []tenancy.ProxyID

	Limits []tenancy.LimitRecord // limits in force
}

// Load reads the contents. A corrupt record fails the whole load: the placement of a tenant must not be guessed.
func (s *Store) Load() (k Contents, err error) {
	defer s.recoverFaults(&err)()
	err = s.db.View(func(tx *bbolt.Tx) error {
		k.CreatedAt = binary.BigEndian.Uint64(tx.Bucket(aboutBucket).Get(bornKey))
		err := tx.Bucket(tenantsBucket).ForEach(func(key, v []byte) error {
			var r tenancy.Record
			if err := s.decode(fmt.Sprintf("a tenant, key %.40q", key), v, &r); err != nil {
				return err
			}
			k.Records = append(k.Records, r)
			return nil
		})
		if b := tx.Bucket(proxiesBucket).Get(knownKey); err == nil && b != nil {
			err = s.decode("the proxies", b, &k.KnownProxies)
		}
		if b := tx.Bucket(proxiesBucket).Get(limitsKey); err == nil && b != nil {
			err = s.decode("the limits", b, &k.Limits)
		}
		return err
	})
	if err != nil {
		return Contents{}, err
	}
	return k, nil
}

// Close closes the file. The Store must not be used afterwards.
func (s *Store) Close() error { return s.db.Close() }
