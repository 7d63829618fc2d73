package host

import (
	"errors"
	"net/http"
	"time"

	"vetchdoor/control"
	"vetchdoor/http1"
	"vetchdoor/upstream"
)

// Probe sends a GET request for a path to an endpoint and returns the outcome and how long it took. parseLoad extracts the
// endpoint's load report from the answer.
func Probe(pool *upstream.Pool, id control.EndpointID, address, path string, timeout time.Duration,
	parseLoad func(*http1.Message) []float64) control.Probed {
	started := time.Now()
	req := http1.AppendBody([]byte("GET "+path+" HTTP/1.1\r\nHost: "+address+"\r\n"), nil)
	answer, failure := pool.Send(&upstream.Call{}, address, req, started.Add(timeout), false)
	probed := control.Probed{Endpoint: id, Took: time.Since(started)}
	status := 0
	if answer != nil {
		status, probed.Load = answer.Status, parseLoad(answer.Message)
		answer.Release()
	}
	probed.Outcome = probeOutcome(failure, status)
	return probed
}

// probeOutcome classifies a probe by its failure, or by the status of its answer if there was no failure.
func probeOutcome(failure *upstream.Failure, status int) control.ProbeOutcome {
	var malformed *http1.MalformedError
	switch {
	case failure == nil && status == http.StatusServiceUnavailable:
		return control.ProbeRejected
	case failure == nil && status >= http.StatusBadRequest:
		return control.ProbeErrored
	case failure == nil:
		return control.ProbeAnswered
	case failure.Timeout:
		return control.ProbeTimedOut
	case failure.NotSent:
		return control.ProbeUnreached
	case errors.As(failure, &malformed):
		return control.ProbeErrored
	}
	return control.ProbeBroken
}
