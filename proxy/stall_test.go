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

// TestStalledClientHoldsNoServerConnection guards against a client that does not read its responses and thereby keeps a
// server connection unavailable to other clients.
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
	for waiting := true; waiting; { // until the client's buffers are full and the proxy takes no further response from the server
		select {
		case <-answered:
			quiet.Reset(time.Second)
		case <-quiet.C:
			waiting = false
		}
	}
	if r, body := ask(t, p, "GET /short HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); r.StatusCode != 200 || body != "short" {
		t.Errorf("op of another client while one client does not read: %d %q", r.StatusCode, body)
	}
}
