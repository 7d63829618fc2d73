package lab

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/http1"
	"vetchdoor/lab/node"
	"vetchdoor/lab/sign"
	"vetchdoor/upstream"
)

// op is one op as its client sees it.
type op struct {
	due            time.Duration // scheduled start, since the start of the day
	number         uint64
	opType         int
	proxy          int
	work           time.Duration // processing time on one core of speed 1
	tenant         int           // from 1; 0 for no tenant
	misbehaviour   string        // kind of misbehaviour; empty for a regular op
	tries          int
	refusedForMove bool // a try was refused because the tenant is being moved

	retriedUnrefused bool // the client retried although the previous try had not been refused

	ended   time.Duration
	outcome outcome
}

// tenantHeader is the header that names the tenant of an op.
const tenantHeader = "Newsroom"

// outcome is the result of an op for its client.
type outcome byte

const (
	pending outcome = iota
	opAcked
	opRejected // refused, and certainly not run
	opAborted  // neither acked nor rejected
)

// latency returns the time from the scheduled start of the op to its end.
func (o *op) latency() time.Duration { return o.ended - o.due }

// loadGenerator sends the ops of a day in an open loop: each op has a scheduled start, drawn in advance from the day's
// seed, that does not depend on the responses.
type loadGenerator struct {
	day           *files.Day
	types         []control.OpType
	ops           []*op
	targets       []string // addresses of the proxies
	pool          *upstream.Pool
	ledger        *node.Ledger
	largeRequests bool                    // whether every largeInterval-th request is a large one
	lag           *hdrhistogram.Histogram // delay of sends behind their schedule, in microseconds
	mu            sync.Mutex
	rng           *rand.Rand // for the clients' decisions; guarded by mu
	inFlight      sync.WaitGroup
}

// loadFactor returns the load at a time as a multiple of its mean, from the day's shape or sine swing and the growth of the
// fleet.
func (f *fleet) loadFactor(at time.Duration) float64 {
	d, rate := f.day, 0.0
	if shape := d.Load.Shape; len(shape) > 0 {
		i := sort.Search(len(shape), func(i int) bool { return shape[i].At.AsDuration() > at })
		switch {
		case i == 0:
			rate = shape[0].Times
		case i == len(shape):
			rate = shape[i-1].Times
		default:
			a, b := shape[i-1], shape[i]
			rate = a.Times + (b.Times-a.Times)*float64(at-a.At.AsDuration())/float64(max(b.At-a.At, 1))
		}
	} else {
		rate = 1 + d.Load.Swing*math.Sin(2*math.Pi*float64(at)/float64(d.Length))
	}
	for _, g := range f.growth {
		if at > g.from {
			rate *= 1 + g.fraction*min(1, float64(at-g.from)/float64(max(g.to-g.from, 1)))
		}
	}
	return rate
}

// drawOps draws the ops of a day.
func (f *fleet) drawOps() []*op {
	d, perSecond := f.day, f.opRate()
	rng := rand.New(rand.NewPCG(d.Seed, 1))
	maxRate := 0.0
	for at := time.Duration(0); at <= d.Length.AsDuration(); at += d.Length.AsDuration()/1000 + 1 {
		maxRate = max(maxRate, perSecond*f.loadFactor(at)*1.01)
	}
	total := 0.0
	for _, w := range d.Load.Works {
		total += w.Share
	}
	typeIndex := map[string]int{}
	for i, t := range d.Service.OpTypes {
		typeIndex[t.Name] = i
	}
	var ops []*op
	var cumulative []float64
	tenants := tenantShares(&d.Load.Tenants)
	sharesValidUntil := time.Duration(-1)
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= d.Length.AsDuration() {
			return ops
		}
		if rng.Float64()*maxRate > perSecond*f.loadFactor(at) {
			continue
		}
		if at > sharesValidUntil { // the shares are recomputed every 100 ms
			sharesValidUntil = at + 100*time.Millisecond
			cumulative = cumulative[:0]
			sum := 0.0
			for _, s := range f.sharesAt(at) {
				sum += s
				cumulative = append(cumulative, sum)
			}
		}
		o := &op{due: at, number: uint64(len(ops) + 1)}
		o.proxy = min(sort.SearchFloat64s(cumulative, rng.Float64()*cumulative[len(cumulative)-1]), len(cumulative)-1)
		draw := rng.Float64() * total
		for _, w := range d.Load.Works {
			if draw -= w.Share; draw < 0 || w == d.Load.Works[len(d.Load.Works)-1] {
				o.opType, o.work = typeIndex[w.OpType], drawWork(rng, w)
				break
			}
		}
		if n := d.Load.Tenants.Count; n > 0 {
			o.tenant = 1 + min(sort.SearchFloat64s(tenants, rng.Float64()*tenants[n-1]), n-1)
		}
		ops = append(ops, o)
	}
}

