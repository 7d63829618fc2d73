package serve

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/http1"
)

// TestFinishAfterEnd guards against a connection of another client that is shut down in place of one that ended: the sweep found it
// idle for too long, its client closed it, and its descriptor is another's by the time it is to be finished.
func TestFinishAfterEnd(t *testing.T) {
	opened, closed := make(chan *Conn, 2), make(chan *Conn, 2)
	s := &Server{Handle: func(c *Conn, m *http1.Message) { _ = c.Answer(Plain(200, "well")) },
		Accept: func(c *Conn) bool { opened <- c; return true },
		Closed: func(c *Conn) { closed <- c }}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.end()
	first, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	c := <-opened
	other, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	fd := c.nc.(netpoll.Conn).Fd()
	first.Close()
	<-closed
	var stat syscall.Stat_t
	for end := time.Now().Add(5 * time.Second); syscall.Fstat(fd, &stat) != syscall.EBADF; {
		if time.Now().After(end) {
			t.Fatal("its descriptor stays open")
		}
		time.Sleep(time.Millisecond)
	}
	take(t, other.(*net.TCPConn), fd)
	defer syscall.Close(fd)
	c.finish(idle)
	_ = other.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(other, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatalf("another connection was shut down: %v", err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(other), nil)
	if err != nil {
		t.Fatalf("another connection was shut down: %v", err)
	}
	answer.Body.Close()
}

// take has a descriptor stand for a connection too.
func take(t *testing.T, c *net.TCPConn, fd int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	err = raw.Control(func(own uintptr) { failed = syscall.Dup3(int(own), fd, syscall.O_CLOEXEC) })
	if err := errors.Join(err, failed); err != nil {
		t.Fatal(err)
	}
}

// TestDroppedWhileOpening guards against a connection that is kept for good: whoever is asked whether to take it drops it.
func TestDroppedWhileOpening(t *testing.T) {
	s := &Server{Handle: func(*Conn, *http1.Message) {}, Accept: func(c *Conn) bool { c.Drop(); return true }}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.end()
	client, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_ = client.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("it is not closed: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) > 0 {
		t.Errorf("%d connections are kept", len(s.conns))
	}
}
