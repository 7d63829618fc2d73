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

// TestFinishAfterClose guards against the shutdown of another client's connection: the sweep has found a connection idle for
// too long, its client closes it, and another connection has got its descriptor by the time the sweep calls finish.
func TestFinishAfterClose(t *testing.T) {
	opened, closed := make(chan *Conn, 2), make(chan *Conn, 2)
	s := &Server{Handle: func(c *Conn, m *http1.Message) { _ = c.Answer(PlainText(200, "well")) },
		Accept: func(c *Conn) bool { opened <- c; return true },
		Closed: func(c *Conn) { closed <- c }}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.closeAll()
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
			t.Fatal("the descriptor of the closed connection is still open after 5 s")
		}
		time.Sleep(time.Millisecond)
	}
	duplicateTo(t, other.(*net.TCPConn), fd)
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

// duplicateTo makes the descriptor fd a duplicate of the descriptor of c.
func duplicateTo(t *testing.T, c *net.TCPConn, fd int) {
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

// TestDropInAccept guards against a connection that stays open forever because Accept itself drops it.
func TestDropInAccept(t *testing.T) {
	s := &Server{Handle: func(*Conn, *http1.Message) {}, Accept: func(c *Conn) bool { c.Drop(); return true }}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.closeAll()
	client, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_ = client.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the dropped connection is not closed: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) > 0 {
		t.Errorf("the server still holds %d connections", len(s.conns))
	}
}
