package http1

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// LoadHeader is the response field in which servers report their load, in the ORCA formats that Envoy and gRPC use. A value
// that starts with "TEXT " lists name=number pairs; one that starts with "JSON " holds an OrcaLoadReport in JSON.
const LoadHeader = "endpoint-load-metrics"

// LoadReport holds the measures of a load report by their names in OrcaLoadReport: utilizations from 0 up, rates
// per second, and application-defined measures under their own names.
type LoadReport map[string]float64

// orcaReport is the part of OrcaLoadReport that is decoded.
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

// maxMeasures is how many measures of a report are kept; further ones are dropped.
const maxMeasures = 16

// ParseLoadReport parses a load report in either format. Measures that are not finite numbers, or are negative, are left
// out. It returns nil if v is not a load report.
func ParseLoadReport(v []byte) LoadReport {
	form, rest, ok := bytes.Cut(v, []byte(" "))
	if !ok {
		return nil
	}
	report := LoadReport{}
	switch string(form) {
	case "TEXT":
		for pair := range bytes.SplitSeq(rest, []byte(",")) {
			name, number, ok := bytes.Cut(bytes.TrimSpace(pair), []byte("="))
			if !ok {
				continue
			}
			name = bytes.TrimPrefix(bytes.TrimSpace(name), []byte("named_metrics."))
			if value, err := strconv.ParseFloat(string(bytes.TrimSpace(number)), 64); err == nil {
				report.add(string(name), value)
			}
		}
	case "JSON":
		var r orcaReport
		if json.Unmarshal(rest, &r) != nil {
			return nil
		}
		for name, value := range map[string]*float64{"cpu_utilization": r.CPU, "mem_utilization": r.Mem,
			"application_utilization": r.Application, "rps_fractional": r.RPS, "eps": r.EPS} {
			if value != nil {
				report.add(name, *value)
			}
		}
		for name, value := range r.Named {
			report.add(name, value)
		}
	default:
		return nil
	}
	return report
}

// add adds a measure, unless its name is empty, its value is invalid or the report is full.
func (l LoadReport) add(name string, x float64) {
	if name != "" && x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) && len(l) < maxMeasures {
		l[name] = x
	}
}
