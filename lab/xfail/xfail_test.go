package xfail

import "testing"

// heard is a test that is told of failing.
type heard struct {
	testing.TB
	failed bool
}

func (h *heard) Helper()      {}
func (h *heard) Log(...any)   {}
func (h *heard) Error(...any) { h.failed = true }

// A marked test that fails is borne; one that passes fails its mark.
func TestMark(t *testing.T) {
	for _, c := range []struct {
		test func(*T)
		want bool
	}{{func(x *T) { x.Errorf("still there") }, false}, {func(x *T) { x.Fatalf("still there") }, false}, {func(*T) {}, true}} {
		h := &heard{}
		if Fails(h, c.test); h.failed != c.want {
			t.Errorf("the mark failed: %t", h.failed)
		}
	}
}
