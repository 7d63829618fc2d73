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

// Start reads the cached list, opens the listeners for proxies and for admin commands, and follows the list service. If it
// fails, everything it opened is closed again, and Stop and Kill do nothing.
func (p *Pilot) Start() (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	defer func() {
		if err != nil { // the loop does not run, so Stop could not post to it
			p.Kill()
		}
	}()
	rng := rand.New(rand.NewPCG(p.host.Seed, uint64(p.file.Instance)))
	p.probePool.Net = p.Net
	p.source = &roster.Client{Address: p.file.Roster, Log: p.log, Rand: rng, Net: p.Net,
		OnUpdate: func(u *roster.Update) { p.post(func() { p.applyListUpdate(u) }) }}
	if p.file.Cache != "" {
		version, entries, err := roster.Load(p.file.Cache, p.file.Name)
		if err != nil {
			p.log.Warn("cached list cannot be read; starting without it", "error", err)
		}
		for _, e := range entries {
			p.list[e.Endpoint] = e
		}
		if p.listVersion = version; len(entries) > 0 {
			p.listOrigin = "cache"
			p.log.Warn("using the cached list until the list service answers", "version", version, "servers", len(entries))
		}
		p.listCache = newListCache(p.file.Cache, p.file.Name, p.log)
	}
	if err = p.openMoves(); err != nil {
		return err
	}
	var types []string
	for _, t := range p.file.Service.OpTypes {
		types = append(types, t.Name)
	}
	p.records = newRecorder(p.Records, p.file.Name, types, p.run, p.host.Now)
	p.records.recordStart(p.run, "start")
	p.host.OnStuck = p.OnStuck
	p.host.StartModule()
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
	p.background.Add(2)
	go func() { defer p.background.Done(); p.source.Run(ctx) }()
	go func() { defer p.background.Done(); p.host.RunWatchdog() }()
	p.log.Info("pilot runs", "listen", p.ln.Address(), "run", p.run, "list", len(p.list)) // reads p.list before the loop owns it
	p.sendTimer = p.host.After(time.Hour, p.pump)
	p.host.Every(p.config.ReportInterval, func() {
		for _, e := range p.intake.drain(p.config.ReportInterval) {
			p.host.Enqueue(e)
		}
		p.limitTenants()
	})
	p.host.Every(min(p.silenceTimeout/4, time.Second), p.checkConnections)
	p.host.Every(firstConfirmationTimeout/8, p.dropUnconfirming)
	go p.host.Run()
	return nil
}

// Address returns the address on which the pilot listens for proxies.
func (p *Pilot) Address() string { return p.ln.Address() }

// AdminAddress returns the address of the admin listener, or "" if there is none.
func (p *Pilot) AdminAddress() string {
	if p.admin == nil {
		return ""
	}
	return p.admin.Address()
}

// Stop shuts the pilot down gracefully. It redirects the proxies to the pilot's peers in batches, if there are any, then stops
// accepting streams and closes each stream once the messages sent on it are written. Messages still in the channel are lost.
func (p *Pilot) Stop() {
	if p.cancel == nil { // never started
		return
	}
	p.stopOnce.Do(func() {
		p.redirectProxies()
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
		p.shutdown()
		p.log.Info("pilot stopped")
	})
}

// redirectInterval is the time between two batches of redirected proxies.
const redirectInterval = 50 * time.Millisecond

// redirectProxies redirects the connected proxies to the pilot's peers in even batches, within the leave_within time of the
// pilot's file.
func (p *Pilot) redirectProxies() {
	total := p.file.LeaveWithin.AsDuration()
	if total <= 0 {
		total = defaultLeaveWithin
	}
	end := time.Now().Add(total)
	for left := total; left > 0 && len(p.file.Peers) > 0; left = time.Until(end) {
		done := make(chan bool, 1)
		if !p.post(func() { done <- p.redirectBatch(left, total) }) || <-done {
			return
		}
		time.Sleep(redirectInterval)
	}
}

// redirectBatch redirects the next batch of connected proxies and reports whether none was connected; left is what remains of
// the total time.
func (p *Pilot) redirectBatch(left, total time.Duration) bool {
	p.leaving = true
	var connected []*session
	for _, id := range slices.Sorted(maps.Keys(p.sessions)) {
		if s := p.sessions[id]; s.conn != nil {
			connected = append(connected, s)
		}
	}
	admission := p.admission()
	for _, s := range connected[:fleet.LeaveBatch(len(connected), left, total, redirectInterval)] {
		c := s.conn
		s.conn = nil // drop would close the stream before the redirect is written
		p.sendGoAway(c, runtime.GoAway{Joined: true, Redirect: admission.Redirect(proxyName(s.id))})
		p.drop(s)
	}
	return len(connected) == 0
}

// defaultLeaveWithin is the time within which proxies are redirected where the pilot's file gives none.
const defaultLeaveWithin = 10 * time.Second

// Pause blocks the loop for d, or until Stop or Kill, to simulate a process that is suspended and continued.
func (p *Pilot) Pause(d time.Duration) {
	p.post(func() {
		select {
		case <-time.After(d):
		case <-p.host.Stopping():
		}
	})
}

// Kill ends the pilot as if its process were killed: proxies are not redirected and streams are not flushed.
func (p *Pilot) Kill() {
	if p.cancel == nil {
		return
	}
	p.stopOnce.Do(func() {
		p.cancel()
		p.shutdown()
	})
}

// shutdown stops the loop and closes everything else.
func (p *Pilot) shutdown() {
	p.host.Stop()
	p.closeResources()
}

// closeResources closes the listeners, connections and writers that were opened, and waits for the background goroutines.
func (p *Pilot) closeResources() {
	if p.ln != nil {
		p.ln.Close()
	}
	if p.admin != nil {
		p.admin.Close()
	}
	p.background.Wait()
	p.probePool.Close()
	p.records.close()
	if p.members != nil {
		p.members.Close()
	}
	if p.listCache != nil {
		p.listCache.close()
	}
	if p.mover != nil {
		p.mover.close()
	}
}
