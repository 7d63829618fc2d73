package host

import (
	"errors"
	"net/http"

	"vetchdoor/control"
	"vetchdoor/http1"
	"vetchdoor/upstream"
)

// ProbeOutcome tells how a probe ended: by its failure, or, where that is nil, by the status of its answer.
func ProbeOutcome(fail *upstream.Failure, status int) control.ProbeOutcome {
	var malformed *http1.Malformed
	switch {
	case fail == nil && status == http.StatusServiceUnavailable:
		return control.ProbeRejected
	case fail == nil && status >= http.StatusBadRequest:
		return control.ProbeErrored
	case fail == nil:
		return control.ProbeAnswered
	case fail.Timeout:
		return control.ProbeTimedOut
	case fail.Unrun:
		return control.ProbeUnreached
	case errors.As(fail, &malformed):
		return control.ProbeErrored
	}
	return control.ProbeBroken
}
