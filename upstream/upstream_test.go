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

// callTimeout bounds each call and each connect.
const callTimeout = 20 * time.Second

// scriptedServer is a server whose responses the test sends piece by piece.
type scriptedServer struct {
	net.Listener
	requests chan receivedRequest
}

// receivedRequest is a request that was received, and the connection on which its response is due.
type receivedRequest struct {
	net.Conn
	path string
}

// serve starts a scripted server, which stops at the end of the test.
func serve(t *testing.T) *scriptedServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &scriptedServer{Listener: ln, requests: make(chan receivedRequest)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					s.requests <- receivedRequest{c, r.URL.Path}
				}
			}()
		}
	}()
	return s
}

// TestResponsesKeepTheirHeads guards against a response that is read with the head of another response. Half of the
// responses are sent up to a head that spans several of netpoll's buffer blocks, then more of their bodies; after that the
// other half are sent.
func TestResponsesKeepTheirHeads(t *testing.T) {
	const calls, first, second = 48, 11 << 10, 20 << 10
	server := serve(t)
	pool := &upstream.Pool{ConnectTimeout: callTimeout}
	defer pool.Close()
	results := make(chan error, calls)
	for i := range calls {
		go func() { results <- call(pool, server.Addr().String(), fmt.Sprintf("/call-%02d", i)) }()
	}
	var all []receivedRequest
	for range calls {
		select {
		case a := <-server.requests:
			defer a.Close()
			all = append(all, a)
		case err := <-results:
			t.Fatalf("a call ended before its response was sent: %v", err)
		}
	}
	send := func(from, to int, requests []receivedRequest) {
		for _, a := range requests {
			text := responseTo(a.path)
			if _, err := a.Write([]byte(text[from:min(to, len(text))])); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	firstHalf, secondHalf := all[:calls/2], all[calls/2:]
	send(0, first, firstHalf)
	send(first, second, firstHalf)
	send(0, first, secondHalf)
	send(second, 1<<20, firstHalf)
	send(first, 1<<20, secondHalf)
	for range calls {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// responseTo returns the response to a path, which contains the path in its fields and its body.
func responseTo(path string) string {
	body := strings.Repeat(path+" ", 30<<10/(len(path)+1))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nLocation: %s\r\nX-Pad: %s\r\nContent-Length: %d\r\n\r\n%s", path, strings.Repeat(path+";", 10<<10/(len(path)+1)), len(body), body)
}

// call sends one request and returns an error if a part of the response belongs to another request.
func call(pool *upstream.Pool, address, path string) error {
	a, fail := send(pool, address, path, false)
	if fail != nil {
		return fmt.Errorf("%s: %w", path, fail)
	}
	defer a.Release()
	if got := string(a.Get("Location")); got != path {
		return fmt.Errorf("%s got a response with the head of %.40q", path, got)
	}
	if rest := strings.ReplaceAll(string(a.Body), path+" ", ""); rest != "" {
		return fmt.Errorf("%s got a response with the body %.40q", path, rest)
	}
	return nil
}

// send sends a GET request through the pool. isHead is passed to Pool.Send.
func send(pool *upstream.Pool, address, path string, isHead bool) (*upstream.Response, *upstream.Failure) {
	request := []byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	return pool.Send(&upstream.Call{}, address, request, time.Now().Add(callTimeout), isHead)
}

// TestResponseEnds guards against a response that is taken for complete, or for failed, because of how it ends: after its
// announced length, with the connection, or prematurely. Some have interim responses before them.
func TestResponseEnds(t *testing.T) {
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
		pool := &upstream.Pool{ConnectTimeout: callTimeout}
		go func() {
			a := <-server.requests
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
