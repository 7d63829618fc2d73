package lab

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/lab/link"
	"vetchdoor/lab/node"
	"vetchdoor/roster"
	"vetchdoor/runtime"
)

// Violation is a broken rule: which of the five, when, and what was seen.
type Violation struct {
	Rule        int           `json:"rule"`
	At          time.Duration `json:"at"`
	Description string        `json:"what"`
}

// evidence is all that the rules are checked on: what passed the links, what the nodes saw and what clients did. No part of the
// control plane is asked.
type evidence struct {
	service  *files.Service
	limits   *files.Limits
	channel  *files.Channel
	from     time.Time // when the times of the rest begin
	passed   []link.Passed
	arrivals []node.Arrival
	effects  []node.Effect
	ops      []*op
	falls    []node.Fall
	mixed    []string // requests and answers that were mixed with others
	until    time.Duration
}

// noRule is the number of a break of what no rule names.
const noRule = 0

// slack is what the measuring itself may add to a time: a relay's hop and a scheduler's turn on a busy machine.
const slack = 150 * time.Millisecond

// history is what the taps show, by pilot and by proxy.
type history struct {
	lists   [][]listed // by pilot
	places  places     // where endpoints stand, by the lists
	streams []*streamSeen
}

// listed is a change of an endpoint that a pilot was told of.
type listed struct {
	at       time.Duration
	endpoint control.EndpointID
	mode     control.Mode
	started  time.Duration // far below 0: long ago
}

// streamSeen is one stream between a proxy and a pilot.
type streamSeen struct {
	proxy, pilot int
	hello        *runtime.Hello
	joined       time.Duration // when the welcome reached the proxy; below 0: never
	ended        time.Duration
	resumed      bool
	run          uint64
	messages     []*messageSeen
}

// messageSeen is a message as it passed.
type messageSeen struct {
	*runtime.Message
	left    time.Duration // the pilot's end
	reached time.Duration // the proxy's
	inForce time.Duration // when its confirmation passed; below 0: never
	again   bool
	ordered time.Duration
}

// read makes a history of the taps. What cannot be read is an error: the parts speak a wire that this checker knows.
func (e *evidence) read(pilots int) (*history, error) {
	h := &history{lists: make([][]listed, pilots), places: places{}}
	byConn := map[int][]link.Passed{}
	var order []int
	for _, p := range e.passed {
		if byConn[p.Conn] == nil {
			order = append(order, p.Conn)
		}
		byConn[p.Conn] = append(byConn[p.Conn], p)
	}
	for _, id := range order {
		pieces := byConn[id]
		name := strings.Fields(pieces[0].Link)
		var err error
		switch name[0] {
		case "list":
			var n int
			fmt.Sscan(name[1], &n)
			h.lists[n], err = e.readList(h.lists[n], h.places, pieces)
		case "stream":
			s := &streamSeen{joined: -1, ended: e.until}
			fmt.Sscan(name[1], &s.proxy)
			fmt.Sscan(name[2], &s.pilot)
			err = e.readStream(s, pieces)
			h.streams = append(h.streams, s)
		}
		if err != nil {
			return nil, fmt.Errorf("%s, connection %d: %w", pieces[0].Link, id, err)
		}
	}
	for _, l := range h.lists {
		slices.SortStableFunc(l, func(a, b listed) int { return cmp.Compare(a.at, b.at) })
	}
	slices.SortStableFunc(h.streams, func(a, b *streamSeen) int { return cmp.Compare(a.joined, b.joined) })
	return h, nil
}

