package kit2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Drained is a deployment of the product in which the first server drains: a list service, a pilot, a proxy in each zone,
// servers, and clients that send one request after the other. It notes the requests that come to the draining server once
// the grace is over. The exported fields are the settings, which are set before Run.
type Drained struct {
	*Product
	Zones       []string
	Servers     int
	Clients     int
	Work, Think time.Duration // of a request at a server, and of a client before each
	Grace       time.Duration
	ReportEvery string
	Bootstrap   int // lines of a standing table
	CrossZone   float64
	Outlier     int    // failures in a row after which a proxy avoids a server
	OpType      Object // the only one; matches GET
	Limits      Object
	Channel     Object

	entries []Object
	list    string // address of the list service
	pilot   Object // settings of the pilot
	limit   atomic.Int64
	served  atomic.Int64
}

const (
	toldWithin = time.Second // until the list service has read its file and told the pilot
	clientWait = 6 * time.Second
)

// Run starts all, plays the case and returns its exit code.
func (d *Drained) Run(play func()) int {
	addresses := d.start()
	var running sync.WaitGroup
	stop := make(chan struct{})
	if !d.Failed() {
		for i := range d.Clients {
			running.Go(func() { d.client(fmt.Sprint("c", i), addresses[i%len(addresses)], stop) })
		}
		play()
	}
	close(stop)
	running.Wait()
	d.Printf("%d requests served", d.served.Load())
	return d.Finish()
}

// PilotAddress returns the address on which the pilot takes streams.
func (d *Drained) PilotAddress() string { return d.pilot["listen"].(string) }

// RestartPilot ends the pilot by SIGTERM, as at a planned restart, and starts it again.
func (d *Drained) RestartPilot() {
	d.End("pilot", syscall.SIGTERM, 10*time.Second)
	d.Launch("pilot", "pilot", d.pilot)
	d.Await(d.PilotAddress())
}

// Drain lists the first server as draining. No request may come to it once the pilot has been told and the grace is over.
func (d *Drained) Drain() {
	d.Printf("server 1 drains")
	d.entries[0]["mode"] = "draining"
	b, err := json.Marshal(Object{"kind": "roster", "listen": d.list, "zones": d.Zones, "entries": d.entries})
	if err == nil {
		err = os.WriteFile(d.Path("new"), b, 0o600)
	}
	if err == nil {
		err = os.Rename(d.Path("new"), d.Path("roster.json"))
	}
	if err != nil {
		d.Fail(err)
	}
	d.limit.Store(time.Now().Add(toldWithin + d.Grace + ruleSlack).UnixNano())
}

// start starts servers and processes, and returns the addresses of the proxies.
func (d *Drained) start() (addresses []string) {
	for i := range d.Servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.Fail(err)
			return nil
		}
		go func() { _ = http.Serve(listener, d.server(i)) }()
		d.entries = append(d.entries, Object{"endpoint": i + 1, "address": listener.Addr().String(),
			"zone": d.Zones[i%len(d.Zones)], "weight": 1})
	}
	service := Object{"zones": d.Zones, "report_every": d.ReportEvery, "bootstrap": d.Bootstrap, "outlier_after": d.Outlier,
		"outlier_for": "5s", "cross_zone_price": d.CrossZone, "op_types": []Object{d.OpType}}
	free := FreeAddresses(2 + len(d.Zones))
	list, pilot, addresses := free[0], free[1], free[2:]
	d.list = list
	d.Launch("roster", "roster", Object{"kind": "roster", "listen": list, "zones": d.Zones, "entries": d.entries})
	d.pilot = Object{"kind": "pilot", "name": "pilot", "zone": d.Zones[0], "proxies": len(d.Zones), "listen": pilot,
		"roster": list, "cache": d.Path("list.json"), "service": service, "limits": d.Limits, "channel": d.Channel}
	d.Launch("pilot", "pilot", d.pilot)
	for i, address := range addresses {
		d.Launch(fmt.Sprint("proxy", i), "proxy", Object{"kind": "proxy", "id": i, "zone": d.Zones[i], "listen": address,
			"rate": 15, "redial": "500ms", "service": service, "servers": d.entries,
			"pilots": []Object{{"address": pilot, "zone": d.Zones[0]}}})
	}
	for _, address := range addresses {
		d.Await(address)
	}
	return addresses
}

// server runs requests. The first one notes those that come when it drains and the grace is over.
func (d *Drained) server(number int) http.HandlerFunc {
	return func(answer http.ResponseWriter, r *http.Request) {
		id, via := r.Header.Get("X-Call-Id"), r.Header.Get("Via")
		d.Recordf("server %d gets %s by %s", number+1, id, via)
		if limit := d.limit.Load(); number == 0 && limit != 0 && time.Now().UnixNano() > limit {
			d.Broken("server 1 gets %s by %s, %v after the grace was over", id, via,
				time.Since(time.Unix(0, limit)).Round(time.Millisecond))
		}
		time.Sleep(d.Work)
		_, _ = io.WriteString(answer, "done\n")
	}
}

// client sends one request after the other through a proxy.
func (d *Drained) client(name, proxy string, stop chan struct{}) {
	connections := &http.Client{Timeout: clientWait}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(d.Think):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		r, err := http.NewRequest(http.MethodGet, "http://"+proxy+"/", nil)
		if err != nil {
			d.Fail(err)
			return
		}
		r.Header.Set("X-Call-Id", id)
		answer, err := connections.Do(r)
		if err != nil {
			d.Recordf("client: %s: %v", id, err)
			continue
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			d.served.Add(1)
		}
		d.Recordf("client: %s: %d", id, answer.StatusCode)
	}
}
