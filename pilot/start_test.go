package pilot

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/lab/loopback"
	"vetchdoor/pilot/host"
	"vetchdoor/stream"
	"vetchdoor/tenancy/store"
)

// Stop must return if Start failed. It once posted to a loop that never ran, and waited for the post forever.
//
// Each step of Start is made to fail in turn, and the pilot is then stopped twice and killed. Its listening address, its admin
// address and its store of tenants must be free again, and no goroutine may remain (checked by goleak for the package).
func TestStartFails(t *testing.T) {
	at := loopback.Host()
	taken, err := stream.Listen(nil, net.JoinHostPort(at, "0"), func(*stream.Conn) stream.Handler { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	listen, admin := net.JoinHostPort(at, "7001"), net.JoinHostPort(at, "7002")
	for name, breakFile := range map[string]func(f *files.Pilot){
		"store":             func(f *files.Pilot) { f.Moves.Store = t.TempDir() },
		"listen":            func(f *files.Pilot) { f.Listen = taken.Address() },
		"admin":             func(f *files.Pilot) { f.Admin = taken.Address() },
		"admin not allowed": func(f *files.Pilot) { f.Admin = "192.0.2.1:1" },
		"keys":              func(f *files.Pilot) { f.Members = &files.Members{Bind: net.JoinHostPort(at, "7003"), KeyFile: "none"} },
		"members": func(f *files.Pilot) {
			keys := filepath.Join(t.TempDir(), "keys")
			if err := os.WriteFile(keys, []byte("MTIzNDU2Nzg5MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTI=\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			f.Members = &files.Members{Bind: taken.Address(), KeyFile: keys}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := pilotFile("127.0.0.1:1")
			f.Listen, f.Admin, f.Cache = listen, admin, filepath.Join(t.TempDir(), "list.json")
			f.Moves = &files.Moves{Store: filepath.Join(t.TempDir(), "tenants.db")}
			intact := f.Moves.Store
			breakFile(f)
			p := newPilot(t, f)
			p.host.NewDecider = func() host.Decider { return &scriptedModule{} }
			if err := p.Start(); err == nil {
				t.Error("Start succeeded")
			}
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				p.Stop()
				p.Stop()
				p.Kill()
			}()
			select {
			case <-stopped:
			case <-time.After(20 * time.Second):
				t.Fatal("Stop does not return after Start failed")
			}
			for _, address := range []string{listen, admin} {
				ln, err := net.Listen("tcp", address)
				if err != nil {
					t.Error(err)
					continue
				}
				ln.Close()
			}
			s, err := store.Open(intact)
			if err != nil {
				t.Fatal(err)
			}
			s.Close()
		})
	}
}

// Stop and Kill return if Start was never called.
func TestStopBeforeStart(t *testing.T) {
	p := newPilot(t, pilotFile("127.0.0.1:1"))
	p.Stop()
	p.Kill()
}
