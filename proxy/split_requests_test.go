package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/http1"
	"vetchdoor/lab/sign"
)

// signed returns a large request that carries a number in its path, fields and body.
func signed(number uint64) string {
	b := http1.AppendRequest(nil, []byte("POST"), []byte(sign.Path("/", number)))
	b = sign.AppendFields(http1.AppendField(b, "Host", "h"), number, true)
	return string(http1.AppendBody(b, sign.Body(number, true)))
}

// checkSigned answers with the number in the request, or with status 409 if path, fields and body do not agree on it.
func checkSigned(w http.ResponseWriter, r *http.Request) {
	m := &http1.Message{Target: []byte(r.RequestURI)}
	for name, values := range r.Header {
		m.Fields = append(m.Fields, http1.Field{Name: []byte(name), Value: []byte(values[0])})
	}
	var err error
	m.Body, err = io.ReadAll(r.Body)
	number, mixed := sign.Check(m)
	if err := errors.Join(err, mixed); err != nil {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, err)
		return
	}
	_, _ = w.Write(number)
}

// TestRequestsKeepTheirHeads guards against a request that is forwarded with the head of another client's request, because
// buffers were reused too early. Half of the clients send a head that spans several read buffers, then more of the body;
// then the other half send theirs.
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
		number, text string
		sent         int
	}
	var all []*client
	for i := range clients {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		all = append(all, &client{Conn: c, number: strconv.Itoa(100 + i), text: signed(uint64(100 + i))})
	}
	// send continues each client's request up to byte until, and then gives the proxy time to read it.
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
				t.Errorf("client %s: %v", c.number, err)
				return
			}
			if body, err := io.ReadAll(r.Body); r.StatusCode != 200 || string(body) != c.number {
				t.Errorf("client %s was answered %d: %.200s, %v", c.number, r.StatusCode, body, err)
			}
		})
	}
	answers.Wait()
}
