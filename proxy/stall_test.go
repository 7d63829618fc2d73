package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"vetchdoor/files"
)

// TestStalledClientHoldsNoServerConnection guards against a client that does not read its answer and keeps a connection to a server
// from others meanwhile.
func TestStalledClientHoldsNoServerConnection(t *testing.T) {
	const ahead = 16
	answered := make(chan struct{}, ahead)
	server := origin(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			_, _ = w.Write(bytes.Repeat([]byte("x"), 1<<20))
			answered <- struct{}{}
			return
		}
		fmt.Fprint(w, "short")
	})
	p := start(t, func(f *files.Proxy) {
		f.Pool.PerServer = 1
		f.Service.OutlierAfter = 0
		for i := range f.Service.OpTypes {
			f.Service.OpTypes[i].OpTimeout = files.Duration(10 * time.Second)
		}
	}, server)
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, strings.Repeat("GET /long HTTP/1.1\r\nHost: h\r\n\r\n", ahead)); err != nil {
		t.Fatal(err)
	}
	quiet := time.NewTimer(time.Second)
	for waiting := true; waiting; { // until no further answer is taken from the server: the client's buffers are full
		select {
		case <-answered:
			quiet.Reset(time.Second)
		case <-quiet.C:
			waiting = false
		}
	}
	if r, body := ask(t, p, "GET /short HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); r.StatusCode != 200 || body != "short" {
		t.Errorf("beside a client that does not read: %d %q", r.StatusCode, body)
	}
}