func (e *evidence) readList(to []listed, at places, pieces []link.Passed) ([]listed, error) {
	now := map[control.EndpointID]bool{}
	for _, l := range to {
		now[l.endpoint] = true
	}
	var buf []byte
	for _, p := range pieces {
		if p.Direction != link.Down || p.End {
			continue
		}
		buf = append(buf, p.Data...)
		for {
			line, rest, ok := bytes.Cut(buf, []byte("\n"))
			if !ok {
				break
			}
			buf = rest
			var u roster.Update
			if err := json.Unmarshal(line, &u); err != nil {
				return to, err
			}
			named := map[control.EndpointID]bool{}
			for _, x := range u.Entries {
				mode, err := files.ModeOf(x.Mode)
				if err != nil {
					return to, err
				}
				started := -time.Duration(1 << 60)
				if x.Started > 0 {
					started = time.UnixMilli(x.Started).Sub(e.from)
				}
				to = append(to, listed{p.Gone, x.Endpoint, mode, started})
				if named[x.Endpoint], now[x.Endpoint] = true, true; mode != control.Gone {
					at[x.Endpoint] = place{x.Zone, x.Pack}
				}
			}
			if u.Kind == "full" {
				for id := range now {
					if !named[id] {
						to = append(to, listed{p.Gone, id, control.Gone, 0})
					}
				}
			}
		}
	}
	return to, nil
}

func (e *evidence) readStream(s *streamSeen, pieces []link.Passed) error {
	blocks, scan := runtime.NewBlocks(1<<24), runtime.NewScanner(runtime.Orders)
	byNumber := map[uint64]*messageSeen{}
	for _, p := range pieces {
		switch {
		case p.End:
			s.ended = p.Gone
		case p.Direction == link.Up:
			blocks.Feed(p.Data)
			for {
				lines, ok, err := blocks.Next()
				if err != nil {
					return err
				}
				if !ok {
					break
				}
				b, err := runtime.ParseBlock(lines)
				if err != nil {
					return err
				}
				switch b := b.(type) {
				case *runtime.Hello:
					s.hello = b
				case runtime.InForce:
					if m := byNumber[b.Number]; m != nil && m.inForce < 0 {
						m.inForce, m.again = p.Came, b.Again
					}
				}
			}
		default:
			scan.Feed(p.Data)
			for {
				line, ok, err := scan.Next()
				if err != nil {
					return err
				}
				if !ok {
					break
				}
				switch c := line[0]; {
				case c.Is("welcome"):
					w, err := runtime.ParseWelcome(c)
					if err != nil {
						return err
					}
					s.joined, s.run, s.resumed = p.Gone, w.Run, w.Resumed
				case c.Is("apply"):
					m, err := runtime.ParseMessage(c)
					if err != nil {
						return err
					}
					seen := &messageSeen{Message: m, left: p.Came, reached: p.Gone, inForce: -1}
					seen.ordered = time.UnixMicro(int64(m.Run)).Sub(e.from) + m.At
					byNumber[m.Number] = seen
					s.messages = append(s.messages, seen)
				}
			}
		}
	}
	return nil
}

