package pilot

import (
	"vetchdoor/control"
	"vetchdoor/http1"
	"vetchdoor/pilot/host"
)

// mostProbes bounds the probes under way.
const mostProbes = 64

// probe asks an endpoint whether it is well.
func (p *Pilot) probe(id control.EndpointID) {
	e, ok := p.list[id]
	if !ok || p.probing.Load() >= mostProbes {
		p.host.Enqueue(control.Probed{Endpoint: id, Outcome: control.ProbeOther})
		return
	}
	p.probing.Add(1)
	go func() {
		defer p.probing.Add(-1)
		probed := host.Probe(p.probes, id, e.Address.String(), "/probe", p.silent/4, p.loadOf)
		p.post(func() { p.host.Enqueue(probed) })
	}()
}

// loadOf is what an answer says of its endpoint's load, by the measures of the settings; nil if it says nothing.
func (p *Pilot) loadOf(answer *http1.Message) (load []float64) {
	said := http1.ParseLoad(answer.Get(http1.LoadHeader))
	if said == nil {
		return nil
	}
	for _, name := range p.file.Service.Measures {
		load = append(load, said[name])
	}
	return load
}
