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

// A pilot that could not start could not be stopped: CI stood still for more than eight minutes, its trace in
// fleet.close, pilot.(*Pilot).Stop, at the receive from "ended". Start had returned an error before the loop ran; Stop posted
// to that loop, which took the post, and waited for it to be carried out.
//
// Here each step of the start fails in turn. The pilot is stopped twice and killed then, and nothing of it is left: its
// address, its store of tenants and its session's address can be had again, and no goroutine stays (goleak, for the package).
func TestStartFails(t *testing.T) {
	at := loopback.Host()
	taken, err := stream.Listen(nil, net.JoinHostPort(at, "0"), func(*stream.Conn) stream.Handler { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	listen, admin := net.JoinHostPort(at, "7001"), net.JoinHostPort(at, "7002")
	for name, spoil := range map[string]func(f *files.Pilot){
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
			spoil(f)
			p := newPilot(t, f)
			p.host.NewDecider = func() host.Decider { return &script{} }
			if err := p.Start(); err == nil {
				t.Error("it started")
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
				t.Fatal("a pilot that could not start cannot be stopped")
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

// One that was never started is stopped too.
func TestStopBeforeStart(t *testing.T) {
	p := newPilot(t, pilotFile("127.0.0.1:1"))
	p.Stop()
	p.Kill()
}
