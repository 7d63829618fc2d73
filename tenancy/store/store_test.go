package store

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"vetchdoor/tenancy"
)

func open(t *testing.T, path string) *Store {
	t.Helper()
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// TestSave checks that what was saved is there after reopening, with unusual names too, and that the newest record of a
// tenant counts.
func TestSave(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tenants.db")
	s := open(t, path)
	names := []string{"a", "", strings.Repeat("long ", 1000), "\x00\n;<<", "🗳"}
	want := map[string]tenancy.Record{}
	for i, n := range names {
		for v := range uint64(3) {
			r := tenancy.Record{Tenant: n, Placement: tenancy.Placement{Draw: uint32(i), Pods: []tenancy.PodID{7}}, Number: v,
				Phase:  tenancy.Draining,
				Queued: &tenancy.MoveRequest{Tenant: n, ManualOpen: true}}
			if err := s.Save(tenancy.StepResult{Records: []tenancy.Record{r}, KnownProxies: []tenancy.ProxyID{1, 2, 3}},
				[]tenancy.LimitRecord{{Limit: tenancy.Limit{Tenant: n, Rate: 2, Fenced: true}, Fences: 3}}); err != nil {
				t.Fatal(err)
			}
			want[n] = r
		}
	}
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("second Open: %v", err)
	}
	s.Close()
	kept, err := open(t, path).Load()
	if err != nil || len(kept.Records) != len(names) || !reflect.DeepEqual(kept.KnownProxies, []tenancy.ProxyID{1, 2, 3}) ||
		kept.CreatedAt == 0 || len(kept.Limits) != 1 || kept.Limits[0].Fences != 3 {
		t.Fatal(kept, err)
	}
	for _, r := range kept.Records {
		if !reflect.DeepEqual(r, want[r.Tenant]) {
			t.Errorf("%+v", r)
		}
	}
}

// TestOpenRefused checks that a file that is corrupt, of an older or newer version, empty or of another kind is refused
// with a one-line error and left unchanged.
func TestOpenRefused(t *testing.T) {
	dir := t.TempDir()
	storeWith := func(name string, change func(tx *bbolt.Tx) error) string {
		path := filepath.Join(dir, name)
		s := open(t, path)
		if err := s.Save(tenancy.StepResult{Records: []tenancy.Record{{Tenant: "a"}}, KnownProxies: []tenancy.ProxyID{1}},
			nil); err != nil {
			t.Fatal(err)
		}
		if err := s.db.Update(change); err != nil {
			t.Fatal(err)
		}
		s.Close()
		return path
	}
	fileWith := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, err := os.ReadFile(storeWith("good", func(tx *bbolt.Tx) error { return nil }))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		storeWith("newer", func(tx *bbolt.Tx) error {
			return tx.Bucket(aboutBucket).Put(versionKey, []byte{0, 0, 0, 9})
		}): "version 9",
		storeWith("older", func(tx *bbolt.Tx) error {
			return tx.Bucket(aboutBucket).Put(versionKey, []byte{0, 0, 0, 0})
		}): "version 0",
		storeWith("no form", func(tx *bbolt.Tx) error { return tx.Bucket(aboutBucket).Delete(versionKey) }): "torn",
		storeWith("other", func(tx *bbolt.Tx) error {
			for _, b := range [][]byte{aboutBucket, tenantsBucket, proxiesBucket} {
				if err := tx.DeleteBucket(b); err != nil {
					return err
				}
			}
			_, err := tx.CreateBucket([]byte("x"))
			return err
		}): "but not a store of tenants",
		storeWith("torn record", func(tx *bbolt.Tx) error {
			return tx.Bucket(tenantsBucket).Put(key("a"), []byte("12345678{}"))
		}): "torn",
		storeWith("torn proxies", func(tx *bbolt.Tx) error {
			return tx.Bucket(proxiesBucket).Put(knownKey, []byte("1234567890[1]"))
		}): "torn",
		fileWith("empty", nil):                              "empty file",
		fileWith("text", []byte(strings.Repeat("x", 9000))): "not a store",
		fileWith("half", good[:len(good)/3]):                "",
	} {
		before, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Open(path)
		if err == nil {
			_, err = s.Load()
			s.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") ||
			!strings.HasPrefix(err.Error(), path) {
			t.Errorf("%s: %v", filepath.Base(path), err)
		}
		if after, err := os.ReadFile(path); err != nil || len(after) != len(before) {
			t.Errorf("%s has changed from %d to %d bytes", filepath.Base(path), len(before), len(after))
		}
	}
}

// TestMoverFromStore checks that a Mover created from its store continues where the old one was.
func TestMoverFromStore(t *testing.T) {
	s := open(t, filepath.Join(t.TempDir(), "tenants.db"))
	waits := tenancy.MoveLimits{WriteLifetime: 1, DedupWindow: 1, MaxHold: 1 << 40}
	m := tenancy.NewMover(waits, 5, nil, nil)
	for id := range tenancy.ProxyID(3) {
		if err := s.Save(m.Step(0, tenancy.Event{Joined: &tenancy.Joined{Proxy: id}}), nil); err != nil {
			t.Fatal(err)
		}
	}
	d := m.Step(1, tenancy.Event{MoveRequest: &tenancy.MoveRequest{Tenant: "a", To: tenancy.Placement{Draw: 1}}})
	if err := s.Save(d, nil); err != nil || len(d.Updates) != 3 {
		t.Fatal(err, d)
	}
	kept, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	again := tenancy.NewMover(waits, 5, kept.Records, kept.KnownProxies)
	one, _ := m.RecordOf("a")
	two, ok := again.RecordOf("a")
	if !ok || fmt.Sprint(one) != fmt.Sprint(two) || two.Phase != tenancy.Holding {
		t.Errorf("%+v\n%+v", one, two)
	}
	if moving, _ := again.ActiveMoves(0); len(moving) != 1 || len(moving[0].Disconnected) != 3 {
		t.Errorf("%+v", moving)
	}
}
