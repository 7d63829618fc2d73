package session

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"vetchdoor/lab/link"
	"vetchdoor/stream"
)

// person is a connection that says when it ended.
type person chan bool

func (p person) Data(*stream.Conn, []byte) {}
func (p person) Closed(*stream.Conn)       { close(p) }

// Sessions that say nothing end, so that they do not keep others out for ever; one that speaks now and then stays.
func TestIdleSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := link.NewMemory(nil)
		l, err := listen(net, "10.0.0.1:1", "test", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		var idle []person
		for range mostSessions - 1 {
			p := make(person)
			if _, err := stream.Dial(net, "10.0.0.1:1", time.Second, p); err != nil {
				t.Fatal(err)
			}
			idle = append(idle, p)
		}
		speaks := make(person)
		c, err := stream.Dial(net, "10.0.0.1:1", time.Second, speaks)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Send([]byte("prompt\n"))
		for range 30 {
			time.Sleep(time.Minute)
			_ = c.Send([]byte("help\n"))
		}
		synctest.Wait()
		for i, p := range idle {
			select {
			case <-p:
			default:
				t.Fatalf("session %d stands idle after half an hour", i)
			}
		}
		select {
		case <-speaks:
			t.Error("one that speaks was ended")
		default:
		}
		c.Close()
	})
}

// A stop answered nothing that was not answered yet: a command whose second half came after it met a closed connection.
// Sessions that stand when a program stops have their next command answered and end after it.
func TestStopAnswersCommands(t *testing.T) {
	l, err := Listen("127.0.0.1:0", "test", nil)
	if err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
	person, half := dial(), dial()
	_, _ = io.WriteString(person, "prompt\n")
	if _, err := bufio.NewReader(person).ReadString('>'); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(half, "he")
	stopped := make(chan struct{})
	go func() { l.Stop(); close(stopped) }()
	for {
		c, err := net.DialTimeout("tcp", l.Address(), 50*time.Millisecond)
		if err != nil {
			break
		}
		c.Close()
	}
	_, _ = io.WriteString(person, "help\n")
	_, _ = io.WriteString(half, "lp\n")
	for name, c := range map[string]net.Conn{"interactive": person, "in halves": half} {
		if b, err := io.ReadAll(c); err != nil || !strings.Contains(string(b), "this text") {
			t.Errorf("%s: %q, %v", name, b, err)
		}
	}
	<-stopped
}