// tenantShares returns the cumulative traffic shares of the tenants, which follow a Zipf distribution.
func tenantShares(c *files.TenantLoad) (out []float64) {
	sum := 0.0
	for i := range c.Count {
		sum += math.Pow(float64(i+1), -c.Zipf)
		out = append(out, sum)
	}
	return out
}

// drawWork draws the work of an op, with the mean and the coefficient of variation of w, and at most 20 times the mean.
func drawWork(rng *rand.Rand, w files.Work) time.Duration {
	x := rng.ExpFloat64()
	if w.CV > 0 {
		v := math.Log(1 + w.CV*w.CV)
		x = math.Exp(math.Sqrt(v)*rng.NormFloat64() - v/2)
	}
	return time.Duration(min(x, 20) * float64(w.Mean))
}

// meanWork returns the mean work of an op over all op types.
func meanWork(l *files.Load) time.Duration {
	sum, total := 0.0, 0.0
	for _, w := range l.Works {
		sum += w.Share * float64(w.Mean)
		total += w.Share
	}
	return time.Duration(sum / total)
}

// play sends each op at its scheduled time and returns when all have ended. Closing stop ends it early, after the ops in
// flight.
func (s *loadGenerator) play(from time.Time, stop <-chan struct{}) {
	s.lag = hdrhistogram.New(1, 60_000_000, 3)
	for _, o := range s.ops {
		if wait := time.Until(from.Add(o.due)); wait > 0 {
			select {
			case <-stop:
				s.inFlight.Wait()
				return
			case <-time.After(wait):
			}
		}
		_ = s.lag.RecordValue(max(1, (time.Since(from) - o.due).Microseconds()))
		s.inFlight.Add(1)
		go func() {
			defer s.inFlight.Done()
			s.runClient(from, o)
		}()
	}
	s.inFlight.Wait()
}

// windowTenthsUsed is the part of a deduplication window, in tenths, in which a client retries. The rest allows for network
// delay: a retry that is sent within the window but arrives after its end takes effect again, by the client's fault.
const windowTenthsUsed = 7

