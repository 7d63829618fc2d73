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

// A link between a proxy and its pilot that ends at the worst moment: whatever happens to it, all proxies are joined by a
// deadline, the rules are kept, no effect comes twice, and when all has ended no goroutine is left (the bubble would say so).
func TestLinks(t *testing.T) {
	const deadline = 12 * time.Second // silence noticed on both sides, and a round of dials
	for name, play := range map[string]func(f *tiny){
		"half open": func(f *tiny) {
			f.road(0).SetCut(true)
			time.Sleep(deadline)
			if info := f.proxies[0].Info(); !strings.Contains(info, "\nPilot: pilot-1\n") {
				f.t.Errorf("the proxy is not with the other pilot: %s", info)
			}
			f.road(0).SetCut(false)
		},
		"half open to both for good, amid changes": func(f *tiny) { // what it does not confirm must not hold up the others
			for _, r := range f.roads[0] {
				r.SetCut(true)
			}
			for i := range 60 {
				f.list.Set(f.entry(0, "ready", float64(2+i%3)))
				time.Sleep(time.Second)
			}
			f.list.Set(f.entry(0, "ready", 9))
			time.Sleep(deadline)
			if s := f.proxies[2].Stat(); !strings.Contains(s, "t0,e0,UP,9,") {
				f.t.Errorf("changes do not come any more: %s", s)
			}
			for _, r := range f.roads[0] {
				r.SetCut(false)
			}
		},
		"half open to both pilots, and a drain": func(f *tiny) {
			for _, r := range f.roads[0] {
				r.SetCut(true)
			}
			time.Sleep(time.Second)
			happenings["drain"](f)
			time.Sleep(20 * time.Second)
			for _, r := range f.roads[0] {
				r.SetCut(false)
			}
		},
		"one direction lost": func(f *tiny) {
			f.road(0).DropDirection(link.Up)
			f.road(1).DropDirection(link.Up)
		},
		"idle for long": func(f *tiny) {
			time.Sleep(20 * time.Minute)
			if n := len(f.streams()); n != 5 { // one was sent on at the start, before its pilot had a list, and came home later
				f.t.Errorf("%d streams in twenty quiet minutes: %v", n, f.streams())
			}
		},
		"between apply and confirm": func(f *tiny) {
			for i := range 6 {
				f.list.Set(f.entry(0, "ready", float64(2+i)))
				f.road(0).BreakAfter(link.Up, 1+i)
				time.Sleep(1500 * time.Millisecond)
			}
		},
		"in the midst of a line down": func(f *tiny) {
			for i := range 30 {
				f.road(i%3).BreakAfter(link.Down, 1+7*i)
				f.list.Set(f.entry(i%4, "ready", float64(1+i%5)))
				time.Sleep(700 * time.Millisecond)
			}
		},
		"in the midst of a block up": func(f *tiny) {
			for i := range 30 {
				f.road(i%3).BreakAfter(link.Up, 1+7*i)
				f.list.Set(f.entry(i%4, "ready", float64(1+i%5)))
				time.Sleep(700 * time.Millisecond)
			}
		},
		"in a join": func(f *tiny) {
			for i := range 30 {
				f.road(0).Break()
				f.road(0).BreakAfter(link.Direction(i%2), 1+5*i)
				time.Sleep(600 * time.Millisecond)
			}
		},
		"in a drain": func(f *tiny) {
			f.road(0).BreakAfter(link.Down, 60)
			happenings["drain"](f)
		},
		"in its pilot's end": func(f *tiny) {
			f.road(0).SetCut(true)
			begin := time.Now()
			f.pilots[0].Stop()
			if took := time.Since(begin); took > deadline {
				f.t.Errorf("the pilot ended after %v", took)
			}
			f.startPilot(0)
			f.road(0).SetCut(false)
		},
		"in its own end": func(f *tiny) {
			f.road(1).SetCut(true)
			begin := time.Now()
			f.proxies[1].Stop(context.Background())
			if took := time.Since(begin); took > deadline {
				f.t.Errorf("the proxy ended after %v", took)
			}
			f.startProxy(1)
			f.road(1).SetCut(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inTiny(t, breach{}, func(f *tiny) {
				play(f)
				time.Sleep(deadline)
				if !f.joined() {
					f.t.Error("not all are joined by the deadline")
				}
				for _, b := range f.check() {
					f.t.Errorf("%+v", b)
				}
				for _, p := range f.proxies {
					if s := p.Stat(); !strings.Contains(s, ",UP,") {
						f.t.Errorf("a proxy is bare: %s", s)
					}
				}
			})
		})
	}
}

// streams are those of the day so far, by proxy and pilot.
func (f *tiny) streams() (out []string) {
	for _, p := range f.tap.Transfers() {
		if p.Direction == link.Up && strings.HasPrefix(string(p.Data), "hello ") {
			out = append(out, fmt.Sprint(p.Link, " ", p.Conn))
		}
	}
	return out
}

// An endpoint that moves its address again and again takes no more messages than the cap allows, and proxies come to where
// it is.
func TestMovesOfAddressesKeepTheCap(t *testing.T) {
	inTiny(t, breach{}, func(f *tiny) {
		for i := range 61 {
			e := f.entry(0, "ready", 1)
			if i%2 == 0 {
				e.Address = netip.MustParseAddrPort("10.0.0.9:80")
			}
			f.list.Set(e)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(f.day.Channel.MessageCapOver.AsDuration())
		for _, b := range f.check() {
			f.t.Errorf("%+v", b)
		}
		if s := f.proxies[0].Stat(); !strings.Contains(s, ",10.0.0.9:80,") {
			f.t.Errorf("the proxy does not know where it is: %s", s)
		}
	})
}

// Proxies of a pilot that ends hear from it where to go before their streams close.
func TestLeaveIsHeard(t *testing.T) {
	for range 20 {
		inTiny(t, breach{}, func(f *tiny) {
			f.pilots[0].Stop()
			heard := 0
			for _, p := range f.tap.Transfers() {
				if p.Direction == link.Down && strings.HasPrefix(string(p.Data), "away ") {
					heard++
				}
			}
			if heard != 3 { // one of them was sent on to it at the start
				f.t.Errorf("%d of 3 were told", heard)
			}
			f.startPilot(0)
		})
	}
}

// A proxy that ends sends its last sums before its stream closes.
func TestLastSums(t *testing.T) {
	for range 20 {
		inTiny(t, breach{}, func(f *tiny) {
			time.Sleep(250 * time.Millisecond) // amid a report period
			begin := time.Since(f.ledger.StartTime())
			f.proxies[2].Stop(context.Background())
			time.Sleep(100 * time.Millisecond)
			heard := false
			for _, p := range f.tap.Transfers() {
				heard = heard || p.Direction == link.Up && p.ReceivedAt >= begin && strings.HasPrefix(p.Link, "stream 2 ") && strings.HasPrefix(string(p.Data), "sums ")
			}
			if !heard {
				f.t.Error("its last sums are lost")
			}
			f.startProxy(2)
		})
	}
}