// check returns all breaks of the five rules that a history shows, by time; none, not nil, where there is none.
func (e *evidence) check(h *history) []Violation {
	out := []Violation{}
	out = append(out, e.neverBare(h)...)
	out = append(out, e.neverTwice(h)...)
	out = append(out, e.onceEach(h)...)
	out = append(out, e.drainsKept(h)...)
	out = append(out, e.coldKept(h)...)
	out = append(out, e.queueShort(h)...)
	for _, what := range e.mixed {
		out = append(out, Violation{Rule: noRule, At: e.until, Description: what})
	}
	slices.SortStableFunc(out, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return out
}

// holdings are a proxy's tables as its confirmations show them; the checker's own account, kept as the wire's page says.
type holdings struct {
	pilot  string
	run    uint64
	tables map[control.TableID]map[control.EndpointID]bool
	byType []map[control.EndpointID]bool // shared with tables
	out    map[control.EndpointID]bool
	token  string
	joined map[uint64]map[control.EndpointID]bool // what it joined with, by the digests of its hello
}

func (x *holdings) apply(m *runtime.Message) {
	if x.pilot != m.Pilot || x.run != m.Run {
		x.pilot, x.run, x.tables = m.Pilot, m.Run, map[control.TableID]map[control.EndpointID]bool{}
	}
	table := func(id control.TableID) map[control.EndpointID]bool {
		if x.tables[id] == nil {
			x.tables[id] = map[control.EndpointID]bool{}
		}
		return x.tables[id]
	}
	for _, c := range m.Changes {
		switch c.Verb {
		case runtime.AddServer, runtime.SetWeight:
			table(c.Table)[c.Endpoint] = true
		case runtime.DelServer:
			delete(table(c.Table), c.Endpoint)
		case runtime.AdoptTable:
			clear(table(c.Table))
			for e := range x.joined[c.Digest] {
				table(c.Table)[e] = true
			}
		case runtime.ClearTable:
			clear(table(c.Table))
		case runtime.SetMap:
			for i := range x.byType {
				if c.OpTypes == 0 || c.OpTypes&(1<<i) != 0 {
					x.byType[i] = table(c.Table)
				}
			}
		case runtime.SetState:
			if delete(x.out, c.Endpoint); c.Out {
				x.out[c.Endpoint] = true
			}
		case runtime.ClearState:
			clear(x.out)
		}
	}
}

// join notes what a proxy said of its tables.
func (x *holdings) join(h *runtime.Hello) {
	x.joined = map[uint64]map[control.EndpointID]bool{}
	for i, d := range h.Digests {
		if d != 0 && i < len(x.byType) {
			x.joined[d] = maps.Clone(x.byType[i])
		}
	}
}

// bare tells whether an op type has no line to pick.
func (x *holdings) bare(opType int) bool {
	for e := range x.byType[opType] {
		if !x.out[e] {
			return false
		}
	}
	return true
}

// warmListed tells whether a pilot's list shows, at a time, an endpoint as ready and surely warm.
func (e *evidence) warmListed(list []listed, at time.Duration) bool {
	last := map[control.EndpointID]listed{}
	for _, l := range list {
		if l.at <= at {
			last[l.endpoint] = l
		}
	}
	for _, l := range last {
		if l.mode == control.Ready && at-l.started >= e.limits.ColdFor.Span() {
			return true
		}
	}
	return false
}

// neverBare checks rule 1: a joined proxy never lacks a line past the limit while a warm ready endpoint is listed.
func (e *evidence) neverBare(h *history) (out []Violation) {
	held := map[int]*holdings{}
	types := len(e.service.OpTypes)
	for _, s := range h.streams {
		if s.hello == nil || s.joined < 0 {
			continue
		}
		x := held[s.proxy]
		if x == nil || x.token != s.hello.Token { // it started anew, with its standing table
			x = &holdings{token: s.hello.Token, out: map[control.EndpointID]bool{}, tables: map[control.TableID]map[control.EndpointID]bool{}}
			standing := map[control.EndpointID]bool{}
			for _, id := range s.hello.Standing {
				standing[id] = true
			}
			for range types {
				x.byType = append(x.byType, standing)
			}
			held[s.proxy] = x
		}
		x.join(s.hello)
		since := make([]time.Duration, types)
		look := func(at time.Duration) {
			for i := range types {
				if bare := x.bare(i); !bare {
					since[i] = -1
				} else if since[i] < 0 {
					since[i] = at
				}
			}
		}
		// A bare spell counts while the list shows somebody who could take the op.
		flag := func(until time.Duration) {
			for i := range types {
				if since[i] < 0 {
					continue
				}
				bareFor := time.Duration(0)
				const step = 50 * time.Millisecond
				for at := since[i]; at < until; at += step {
					if bareFor += step; !e.warmListed(h.lists[s.pilot], at) {
						bareFor = 0
					}
					if bareFor > e.limits.EmptyFor.Span()+slack {
						out = append(out, Violation{1, at, fmt.Sprintf("proxy %d had no line for op type %s since %v", s.proxy,
							e.service.OpTypes[i].Name, since[i].Round(time.Millisecond))})
						since[i] = until // one break a spell
						break
					}
				}
			}
		}
		for i := range since {
			since[i] = -1
		}
		look(s.joined)
		for _, m := range s.messages {
			if m.inForce < 0 {
				continue
			}
			flag(m.inForce)
			if !m.again {
				x.apply(m.Message)
			}
			look(m.inForce)
		}
		flag(s.ended)
	}
	return out
}

// neverTwice checks rule 2 on what reached the nodes: the tries of one client try are the proxy's.
func (e *evidence) neverTwice(h *history) (out []Violation) {
	type key struct {
		op    uint64
		try   int
		proxy int
	}
	types := e.service.Types()
	tries := map[key][]node.Arrival{}
	for _, a := range e.arrivals {
		if a.Proxy >= 0 && a.Op > 0 {
			tries[key{a.Op, a.Try, a.Proxy}] = append(tries[key{a.Op, a.Try, a.Proxy}], a)
		}
	}
	for k, list := range tries {
		if len(list) < 2 {
			continue
		}
		t := types[list[0].OpType]
		var ran []node.Arrival
		for _, a := range list {
			if len(ran) > 0 {
				what := ""
				switch {
				case t.Repeat == control.OnceOnly:
					what = "a once-only op was tried again after a try that may have run"
				case t.Repeat == control.Deduplicated && a.At-ran[0].At > t.DedupWindow:
					what = "a deduplicated op was tried again after its window"
				case t.Repeat == control.Deduplicated && !h.places.same(t.Group, a.Endpoint, ran[0].Endpoint):
					what = "a deduplicated op was tried again outside its group"
				}
				if what != "" {
					out = append(out, Violation{2, a.At, fmt.Sprintf("proxy %d, op %d: %s", k.proxy, k.op, what)})
				}
			}
			if a.Taken {
				ran = append(ran, a)
			}
		}
	}
	slices.SortFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Description, b.Description))
	})
	return out
}

