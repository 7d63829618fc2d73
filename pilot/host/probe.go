package host

import (
	"errors"
	"net/http"
	"time"

	"vetchdoor/control"
	"vetchdoor/http1"
	"vetchdoor/upstream"
)

// Probe asks an endpoint for a path and tells how that ended, within a time. load reads from an answer what the endpoint says of
// its load.
func Probe(pool *upstream.Pool, id control.EndpointID, address, path string, within time.Duration, load func(*http1.Message) []float64) control.Probed {
	begin := time.Now()
	req := http1.AppendBody([]byte("GET "+path+" HTTP/1.1\r\nHost: "+address+"\r\n"), nil)
	answer, fail := pool.Send(&upstream.Call{}, address, req, begin.Add(within), false)
	probed := control.Probed{Endpoint: id, Took: time.Since(begin)}
	status := 0
	if answer != nil {
		status, probed.Load = answer.Status, load(answer.Message)
		answer.Release()
	}
	probed.Outcome = probeOutcome(fail, status)
	return probed
}

// probeOutcome tells how a probe ended: by its failure, or, where that is nil, by the status of its answer.
func probeOutcome(fail *upstream.Failure, status int) control.ProbeOutcome {
	var malformed *http1.MalformedError
	switch {
	case fail == nil && status == http.StatusServiceUnavailable:
		return control.ProbeRejected
	case fail == nil && status >= http.StatusBadRequest:
		return control.ProbeErrored
	case fail == nil:
		return control.ProbeAnswered
	case fail.Timeout:
		return control.ProbeTimedOut
	case fail.NotSent:
		return control.ProbeUnreached
	case errors.As(fail, &malformed):
		return control.ProbeErrored
	}
	return control.ProbeBroken
}
