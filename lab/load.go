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
	at     time.Duration // since the day's start, when it is due
	number uint64
	opType int
	proxy  int
	work   time.Duration
	tenant int    // from 1; 0: nobody's
	bad    string // how, of a bad tenant in its spell
	tries  int
	held   bool // it was told that its tenant is being moved

	unrefused bool // its client tried it again though the try before had not been refused

	ended   time.Duration
	outcome outcome
}

// tenantField names the tenant of an op.
const tenantField = "Newsroom"

type outcome byte

const (
	unended outcome = iota
	opAcked
	opRejected // refused, and surely not run
	opAborted
)

// latency is how long its client waited.
func (o *op) latency() time.Duration { return o.ended - o.at }

// source of ops: open loop, drawn ahead from the day's seed.
type source struct {
	day     *files.Day
	types   []control.OpType
	ops     []*op
	targets []string // proxies' addresses
	pool    *upstream.Pool
	ledger  *node.Ledger
	large   bool                    // some requests are large
	behind  *hdrhistogram.Histogram // of the generator, microseconds
	mu      sync.Mutex
	rng     *rand.Rand // of clients, under mu
	busy    sync.WaitGroup
}

// rateAt is the load at a time, as a multiple of its mean: the day's shape or swing, and what follows its growth.
func (f *fleet) rateAt(at time.Duration) float64 {
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
	for _, g := range f.grown {
		if at > g.from {
			rate *= 1 + g.size*min(1, float64(at-g.from)/float64(max(g.to-g.from, 1)))
		}
	}
	return rate
}

// drawOps draws a day's ops.
func (f *fleet) drawOps() []*op {
	d, perSecond := f.day, f.perSecond()
	rng := rand.New(rand.NewPCG(d.Seed, 1))
	most := 0.0
	for at := time.Duration(0); at <= d.Length.AsDuration(); at += d.Length.AsDuration()/1000 + 1 {
		most = max(most, perSecond*f.rateAt(at)*1.01)
	}
	total := 0.0
	for _, w := range d.Load.Works {
		total += w.Share
	}
	place := map[string]int{}
	for i, t := range d.Service.OpTypes {
		place[t.Name] = i
	}
	var ops []*op
	var cumulated []float64
	tenants := tenantShares(&d.Load.Tenants)
	until := time.Duration(-1)
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / most * float64(time.Second))
		if at >= d.Length.AsDuration() {
			return ops
		}
		if rng.Float64()*most > perSecond*f.rateAt(at) {
			continue
		}
		if at > until { // shares are looked at anew every tenth of a second
			until = at + 100*time.Millisecond
			cumulated = cumulated[:0]
			sum := 0.0
			for _, s := range f.shareAt(at) {
				sum += s
				cumulated = append(cumulated, sum)
			}
		}
		o := &op{at: at, number: uint64(len(ops) + 1)}
		o.proxy = min(sort.SearchFloat64s(cumulated, rng.Float64()*cumulated[len(cumulated)-1]), len(cumulated)-1)
		x := rng.Float64() * total
		for _, w := range d.Load.Works {
			if x -= w.Share; x < 0 || w == d.Load.Works[len(d.Load.Works)-1] {
				o.opType, o.work = place[w.OpType], drawWork(rng, w)
				break
			}
		}
		if n := d.Load.Tenants.Count; n > 0 {
			o.tenant = 1 + min(sort.SearchFloat64s(tenants, rng.Float64()*tenants[n-1]), n-1)
		}
		ops = append(ops, o)
	}
}

// tenantShares are the tenants' shares of the traffic, added up.
func tenantShares(c *files.Callers) (out []float64) {
	sum := 0.0
	for i := range c.Count {
		sum += math.Pow(float64(i+1), -c.Zipf)
		out = append(out, sum)
	}
	return out
}

func drawWork(rng *rand.Rand, w files.Work) time.Duration {
	x := rng.ExpFloat64()
	if w.CV > 0 {
		v := math.Log(1 + w.CV*w.CV)
		x = math.Exp(math.Sqrt(v)*rng.NormFloat64() - v/2)
	}
	return time.Duration(min(x, 20) * float64(w.Mean))
}

// meanWork is the mean work of an op.
func meanWork(l *files.Load) time.Duration {
	sum, total := 0.0, 0.0
	for _, w := range l.Works {
		sum += w.Share * float64(w.Mean)
		total += w.Share
	}
	return time.Duration(sum / total)
}

