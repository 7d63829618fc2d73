package pilot

import (
	"time"

	"vetchdoor/control"
	"vetchdoor/http1"
	"vetchdoor/pilot/host"
	"vetchdoor/upstream"
)

// mostProbes bounds the probes under way.
const mostProbes = 64

// probe asks an endpoint whether it is well.
func (p *Pilot) probe(id control.EndpointID) {
	e, ok := p.list[id]
	if !ok || p.probing.Load() >= mostProbes {
		p.host.Event(control.Probed{Endpoint: id, Outcome: control.ProbeOther})
		return
	}
	p.probing.Add(1)
	go func() {
		defer p.probing.Add(-1)
		begin := time.Now()
		req := http1.AppendBody([]byte("GET /probe HTTP/1.1\r\nHost: "+e.Address.String()+"\r\n"), nil)
		a, fail := p.probes.Send(&upstream.Call{}, e.Address.String(), req, begin.Add(p.silent/4), false)
		out := control.Probed{Endpoint: id, Took: time.Since(begin)}
		status := 0
		if a != nil {
			status = a.Status
			if l := http1.ParseLoad(a.Get(http1.LoadHeader)); l != nil {
				for _, name := range p.file.Service.Measures {
					out.Load = append(out.Load, l[name])
				}
			}
			a.Release()
		}
		out.Outcome = host.ProbeOutcome(fail, status)
		p.post(func() { p.host.Event(out) })
	}()
}