// place is where an endpoint stands, by the list.
type place struct {
	zone string
	pack int
}

type places map[control.EndpointID]place

func (p places) same(g control.Group, a, b control.EndpointID) bool {
	switch x, y := p[a], p[b]; g {
	case control.GroupZone:
		return x.zone == y.zone
	case control.GroupPack:
		return x == y
	}
	return true
}

// joinedTo returns the stream that a proxy, of these, has at a time; nil if none.
func joinedTo(streams []*streamSeen, at time.Duration) (found *streamSeen) {
	for _, s := range streams {
		if s.joined >= 0 && s.joined <= at && at <= s.ended {
			found = s
		}
	}
	return found
}

func (h *history) byProxy() map[int][]*streamSeen {
	out := map[int][]*streamSeen{}
	for _, s := range h.streams {
		out[s.proxy] = append(out[s.proxy], s)
	}
	return out
}

// modeAt returns how a pilot's list shows an endpoint at a time, and since when it has not been ready.
func modeAt(list []listed, id control.EndpointID, at time.Duration) (mode control.Mode, since time.Duration, known bool) {
	for _, l := range list {
		if l.endpoint != id || l.at > at {
			continue
		}
		if l.mode != control.Ready && (!known || mode == control.Ready) {
			since = l.at
		}
		mode, known = l.mode, true
	}
	return mode, since, known
}

// drainsKept checks rule 3: joined proxies stop sending to an endpoint that drains or is gone within the grace from when
// their pilot knew, or from when they joined.
func (e *evidence) drainsKept(h *history) (out []Violation) {
	byProxy := h.byProxy()
	byEndpoint := make([]map[control.EndpointID][]listed, len(h.lists))
	for i, l := range h.lists {
		byEndpoint[i] = map[control.EndpointID][]listed{}
		for _, x := range l {
			byEndpoint[i][x.endpoint] = append(byEndpoint[i][x.endpoint], x)
		}
	}
	flagged := map[[2]int]bool{}
	for _, a := range e.arrivals {
		s := joinedTo(byProxy[a.Proxy], a.At)
		if s == nil || flagged[[2]int{a.Proxy, int(a.Endpoint)}] {
			continue
		}
		mode, since, known := modeAt(byEndpoint[s.pilot][a.Endpoint], a.Endpoint, a.At)
		if !known || mode == control.Ready {
			continue
		}
		if late := a.At - max(since, s.joined); late > e.limits.DrainGrace.Span()+slack {
			flagged[[2]int{a.Proxy, int(a.Endpoint)}] = true
			out = append(out, Violation{3, a.At, fmt.Sprintf("proxy %d sent to e%d %v after its pilot knew that it was %s",
				a.Proxy, a.Endpoint, late.Round(time.Millisecond), [...]string{"gone", "draining"}[mode])})
		}
	}
	return out
}

