package pilot

import (
	"vetchdoor/control"
	"vetchdoor/http1"
	"vetchdoor/pilot/host"
)

// maxPendingProbes bounds the number of probes in progress.
const maxPendingProbes = 64

// startProbe probes an endpoint in the background and queues the outcome for the module. The outcome is ProbeOther at once if
// the endpoint is not listed or too many probes are in progress.
func (p *Pilot) startProbe(id control.EndpointID) {
	e, ok := p.list[id]
	if !ok || p.pendingProbes.Load() >= maxPendingProbes {
		p.host.Enqueue(control.Probed{Endpoint: id, Outcome: control.ProbeOther})
		return
	}
	p.pendingProbes.Add(1)
	go func() {
		defer p.pendingProbes.Add(-1)
		probed := host.Probe(p.probePool, id, e.Address.String(), "/probe", p.silenceTimeout/4, p.loadOf)
		p.post(func() { p.host.Enqueue(probed) })
	}()
}

// loadOf returns the load report of an answer, in the order of the configured measures; nil if the answer has none.
func (p *Pilot) loadOf(answer *http1.Message) (load []float64) {
	report := http1.ParseLoadReport(answer.Get(http1.LoadHeader))
	if report == nil {
		return nil
	}
	for _, name := range p.file.Service.Measures {
		load = append(load, report[name])
	}
	return load
}
