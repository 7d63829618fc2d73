package serve_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"vetchdoor/http1"
	"vetchdoor/serve"
)

// TestStopWithClientThatDoesNotRead guards against a Stop that waits beyond the end of its context for a client that does
// not read its answer.
func TestStopWithClientThatDoesNotRead(t *testing.T) {
	began := make(chan struct{}, 1)
	long := http1.AppendBody(http1.AppendStatus(nil, 200), bytes.Repeat([]byte("x"), 64<<20))
	s := &serve.Server{Handle: func(c *serve.Conn, m *http1.Message) { began <- struct{}{}; _ = c.Answer(long) }}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c := dial(t, s)
	if _, err := io.WriteString(c, get+get); err != nil {
		t.Fatal(err)
	}
	<-began
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	stopped := make(chan struct{})
	go func() { s.Stop(ctx); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("Stop still waits for the client 10 s after its context ended")
	}
}
