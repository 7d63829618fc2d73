package proxy

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/runtime"
	"vetchdoor/session"
)

// People see what a proxy goes by, and may take a server out by hand; what they say wrong is answered in a line.
func TestPeople(t *testing.T) {
	p := start(t, func(f *files.Proxy) { f.Admin = "127.0.0.1:0" }, "127.0.0.1:1", "127.0.0.1:2")
	for _, c := range [][2]string{{"show servers state", "standing e1 127.0.0.1 2 "}, {"show map", "0 "}, {"show levels", " 1 "},
		{"set server */e1 state drain", ""}, {"show stat", "e1,DRAIN"}, {"set server */e1 state ready", ""}, {"show stat", "e1,UP"},
		{"set server t0/e1 weight 3", "weights are the pilot's"}, {"set server", "ends too early"}, {"open sesame", "Unknown command"},
		{strings.Repeat("x ", 70), "more than 64 words"}, {strings.Repeat("x", 20000), "past its bounds"}} {
		got, err := session.Query(p.admin.Address(), c[0], 20*time.Second)
		if err != nil || !strings.Contains(got, c[1]) || c[1] == "" && strings.TrimSpace(got) != "" {
			t.Errorf("%.40s: %q %v", c[0], got, err)
		}
	}
}

// What people do by hand comes between a pilot's messages and takes back none of them.
func TestByHandBetweenMessages(t *testing.T) {
	p := start(t, nil)
	stop, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			words := []string{"set", "server", "*/e7", "state", []string{"drain", "ready"}[i%2]}
			if err := p.setServer(&bytes.Buffer{}, runtime.Command{Words: words}); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	for n := uint64(1); n <= 20000 && !t.Failed(); n++ {
		if err := p.apply(&runtime.Message{Pilot: "q", Run: 1, Number: n}); err != nil {
			t.Error(err)
		}
		if at := p.now.Load().number; at < n {
			t.Errorf("at message %d after %d was applied", at, n)
		}
	}
	close(stop)
	<-done
}
