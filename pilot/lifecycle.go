package pilot

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"vetchdoor/fleet"
	"vetchdoor/roster"
	"vetchdoor/runtime"
	sessions "vetchdoor/session"
	"vetchdoor/stream"
)

// Start reads the cached list, listens for proxies and people, and follows the list service. If it fails nothing is left of
// the pilot, and Stop and Kill do nothing.
func (p *Pilot) Start() (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	defer func() {
		if err != nil { // nothing runs that an end in order could be posted to
			p.Kill()
		}
	}()
	rng := rand.New(rand.NewPCG(p.host.Seed, uint64(p.file.Instance)))
	p.probes.Net = p.Net
	p.source = &roster.Client{Address: p.file.Roster, Log: p.log, Rand: rng, Net: p.Net,
		Take: func(u *roster.Update) { p.post(func() { p.listed(u) }) }}
	if p.file.Cache != "" {
		version, entries, err := roster.Load(p.file.Cache, p.file.Name)
		if err != nil {
			p.log.Warn("the cached list cannot be used", "error", err)
		}
		for _, e := range entries {
			p.list[e.Endpoint] = e
		}
		if p.version = version; len(entries) > 0 {
			p.fresher = "cache"
			p.log.Warn("runs by its cached list until the list service is heard", "version", version, "servers", len(entries))
		}
		p.saver = newSaver(p.file.Cache, p.file.Name, p.log)
	}
	if err = p.openMoves(); err != nil {
		return err
	}
	var types []string
	for _, t := range p.file.Service.OpTypes {
		types = append(types, t.Name)
	}
	p.records = newRecorder(p.Records, p.file.Name, types, p.run, p.host.Now)
	p.records.began(p.run, "start")
	p.host.Stuck = p.Stuck
	p.host.Fresh()
	if p.ln, err = stream.Listen(p.Net, p.file.Listen, p.accept); err != nil {
		return err
	}
	if p.file.Admin != "" {
		if p.admin, err = sessions.Listen(p.file.Admin, "vetchdoor pilot", p.commands()); err != nil {
			p.admin = nil
			return err
		}
	}
	if err = p.startMembers(); err != nil {
		return err
	}
	p.done.Add(2)
	go func() { defer p.done.Done(); p.source.Run(ctx) }()
	go func() { defer p.done.Done(); p.host.Guard() }()
	p.log.Info("pilot runs", "listen", p.ln.Address(), "run", p.run, "list", len(p.list)) // before the loop owns the list
	p.pace = p.host.After(time.Hour, p.pump)
	p.host.Every(p.facts.ReportInterval, func() {
		for _, e := range p.intake.take(p.facts.ReportInterval) {
			p.host.Event(e)
		}
		p.limitTenants()
	})
	p.host.Every(min(p.silent/4, time.Second), p.watch)
	go p.host.Run()
	return nil
}

// Address is where proxies dial.
func (p *Pilot) Address() string { return p.ln.Address() }

// AdminAddress is where people are served; empty without one.
func (p *Pilot) AdminAddress() string {
	if p.admin == nil {
		return ""
	}
	return p.admin.Address()
}

// Stop ends the pilot in order: no new proxies, streams closed once what left the channel is written.
// Where there are other pilots its proxies are sent to them first, a few at a time.
func (p *Pilot) Stop() {
	if p.cancel == nil { // it was never started
		return
	}
	p.ending.Do(func() {
		p.leave()
		p.cancel()
		ended := make(chan struct{})
		if p.post(func() {
			for c := range p.connections {
				c.stream.CloseGracefully()
			}
			close(ended)
		}) {
			<-ended
			p.ln.Stop()
			if p.admin != nil {
				p.admin.Stop()
			}
		}
		p.end()
		p.log.Info("pilot ended")
	})
}

// leaveStep is how often some are sent away.
const leaveStep = 50 * time.Millisecond

// leave sends the proxies to other pilots, evenly, within the time that the file gives.
func (p *Pilot) leave() {
	all := p.file.LeaveWithin.AsDuration()
	if all <= 0 {
		all = usualLeave
	}
	end := time.Now().Add(all)
	for left := all; left > 0 && len(p.file.Peers) > 0; left = time.Until(end) {
		gone := make(chan bool, 1)
		if !p.post(func() { gone <- p.sendSome(left, all) }) || <-gone {
			return
		}
		time.Sleep(leaveStep)
	}
}

// sendSome sends some proxies away and tells whether none is left.
func (p *Pilot) sendSome(left, all time.Duration) bool {
	p.leaving = true
	var here []*session
	for _, id := range slices.Sorted(maps.Keys(p.sessions)) {
		if s := p.sessions[id]; s.conn != nil {
			here = append(here, s)
		}
	}
	admission := p.admission()
	for _, s := range here[:fleet.LeaveBatch(len(here), left, all, leaveStep)] {
		c := s.conn
		s.conn = nil // dropped, its stream would close before the word is out
		p.sendAway(c, runtime.GoAway{Joined: true, Redirect: admission.Redirect(proxyName(s.id))})
		p.drop(s)
	}
	return len(here) == 0
}

// usualLeave is how long proxies are sent away for.
const usualLeave = 10 * time.Second

// Pause holds the pilot up for a while, as a process that is stopped and goes on; a rehearsal's way of one.
func (p *Pilot) Pause(d time.Duration) {
	p.post(func() {
		select {
		case <-time.After(d):
		case <-p.host.Stopping():
		}
	})
}

// Kill ends the pilot as a killed process would: nothing is said, nothing written.
func (p *Pilot) Kill() {
	if p.cancel == nil {
		return
	}
	p.ending.Do(func() {
		p.cancel()
		p.end()
	})
}

func (p *Pilot) end() {
	p.host.Stop()
	p.closeAll()
}

// closeAll ends what runs beside the loop, as far as it was begun.
func (p *Pilot) closeAll() {
	if p.ln != nil {
		p.ln.Close()
	}
	if p.admin != nil {
		p.admin.Close()
	}
	p.done.Wait()
	p.probes.Close()
	p.records.close()
	if p.members != nil {
		p.members.Close()
	}
	if p.saver != nil {
		p.saver.close()
	}
	if p.mover != nil {
		p.mover.close()
	}
}
