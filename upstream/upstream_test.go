package upstream_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"vetchdoor/lab/leak"
	"vetchdoor/upstream"
)

func TestMain(m *testing.M) { leak.Main(m) }

// patience is how long a call waits for anything.
const patience = 20 * time.Second

// scripted is a server whose answers the test sends piece by piece.
type scripted struct {
	net.Listener
	asked chan asked
}

// asked is a request that came, and the connection on which its answer is due.
type asked struct {
	net.Conn
	path string
}

func serve(t *testing.T) *scripted {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &scripted{Listener: ln, asked: make(chan asked)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					s.asked <- asked{c, r.URL.Path}
				}
			}()
		}
	}()
	return s
}

// TestAnswersKeepTheirHeads guards against an answer that is read under the head of another one: half of the servers send a head
// that fills several of netpoll's blocks, then more of the body, upon which the other half send theirs.
func TestAnswersKeepTheirHeads(t *testing.T) {
	const calls, first, second = 48, 11 << 10, 20 << 10
	server := serve(t)
	pool := &upstream.Pool{ConnectTimeout: patience}
	defer pool.Close()
	results := make(chan error, calls)
	for i := range calls {
		go func() { results <- call(pool, server.Addr().String(), fmt.Sprintf("/call-%02d", i)) }()
	}
	var all []asked
	for range calls {
		select {
		case a := <-server.asked:
			defer a.Close()
			all = append(all, a)
		case err := <-results:
			t.Fatalf("a call ended before its answer was sent: %v", err)
		}
	}
	send := func(from, to int, answers []asked) {
		for _, a := range answers {
			text := answerTo(a.path)
			if _, err := a.Write([]byte(text[from:min(to, len(text))])); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	early, late := all[:calls/2], all[calls/2:]
	send(0, first, early)
	send(first, second, early)
	send(0, first, late)
	send(second, 1<<20, early)
	send(first, 1<<20, late)
	for range calls {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// answerTo is a server's answer to a path, which it bears in its fields and its body.
func answerTo(path string) string {
	body := strings.Repeat(path+" ", 30<<10/(len(path)+1))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nLocation: %s\r\nX-Pad: %s\r\nContent-Length: %d\r\n\r\n%s", path, strings.Repeat(path+";", 10<<10/(len(path)+1)), len(body), body)
}

// call sends one request and says what of its answer is not its own.
func call(pool *upstream.Pool, address, path string) error {
	a, fail := send(pool, address, path, false)
	if fail != nil {
		return fmt.Errorf("%s: %w", path, fail)
	}
	defer a.Release()
	if got := string(a.Get("Location")); got != path {
		return fmt.Errorf("%s was answered under the head of %.40q", path, got)
	}
	if rest := strings.ReplaceAll(string(a.Body), path+" ", ""); rest != "" {
		return fmt.Errorf("%s was answered with %.40q", path, rest)
	}
	return nil
}

// send sends a request.
func send(pool *upstream.Pool, address, path string, head bool) (*upstream.Response, *upstream.Failure) {
	request := []byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	return pool.Send(&upstream.Call{}, address, request, time.Now().Add(patience), head)
}

// TestEndsOfAnswers guards against an answer that is taken for whole, or for lost, by how it ends: by its length, by its
// connection's end, or not at all, with interim answers before it.
func TestEndsOfAnswers(t *testing.T) {
	const interim, length = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	server := serve(t)
	for _, c := range []struct {
		text       string
		head       bool
		body, fail string
	}{
		{interim + interim + length + "well", false, "well", ""},
		{interim + length, true, "", ""},
		{"HTTP/1.1 200 OK\r\n\r\nto the end", false, "to the end", ""},
		{interim + "HTTP/1.1 200 OK\r\n\r\nto the end", false, "to the end", ""},
		{length + "to", false, "", "EOF"},
		{interim, false, "", "EOF"},
		{"HTTP/1.1 2", false, "", "EOF"},
		{"", false, "", "EOF"},
		{"rubbish\r\n\r\n", false, "", "version"},
		{interim + "rubbish\r\n\r\n", false, "", "version"},
	} {
		pool := &upstream.Pool{ConnectTimeout: patience}
		go func() {
			a := <-server.asked
			_, _ = a.Write([]byte(c.text))
			a.Close()
		}()
		a, fail := send(pool, server.Addr().String(), "/", c.head)
		if fail != nil {
			if c.fail == "" || !strings.Contains(fail.Error(), c.fail) || fail.NotSent || fail.Timeout || fail.Cancelled || fail.Stale {
				t.Errorf("%q: %+v", c.text, *fail)
			}
		} else {
			if c.fail != "" || string(a.Body) != c.body {
				t.Errorf("%q: %q", c.text, a.Body)
			}
			a.Release()
		}
		pool.Close()
	}
}
