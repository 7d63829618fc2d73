package runtime

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"vetchdoor/control"
)

// Sums is the block by which a proxy reports what it counted over a period.
type Sums struct {
	Window  time.Duration // length of the period
	Types   []TypeSum
	Servers []ServerSum
	Tenants []TenantSum
}

// TenantSum is what a proxy counted for a tenant at a pod. Busy is the total time that the servers worked on the tenant's
// ops.
type TenantSum struct {
	Tenant      string
	Pod         uint32
	Ops, Failed int
	Busy        time.Duration
}

// TypeSum is what a proxy counted for an op type.
type TypeSum struct{ OpType, Ops, Unacked int }

// ServerSum is what a proxy counted for a server. Latency is the mean latency of the successful tries, Load the latest load
// report.
type ServerSum struct {
	Endpoint      control.EndpointID
	Tries, Failed int
	Latency       time.Duration
	Load          []float64
}

// Append appends the block.
func (s *Sums) Append(b []byte) []byte {
	b = strconv.AppendInt(append(b, "sums "...), s.Window.Microseconds(), 10)
	b = append(b, '\n')
	for _, t := range s.Types {
		b = fmt.Appendf(b, "type %d %d %d\n", t.OpType, t.Ops, t.Unacked)
	}
	for _, e := range s.Servers {
		b = fmt.Appendf(b, "server %d %d %d %d", e.Endpoint, e.Tries, e.Failed, e.Latency.Microseconds())
		for _, x := range e.Load {
			b = strconv.AppendFloat(append(b, ' '), x, 'g', 6, 64)
		}
		b = append(b, '\n')
	}
	for _, t := range s.Tenants {
		b = fmt.Appendf(b, "tenant %s %d %d %d %d\n", Quote("="+t.Tenant), t.Pod, t.Ops, t.Failed, t.Busy.Microseconds())
	}
	return append(b, '\n')
}

// Limits of the values that a proxy may report for one period.
const (
	maxCount        = 100_000_000
	maxPeriodMicros = 3600e6
	maxBusyMicros   = 1000 * maxPeriodMicros // servers work on many ops of a tenant at a time
)

// sums parses the rest of a sums block.
func (w *wordReader) sums(lines []string) (*Sums, error) {
	s := &Sums{Window: time.Duration(w.uint("window", maxPeriodMicros)) * time.Microsecond}
	for _, line := range lines {
		l, err := readLine(line)
		if err != nil {
			return nil, err
		}
		if err := l.sum(s); err != nil {
			return nil, fmt.Errorf("%.60q: %w", line, err)
		}
	}
	return s, nil
}

// sum parses a line of a sums block and adds its values to s.
func (w *wordReader) sum(s *Sums) error {
	switch kind := w.take(); kind {
	case "type":
		t := TypeSum{OpType: int(w.uint("op type", maxOpType)), Ops: int(w.uint("ops", maxCount))}
		t.Unacked = int(w.uint("unacked", maxCount))
		s.Types = append(s.Types, t)
	case "server":
		e := ServerSum{Endpoint: control.EndpointID(w.uint("server", math.MaxUint32))}
		e.Tries, e.Failed = int(w.uint("tries", maxCount)), int(w.uint("failed", maxCount))
		e.Latency = time.Duration(w.uint("latency", maxPeriodMicros)) * time.Microsecond
		for len(w.words) > 0 && w.err == nil {
			e.Load = append(e.Load, w.float("load"))
		}
		s.Servers = append(s.Servers, e)
	case "tenant":
		t := TenantSum{Tenant: w.tenant(), Pod: uint32(w.uint("pod", math.MaxUint32)), Ops: int(w.uint("ops", maxCount))}
		t.Failed = int(w.uint("failed", maxCount))
		t.Busy = time.Duration(w.uint("busy", maxBusyMicros)) * time.Microsecond
		s.Tenants = append(s.Tenants, t)
	default:
		w.fail("%q is no kind of sum", kind)
	}
	return w.end()
}
