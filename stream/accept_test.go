package stream

import (
	"context"
	"testing"
	"time"
)

// TestAcceptDoesNotWait guards against a listener that holds up its poller, and a stop, where nobody waits to be accepted.
func TestAcceptDoesNotWait(t *testing.T) {
	ln, err := NewListener("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if c != nil {
			t.Errorf("it accepted %v", c.RemoteAddr())
		}
		ln.(*listener).acceptRest(context.Background())
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it waits for a connection")
	}
	if err := ln.Close(); err != nil {
		t.Error(err)
	}
}
