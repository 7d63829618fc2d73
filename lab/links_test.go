package lab

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"vetchdoor/lab/link"
)

// TestLinks guards against stream failures at inconvenient moments. Whatever happens to the link between a proxy and its
// pilot, all proxies are joined again by a deadline, no rule is broken and no goroutine remains at the end; synctest fails
// if one does.
func TestLinks(t *testing.T) {
	const deadline = 12 * time.Second // enough for both sides to time out and for one round of dials
	for name, play := range map[string]func(f *simFleet){
		"half open": func(f *simFleet) {
			f.route(0).SetCut(true)
			time.Sleep(deadline)
			if info := f.proxies[0].Info(); !strings.Contains(info, "\nPilot: pilot-1\n") {
				f.t.Errorf("the proxy did not join the other pilot: %s", info)
			}
			f.route(0).SetCut(false)
		},
		// messages that the proxy does not confirm must not block messages to the other proxies
		"half open to both pilots during changes": func(f *simFleet) {
			for _, r := range f.routes[0] {
				r.SetCut(true)
			}
			for i := range 60 {
				f.list.Set(f.entry(0, "ready", float64(2+i%3)))
				time.Sleep(time.Second)
			}
			f.list.Set(f.entry(0, "ready", 9))
			time.Sleep(deadline)
			if s := f.proxies[2].Stat(); !strings.Contains(s, "t0,e0,UP,9,") {
				f.t.Errorf("changes no longer reach another proxy: %s", s)
			}
			for _, r := range f.routes[0] {
				r.SetCut(false)
			}
		},
		"half open to both pilots during a drain": func(f *simFleet) {
			for _, r := range f.routes[0] {
				r.SetCut(true)
			}
			time.Sleep(time.Second)
			eventActions["drain"](f)
			time.Sleep(20 * time.Second)
			for _, r := range f.routes[0] {
				r.SetCut(false)
			}
		},
		"one direction lost": func(f *simFleet) {
			f.route(0).DropDirection(link.Up)
			f.route(1).DropDirection(link.Up)
		},
		"long idle": func(f *simFleet) {
			time.Sleep(20 * time.Minute)
			// one of the three proxies was redirected at the start, when its pilot had no list yet, and returned later
			if n := len(f.helloStreams()); n != 5 {
				f.t.Errorf("%d streams in twenty minutes without changes: %v", n, f.helloStreams())
			}
		},
		"break between apply and confirmation": func(f *simFleet) {
			for i := range 6 {
				f.list.Set(f.entry(0, "ready", float64(2+i)))
				f.route(0).BreakAfter(link.Up, 1+i)
				time.Sleep(1500 * time.Millisecond)
			}
		},
		"break in a line to the proxy": func(f *simFleet) {
			for i := range 30 {
				f.route(i%3).BreakAfter(link.Down, 1+7*i)
				f.list.Set(f.entry(i%4, "ready", float64(1+i%5)))
				time.Sleep(700 * time.Millisecond)
			}
		},
		"break in a block to the pilot": func(f *simFleet) {
			for i := range 30 {
				f.route(i%3).BreakAfter(link.Up, 1+7*i)
				f.list.Set(f.entry(i%4, "ready", float64(1+i%5)))
				time.Sleep(700 * time.Millisecond)
			}
		},
		"break during a join": func(f *simFleet) {
			for i := range 30 {
				f.route(0).Break()
				f.route(0).BreakAfter(link.Direction(i%2), 1+5*i)
				time.Sleep(600 * time.Millisecond)
			}
		},
		"break during a drain": func(f *simFleet) {
			f.route(0).BreakAfter(link.Down, 60)
			eventActions["drain"](f)
		},
		"half open while the pilot stops": func(f *simFleet) {
			f.route(0).SetCut(true)
			begin := time.Now()
			f.pilots[0].Stop()
			if took := time.Since(begin); took > deadline {
				f.t.Errorf("the pilot took %v to stop", took)
			}
			f.startPilot(0)
			f.route(0).SetCut(false)
		},
		"half open while the proxy stops": func(f *simFleet) {
			f.route(1).SetCut(true)
			begin := time.Now()
			f.proxies[1].Stop(context.Background())
			if took := time.Since(begin); took > deadline {
				f.t.Errorf("the proxy took %v to stop", took)
			}
			f.startProxy(1)
			f.route(1).SetCut(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withSimFleet(t, variant{}, func(f *simFleet) {
				play(f)
				time.Sleep(deadline)
				if !f.joined() {
					f.t.Error("not all proxies are joined by the deadline")
				}
				for _, b := range f.check() {
					f.t.Errorf("%+v", b)
				}
				for _, p := range f.proxies {
					if s := p.Stat(); !strings.Contains(s, ",UP,") {
						f.t.Errorf("a proxy has no server to pick: %s", s)
					}
				}
			})
		})
	}
}

// helloStreams returns the link and connection of every stream on which a hello was sent so far.
func (f *simFleet) helloStreams() (out []string) {
	for _, p := range f.tap.Transfers() {
		if p.Direction == link.Up && strings.HasPrefix(string(p.Data), "hello ") {
			out = append(out, fmt.Sprint(p.Link, " ", p.Conn))
		}
	}
	return out
}

// TestMovesOfAddressesKeepTheCap guards against a message for every change of an address: an endpoint changes its address
// 61 times within seconds, the cap on messages still holds, and the proxies end with the latest address.
func TestMovesOfAddressesKeepTheCap(t *testing.T) {
	withSimFleet(t, variant{}, func(f *simFleet) {
		for i := range 61 {
			e := f.entry(0, "ready", 1)
			if i%2 == 0 {
				e.Address = netip.MustParseAddrPort("10.0.0.9:80")
			}
			f.list.Set(e)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(f.day.Channel.MessageCapPeriod.AsDuration())
		for _, b := range f.check() {
			f.t.Errorf("%+v", b)
		}
		if s := f.proxies[0].Stat(); !strings.Contains(s, ",10.0.0.9:80,") {
			f.t.Errorf("the proxy does not have the latest address: %s", s)
		}
	})
}

// TestLeaveIsHeard guards against a pilot that closes its streams before it has sent its proxies the address of another
// pilot.
func TestLeaveIsHeard(t *testing.T) {
	for range 20 {
		withSimFleet(t, variant{}, func(f *simFleet) {
			f.pilots[0].Stop()
			redirected := 0
			for _, p := range f.tap.Transfers() {
				if p.Direction == link.Down && strings.HasPrefix(string(p.Data), "away ") {
					redirected++
				}
			}
			if redirected != 3 { // one of the three proxies was redirected to this pilot at the start
				f.t.Errorf("%d of 3 proxies were redirected", redirected)
			}
			f.startPilot(0)
		})
	}
}

// TestLastSums guards against a proxy that stops without sending the sums of its unfinished report period.
func TestLastSums(t *testing.T) {
	for range 20 {
		withSimFleet(t, variant{}, func(f *simFleet) {
			time.Sleep(250 * time.Millisecond) // in the middle of a report period
			begin := time.Since(f.ledger.StartTime())
			f.proxies[2].Stop(context.Background())
			time.Sleep(100 * time.Millisecond)
			received := false
			for _, p := range f.tap.Transfers() {
				received = received || p.Direction == link.Up && p.ReceivedAt >= begin && strings.HasPrefix(p.Link,
					"stream 2 ") && strings.HasPrefix(string(p.Data), "sums ")
			}
			if !received {
				f.t.Error("the proxy did not send its last sums")
			}
			f.startProxy(2)
		})
	}
}