// coldKept checks rule 4: no cold endpoint is pushed over by proxies whose orders knew of its start.
func (e *evidence) coldKept(h *history) (out []Violation) {
	byProxy := h.byProxy()
	for _, f := range e.falls {
		knowing, all := time.Duration(0), time.Duration(0)
		for _, a := range e.arrivals {
			if a.Endpoint != f.Endpoint || a.At > f.At || a.At < f.At-e.limits.FallAfter.Span() {
				continue
			}
			all += a.Work
			s := joinedTo(byProxy[a.Proxy], a.At)
			if s == nil {
				continue
			}
			knew := time.Duration(-1)
			for _, l := range h.lists[s.pilot] {
				if l.endpoint == f.Endpoint && l.mode == control.Ready && l.at <= a.At && l.started > f.At-e.limits.ColdFor.Span() {
					knew = l.at
				}
			}
			if knew < 0 {
				continue
			}
			last := time.Duration(-1)
			for _, m := range s.messages {
				if m.inForce >= 0 && m.inForce <= a.At {
					last = m.ordered
				}
			}
			if last >= knew || a.At-knew > e.limits.DrainGrace.Span() {
				knowing += a.Work
			}
		}
		if 3*knowing >= 2*all && all > 0 {
			out = append(out, Violation{4, f.At, fmt.Sprintf("e%d fell over while cold; %.0f%% of its work came on orders that knew",
				f.Endpoint, 100*float64(knowing)/float64(all))})
		}
	}
	return out
}

// queueShort checks rule 5: the lines between their order and their leaving stay within the bound, the pace is kept, and
// so is the cap on messages to one proxy.
func (e *evidence) queueShort(h *history) (out []Violation) {
	type step struct {
		at    time.Duration
		lines int
	}
	for p := range h.lists {
		var steps []step
		written := map[int][]time.Duration{}
		var sent []*messageSeen
		for _, s := range h.streams {
			if s.pilot != p {
				continue
			}
			for _, m := range s.messages {
				steps = append(steps, step{m.ordered, m.Lines}, step{m.left, -m.Lines})
				written[s.proxy] = append(written[s.proxy], m.ordered)
				sent = append(sent, m)
			}
		}
		slices.SortStableFunc(steps, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.lines, b.lines)) })
		waiting := 0
		for _, x := range steps {
			if waiting += x.lines; waiting > e.channel.MostWaiting {
				out = append(out, Violation{5, x.at, fmt.Sprintf("pilot %d had %d lines waiting, %d are allowed", p, waiting,
					e.channel.MostWaiting)})
				break
			}
		}
		slices.SortStableFunc(sent, func(a, b *messageSeen) int { return cmp.Compare(a.left, b.left) })
		if at, lines := e.pace(sent); lines > 0 {
			out = append(out, Violation{5, at, fmt.Sprintf("pilot %d sent %d lines within a second, %.0f are its pace", p, lines,
				e.channel.LinesPerSecond)})
		}
		for _, proxy := range sortedKeys(written) {
			if c := e.channel; c.MessageCap > 0 {
				w := written[proxy]
				slices.Sort(w)
				for i := c.MessageCap; i < len(w); i++ {
					if w[i]-w[i-c.MessageCap] < c.MessageCapOver.Span()-slack {
						out = append(out, Violation{5, w[i], fmt.Sprintf("proxy %d was written more than %d messages within %v", proxy,
							c.MessageCap, c.MessageCapOver.Span())})
						break
					}
				}
			}
		}
	}
	return out
}

// pace returns when more lines left within a second than the pace allows, one message and the slack beyond, and how many.
func (e *evidence) pace(sent []*messageSeen) (time.Duration, int) {
	lines, most, first := 0, 0, 0
	for _, m := range sent {
		lines += m.Lines
		most = max(most, m.Lines)
		for m.left-sent[first].left > time.Second {
			lines -= sent[first].Lines
			first++
		}
		if float64(lines-2*most) > e.channel.LinesPerSecond*(time.Second+2*slack).Seconds() {
			return m.left, lines
		}
	}
	return 0, 0
}

func sortedKeys[V any](m map[int]V) []int {
	out := make([]int, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
