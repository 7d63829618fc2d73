package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"vetchdoor/files"
)

// signed is a request whose path, credentials and body bear one sign. Head and body each take several of the blocks in which
// netpoll reads.
func signed(sign string) string {
	pad := strings.Repeat(sign+";", 10<<10/(len(sign)+1))
	body := strings.Repeat(sign+" ", 30<<10/(len(sign)+1))
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nAuthorization: %s\r\nCookie: %s\r\nContent-Length: %d\r\n\r\n%s", sign, sign, pad, len(body), body)
}

// checkSigned answers with the sign that path, credentials and body agree on.
func checkSigned(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	sign := r.Header.Get("Authorization")
	if strings.ReplaceAll(string(body), sign+" ", "") != "" || r.URL.Path != "/"+sign || strings.ReplaceAll(r.Header.Get("Cookie"), sign+";", "") != "" {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprintf(w, "path %s, credentials %s, body %.20q, %v", r.URL.Path, sign, body, err)
		return
	}
	fmt.Fprint(w, sign)
}

// TestRequestsKeepTheirHeads guards against a request that reaches a server under the head of another client's request: half
// of the clients send a head that fills several blocks, then more of the body, upon which the other half send theirs.
func TestRequestsKeepTheirHeads(t *testing.T) {
	const clients, first, second = 48, 11 << 10, 20 << 10
	server := origin(t, checkSigned)
	long := files.Duration(10 * time.Second)
	p := start(t, func(f *files.Proxy) {
		for i := range f.Service.OpTypes {
			f.Service.OpTypes[i].TargetLatency, f.Service.OpTypes[i].OpTimeout = long, long
		}
	}, server)
	type client struct {
		net.Conn
		sign, text string
		sent       int
	}
	var all []*client
	for i := range clients {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		sign := fmt.Sprintf("client-%02d", i)
		all = append(all, &client{Conn: c, sign: sign, text: signed(sign)})
	}
	// send writes on until so much of each request is sent, and leaves the proxy time to read it.
	send := func(until int, clients []*client) {
		for _, c := range clients {
			n, err := io.WriteString(c, c.text[c.sent:min(until, len(c.text))])
			if c.sent += n; err != nil {
				t.Error(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	early, late := all[:clients/2], all[clients/2:]
	send(first, early)
	send(second, early)
	send(first, late)
	var answers sync.WaitGroup
	for _, c := range all {
		answers.Go(func() {
			_, err := io.WriteString(c, c.text[c.sent:])
			r, err2 := http.ReadResponse(bufio.NewReader(c), nil)
			if err := errors.Join(err, err2); err != nil {
				t.Errorf("%s: %v", c.sign, err)
				return
			}
			if body, err := io.ReadAll(r.Body); r.StatusCode != 200 || string(body) != c.sign {
				t.Errorf("%s was answered %d: %.200s, %v", c.sign, r.StatusCode, body, err)
			}
		})
	}
	answers.Wait()
}
