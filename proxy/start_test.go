package proxy

import (
	"context"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/lab/loopback"
)

// TestStartFails guards against a proxy that cannot be stopped after a failed start: Stop used to dereference a nil pointer,
// or to wait for the goroutine that writes bindings, which had not been started. Each step of Start fails in turn; the proxy
// is then stopped twice and killed, and its listener must be closed.
func TestStartFails(t *testing.T) {
	at := loopback.Host()
	taken, err := net.Listen("tcp", net.JoinHostPort(at, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	listen := net.JoinHostPort(at, "7001")
	for name, spoil := range map[string]func(f *files.Proxy){
		"listen":            func(f *files.Proxy) { f.Listen = taken.Addr().String() },
		"admin":             func(f *files.Proxy) { f.Admin = taken.Addr().String() },
		"admin not allowed": func(f *files.Proxy) { f.Admin = "192.0.2.1:1" },
	} {
		t.Run(name, func(t *testing.T) {
			f := proxyFile("127.0.0.1:1")
			f.Listen = listen
			f.Tenants = &files.Tenants{Header: "X-Tenant", Subset: 1, Bindings: filepath.Join(t.TempDir(), "bindings")}
			spoil(f)
			p, err := New(f, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			if err := p.Start(); err == nil {
				t.Error("Start succeeded")
			}
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				p.Stop(context.Background())
				p.Stop(context.Background())
				p.Kill()
			}()
			select {
			case <-stopped:
			case <-time.After(20 * time.Second):
				t.Fatal("Stop or Kill did not return after a failed start")
			}
			ln, err := net.Listen("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			ln.Close()
		})
	}
}
