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

// What was kept is there after a close, hostile names too; the newest record of a tenant counts.
func TestKeep(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tenants.db")
	s := open(t, path)
	names := []string{"a", "", strings.Repeat("long ", 1000), "\x00\n;<<", "🗳"}
	want := map[string]tenancy.Record{}
	for i, n := range names {
		for v := range uint64(3) {
			r := tenancy.Record{Tenant: n, Placement: tenancy.Placement{Draw: uint32(i), Pods: []tenancy.PodID{7}}, Number: v, Phase: tenancy.Draining,
				Queued: &tenancy.MoveRequest{Tenant: n, Waits: true}}
			if err := s.Keep(tenancy.StepResult{Records: []tenancy.Record{r}, KnownProxies: []tenancy.ProxyID{1, 2, 3}}, []tenancy.Sentence{{Limit: tenancy.Limit{Tenant: n, Rate: 2, Fenced: true}, Fences: 3}}); err != nil {
				t.Fatal(err)
			}
			want[n] = r
		}
	}
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opened twice: %v", err)
	}
	s.Close()
	kept, err := open(t, path).Load()
	if err != nil || len(kept.Records) != len(names) || !reflect.DeepEqual(kept.KnownProxies, []tenancy.ProxyID{1, 2, 3}) || kept.Born == 0 || len(kept.Sentences) != 1 || kept.Sentences[0].Fences != 3 {
		t.Fatal(kept, err)
	}
	for _, r := range kept.Records {
		if !reflect.DeepEqual(r, want[r.Tenant]) {
			t.Errorf("%+v", r)
		}
	}
}

// A store that is torn, older, newer, empty or something else is refused in one line and left as it is.
func TestRefused(t *testing.T) {
	dir := t.TempDir()
	made := func(name string, change func(tx *bbolt.Tx) error) string {
		path := filepath.Join(dir, name)
		s := open(t, path)
		if err := s.Keep(tenancy.StepResult{Records: []tenancy.Record{{Tenant: "a"}}, KnownProxies: []tenancy.ProxyID{1}}, nil); err != nil {
			t.Fatal(err)
		}
		if err := s.db.Update(change); err != nil {
			t.Fatal(err)
		}
		s.Close()
		return path
	}
	file := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, err := os.ReadFile(made("good", func(tx *bbolt.Tx) error { return nil }))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		made("newer", func(tx *bbolt.Tx) error { return tx.Bucket(about).Put(theForm, []byte{0, 0, 0, 9}) }): "version 9",
		made("older", func(tx *bbolt.Tx) error { return tx.Bucket(about).Put(theForm, []byte{0, 0, 0, 0}) }): "version 0",
		made("no form", func(tx *bbolt.Tx) error { return tx.Bucket(about).Delete(theForm) }):                "torn",
		made("other", func(tx *bbolt.Tx) error {
			for _, b := range [][]byte{about, tenants, proxies} {
				if err := tx.DeleteBucket(b); err != nil {
					return err
				}
			}
			_, err := tx.CreateBucket([]byte("x"))
			return err
		}): "no store of tenants",
		made("torn record", func(tx *bbolt.Tx) error { return tx.Bucket(tenants).Put(key("a"), []byte("12345678{}")) }):     "torn",
		made("torn proxies", func(tx *bbolt.Tx) error { return tx.Bucket(proxies).Put(theKnown, []byte("1234567890[1]")) }): "torn",
		file("empty", nil): "empty file",
		file("text", []byte(strings.Repeat("x", 9000))): "not a store",
		file("half", good[:len(good)/3]):                "",
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
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), path) {
			t.Errorf("%s: %v", filepath.Base(path), err)
		}
		if after, err := os.ReadFile(path); err != nil || len(after) != len(before) {
			t.Errorf("%s was changed: %d bytes, then %d", filepath.Base(path), len(before), len(after))
		}
	}
}

// A Mover that goes on from its store is where it was, step for step.
func TestMoverFromStore(t *testing.T) {
	s := open(t, filepath.Join(t.TempDir(), "tenants.db"))
	waits := tenancy.MoveLimits{WriteLifetime: 1, DedupWindow: 1, MaxHold: 1 << 40}
	m := tenancy.NewMover(waits, 5, nil, nil)
	for id := range tenancy.ProxyID(3) {
		if err := s.Keep(m.Step(0, tenancy.Event{Joined: &tenancy.Joined{Proxy: id}}), nil); err != nil {
			t.Fatal(err)
		}
	}
	d := m.Step(1, tenancy.Event{MoveRequest: &tenancy.MoveRequest{Tenant: "a", To: tenancy.Placement{Draw: 1}}})
	if err := s.Keep(d, nil); err != nil || len(d.Updates) != 3 {
		t.Fatal(err, d)
	}
	kept, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	again := tenancy.NewMover(waits, 5, kept.Records, kept.KnownProxies)
	one, _ := m.Of("a")
	two, ok := again.Of("a")
	if !ok || fmt.Sprint(one) != fmt.Sprint(two) || two.Phase != tenancy.Holding {
		t.Errorf("%+v\n%+v", one, two)
	}
	if moving, _ := again.Moving(0); len(moving) != 1 || len(moving[0].Away) != 3 {
		t.Errorf("%+v", moving)
	}
}
