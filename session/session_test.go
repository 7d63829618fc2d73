package session

import (
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