// runClient plays the client of an op: it sends tries through a proxy, with a timeout for each, and retries after a backoff
// where that is safe.
func (s *loadGenerator) runClient(from time.Time, o *op) {
	opType := &s.types[o.opType]
	settings := &s.day.Clients
	deadline := from.Add(o.due + opType.OpTimeout)
	share := settings.TryShare
	if share <= 0 || share > 1 {
		share = 1
	}
	switch o.misbehaviour {
	case badImpatient:
		s.runImpatientClient(from, o, deadline)
		return
	case badSlowReader:
		s.runSlowReader(from, o, deadline)
		return
	}
	firstTry, proxy := time.Now(), o.proxy
	for {
		tryDeadline := time.Now().Add(time.Duration(share * float64(opType.OpTimeout)))
		if tryDeadline.After(deadline) {
			tryDeadline = deadline
		}
		req := s.request(o)
		o.tries++
		answer, fail := s.pool.Send(&upstream.Call{}, s.targets[proxy], req, tryDeadline, false)
		o.outcome = opAborted
		refused, wait := false, settings.Backoff.AsDuration()
		if fail == nil {
			s.checkSignature(o, answer)
			switch {
			case answer.Status < 300:
				o.outcome = opAcked
			case answer.IsUnrun():
				o.outcome, refused = opRejected, true
				o.refusedForMove = o.refusedForMove || bytes.HasPrefix(answer.Body, []byte("the tenant is being moved"))
				if after, err := strconv.Atoi(string(answer.Get("Retry-After"))); err == nil && s.random() < settings.Honour {
					wait = max(wait, time.Duration(after)*time.Second)
				}
			}
			answer.Release()
		} else if fail.NotSent {
			refused = true
		}
		o.ended = time.Since(from)
		safe := refused || opType.Repeat == control.Retryable ||
			opType.Repeat == control.Deduplicated && time.Since(firstTry)+wait < opType.DedupWindow*windowTenthsUsed/10
		if o.outcome == opAcked || !safe || o.tries > settings.Retries || time.Now().Add(wait).After(deadline) {
			return
		}
		o.retriedUnrefused = o.retriedUnrefused || !refused
		time.Sleep(wait)
		if settings.Elsewhere > 0 && s.random() < settings.Elsewhere {
			proxy = int(s.random() * float64(len(s.targets)))
		}
	}
}

// random returns a random number from 0 to 1, for a decision of a client.
func (s *loadGenerator) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// request returns the encoded request of an op's next try. It matches the op type by the method, path prefix and header of
// its rule.
func (s *loadGenerator) request(o *op) []byte {
	m := s.day.Service.OpTypes[o.opType].Match
	method, path := "GET", "/"
	if m.Method != "" {
		method = m.Method
	}
	if m.PathPrefix != "" {
		path = m.PathPrefix
	}
	large := s.largeRequests && o.number%largeInterval == 0
	b := http1.AppendRequest(nil, []byte(method), []byte(sign.Path(path, o.number)))
	b = http1.AppendField(b, "Host", "results.example")
	if m.Header != "" {
		b = append(append(b, m.Header...), "\r\n"...)
	}
	b = http1.AppendField(b, node.OpField, strconv.FormatUint(o.number, 10))
	b = http1.AppendField(b, node.TryField, strconv.Itoa(o.tries))
	b = http1.AppendField(b, node.TypeField, strconv.Itoa(o.opType))
	b = http1.AppendField(b, node.WorkField, strconv.FormatInt(o.work.Microseconds(), 10))
	if o.tenant > 0 {
		b = http1.AppendField(b, tenantHeader, o.tenantName())
	}
	switch o.misbehaviour {
	case badPoison:
		b = http1.AppendField(b, node.KillField, "1")
	case badSlowReader:
		b = http1.AppendField(b, node.SizeField, "262144")
	}
	if s.types[o.opType].Repeat == control.Deduplicated {
		b = http1.AppendField(b, "Idempotency-Key", "op-"+strconv.FormatUint(o.number, 10))
	}
	b = sign.AppendFields(b, o.number, large)
	return http1.AppendBody(b, sign.Body(o.number, large))
}

// largeInterval is the interval between large requests: one in so many is large.
const largeInterval = 16

// checkSignature records a response that belongs to another op, and any 4xx status, which means that the request was
// corrupted, because every request is well-formed.
func (s *loadGenerator) checkSignature(o *op, a *upstream.Response) {
	if a.Status >= 400 && a.Status < 500 {
		s.ledger.RecordMixUp(fmt.Sprintf("op %d got the response status %d", o.number, a.Status))
	}
	if got := a.Get(sign.Field); got != nil && string(got) != strconv.FormatUint(o.number, 10) {
		s.ledger.RecordMixUp(fmt.Sprintf("op %d got the response to op %s", o.number, got))
	}
}
