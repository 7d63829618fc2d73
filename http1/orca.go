package http1

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// LoadHeader is the response field in which servers report their load (ORCA, as Envoy and gRPC publish it): a value
// that begins with "TEXT " lists name=number pairs, one that begins with "JSON " holds an OrcaLoadReport in JSON.
const LoadHeader = "endpoint-load-metrics"

// LoadReport is what a report says, by the names of OrcaLoadReport: utilisations from 0 up, rates a second, and the
// application's own measures by name.
type LoadReport map[string]float64

// orcaReport is the part of OrcaLoadReport that is read.
type orcaReport struct {
	CPU         *float64           `json:"cpu_utilization"`
	Mem         *float64           `json:"mem_utilization"`
	Application *float64           `json:"application_utilization"`
	RPS         *float64           `json:"rps_fractional"`
	EPS         *float64           `json:"eps"`
	Named       map[string]float64 `json:"named_metrics"`
	Utilization map[string]float64 `json:"utilization"`
	RequestCost map[string]float64 `json:"request_cost"`
}

// most pairs that a report may hold; the rest is dropped.
const mostMeasures = 16

// ParseLoad reads a load report in either form; what is no number, or not finite, or below 0, is left out. It returns
// nil for what is no report at all.
func ParseLoad(v []byte) LoadReport {
	form, rest, ok := bytes.Cut(v, []byte(" "))
	if !ok {
		return nil
	}
	l := LoadReport{}
	switch string(form) {
	case "TEXT":
		for pair := range bytes.SplitSeq(rest, []byte(",")) {
			name, num, ok := bytes.Cut(bytes.TrimSpace(pair), []byte("="))
			if !ok {
				continue
			}
			name = bytes.TrimPrefix(bytes.TrimSpace(name), []byte("named_metrics."))
			if x, err := strconv.ParseFloat(string(bytes.TrimSpace(num)), 64); err == nil {
				l.put(string(name), x)
			}
		}
	case "JSON":
		var r orcaReport
		if json.Unmarshal(rest, &r) != nil {
			return nil
		}
		for name, x := range map[string]*float64{"cpu_utilization": r.CPU, "mem_utilization": r.Mem,
			"application_utilization": r.Application, "rps_fractional": r.RPS, "eps": r.EPS} {
			if x != nil {
				l.put(name, *x)
			}
		}
		for name, x := range r.Named {
			l.put(name, x)
		}
	default:
		return nil
	}
	return l
}

func (l LoadReport) put(name string, x float64) {
	if name != "" && x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) && len(l) < mostMeasures {
		l[name] = x
	}
}