// play sends each op when it is due and returns when all have ended. stop, once closed, ends it early.
func (s *source) play(from time.Time, stop <-chan struct{}) {
	s.behind = hdrhistogram.New(1, 60_000_000, 3)
	for _, o := range s.ops {
		if wait := time.Until(from.Add(o.at)); wait > 0 {
			select {
			case <-stop:
				s.busy.Wait()
				return
			case <-time.After(wait):
			}
		}
		_ = s.behind.RecordValue(max(1, (time.Since(from) - o.at).Microseconds()))
		s.busy.Add(1)
		go func() {
			defer s.busy.Done()
			s.client(from, o)
		}()
	}
	s.busy.Wait()
}

// windowUsed is how many tenths of a deduplication window a client repeats its op in. The rest is for the way: a repeat that
// left in time and came too late takes effect again, which is then its client's doing.
const windowUsed = 7

// client is the one who asked for an op: it waits, gives up, tries again where that is safe.
func (s *source) client(from time.Time, o *op) {
	t := &s.types[o.opType]
	c := &s.day.Clients
	deadline := from.Add(o.at + t.OpTimeout)
	share := c.TryShare
	if share <= 0 || share > 1 {
		share = 1
	}
	switch o.bad {
	case badHasty:
		s.hasty(from, o, deadline)
		return
	case badReader:
		s.slowly(from, o, deadline)
		return
	}
	first, at := time.Now(), o.proxy
	for {
		until := time.Now().Add(time.Duration(share * float64(t.OpTimeout)))
		if until.After(deadline) {
			until = deadline
		}
		req := s.request(o)
		o.tries++
		a, fail := s.pool.Send(&upstream.Call{}, s.targets[at], req, until, false)
		o.outcome = opAborted
		refused, wait := false, c.Backoff.AsDuration()
		if fail == nil {
			s.checkSign(o, a)
			switch {
			case a.Status < 300:
				o.outcome = opAcked
			case a.Status == 503:
				o.outcome, refused = opRejected, true
				o.held = o.held || bytes.HasPrefix(a.Body, []byte("the tenant is being moved"))
				if after, err := strconv.Atoi(string(a.Get("Retry-After"))); err == nil && s.chance() < c.Honour {
					wait = max(wait, time.Duration(after)*time.Second)
				}
			}
			a.Release()
		} else if fail.NotSent {
			refused = true
		}
		o.ended = time.Since(from)
		safe := refused || t.Repeat == control.Retryable ||
			t.Repeat == control.Deduplicated && time.Since(first)+wait < t.DedupWindow*windowUsed/10
		if o.outcome == opAcked || !safe || o.tries > c.Retries || time.Now().Add(wait).After(deadline) {
			return
		}
		o.unrefused = o.unrefused || !refused
		time.Sleep(wait)
		if c.Elsewhere > 0 && s.chance() < c.Elsewhere {
			at = int(s.chance() * float64(len(s.targets)))
		}
	}
}

func (s *source) chance() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// request writes a try of an op; the first rule of its type's match is met.
func (s *source) request(o *op) []byte {
	m := s.day.Service.OpTypes[o.opType].Match
	method, path := "GET", "/"
	if m.Method != "" {
		method = m.Method
	}
	if m.PathPrefix != "" {
		path = m.PathPrefix
	}
	large := s.large && o.number%largeEach == 0
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
		b = http1.AppendField(b, tenantField, o.whose())
	}
	switch o.bad {
	case badPoison:
		b = http1.AppendField(b, node.KillField, "1")
	case badReader:
		b = http1.AppendField(b, node.SizeField, "262144")
	}
	if s.types[o.opType].Repeat == control.Deduplicated {
		b = http1.AppendField(b, "Idempotency-Key", "op-"+strconv.FormatUint(o.number, 10))
	}
	b = sign.AppendFields(b, o.number, large)
	return http1.AppendBody(b, sign.Body(o.number, large))
}

// largeEach is how often a request is a large one, over sockets: one in so many.
const largeEach = 16

// checkSign notes an answer that is another op's, and one that blames the request, for each is well formed.
func (s *source) checkSign(o *op, a *upstream.Response) {
	if a.Status >= 400 && a.Status < 500 {
		s.ledger.RecordMixUp(fmt.Sprintf("op %d was answered %d", o.number, a.Status))
	}
	if got := a.Get(sign.Field); got != nil && string(got) != strconv.FormatUint(o.number, 10) {
		s.ledger.RecordMixUp(fmt.Sprintf("op %d got the answer of %s", o.number, got))
	}
}
