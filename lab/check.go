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

// Violation is a breach of one of the five rules, or another fault, whose Rule is noRule. At is the time since the fleet
// was created; Description is what was observed.
type Violation struct {
	Rule        int           `json:"rule"`
	At          time.Duration `json:"at"`
	Description string        `json:"what"`
}

// evidence is the input of the rule checks: the bytes that crossed the links, what the nodes observed and what the clients
// saw. It comes from observers outside the control plane; nothing is asked of pilots or proxies.
type evidence struct {
	service     *files.Service
	limits      *files.Limits
	channel     *files.Channel
	start       time.Time // creation of the fleet, from which all other times count
	traffic     []link.Transfer
	arrivals    []node.Arrival
	effects     []node.Effect
	ops         []*op
	coldCrashes []node.Crash
	mixups      []string // descriptions of requests and responses that were mixed up with others
	end         time.Duration
}

// noRule marks a violation that belongs to none of the five rules, such as a response that was sent to the wrong request.
const noRule = 0

// measurementSlack is the error that the measurement itself may add to a time: a relay's hop and scheduling delay on a busy
// machine.
const measurementSlack = 150 * time.Millisecond

// history is the control traffic reconstructed from the taps, by pilot and by proxy.
type history struct {
	listChanges [][]listChange // indexed by pilot
	placements  placements     // where the endpoints run, from the lists
	streams     []*observedStream
}

// listChange is a change of an endpoint that a pilot received from the list service.
type listChange struct {
	at       time.Duration // when it reached the pilot
	endpoint control.EndpointID
	mode     control.Mode
	started  time.Duration // start time of the endpoint; far below 0 if the list gives none
}

// observedStream is one stream between a proxy and a pilot.
type observedStream struct {
	proxy, pilot int
	hello        *runtime.Hello
	joined       time.Duration // when the welcome reached the proxy; negative if it never did
	ended        time.Duration // when it closed, or the end of the run
	resumed      bool
	run          uint64
	messages     []*observedMessage
}

// observedMessage is a message of a pilot as it crossed the link to a proxy.
type observedMessage struct {
	*runtime.Message
	sent      time.Duration // when it left the pilot
	received  time.Duration // when it reached the proxy
	confirmed time.Duration // when its first confirmation left the proxy; negative if none was seen
	reapplied bool          // the confirmation reports that the proxy had already applied the message
	decided   time.Duration // when the pilot decided it, by the clock of its run
}

// reconstruct builds the history from the traffic on the taps. It returns an error if a connection cannot be parsed.
func (e *evidence) reconstruct(pilots int) (*history, error) {
	h := &history{listChanges: make([][]listChange, pilots), placements: placements{}}
	byConn := map[int][]link.Transfer{}
	var order []int
	for _, p := range e.traffic {
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
			h.listChanges[n], err = e.readList(h.listChanges[n], h.placements, pieces)
		case "stream":
			s := &observedStream{joined: -1, ended: e.end}
			fmt.Sscan(name[1], &s.proxy)
			fmt.Sscan(name[2], &s.pilot)
			err = e.readStream(s, pieces)
			h.streams = append(h.streams, s)
		}
		if err != nil {
			return nil, fmt.Errorf("%s, connection %d: %w", pieces[0].Link, id, err)
		}
	}
	for _, l := range h.listChanges {
		slices.SortStableFunc(l, func(a, b listChange) int { return cmp.Compare(a.at, b.at) })
	}
	slices.SortStableFunc(h.streams, func(a, b *observedStream) int { return cmp.Compare(a.joined, b.joined) })
	return h, nil
}

// readList appends the changes in the traffic of one connection to the list service to changes, and records the
// placements of the listed endpoints. An endpoint that is missing from a full list counts as gone.
func (e *evidence) readList(changes []listChange, placements placements, pieces []link.Transfer) ([]listChange, error) {
	listed := map[control.EndpointID]bool{}
	for _, l := range changes {
		listed[l.endpoint] = true
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
			var update roster.Update
			if err := json.Unmarshal(line, &update); err != nil {
				return changes, err
			}
			inUpdate := map[control.EndpointID]bool{}
			for _, entry := range update.Entries {
				mode, err := files.ParseMode(entry.Mode)
				if err != nil {
					return changes, err
				}
				started := -time.Duration(1 << 60)
				if entry.Started > 0 {
					started = time.UnixMilli(entry.Started).Sub(e.start)
				}
				changes = append(changes, listChange{p.ForwardedAt, entry.Endpoint, mode, started})
				if inUpdate[entry.Endpoint], listed[entry.Endpoint] = true, true; mode != control.Gone {
					placements[entry.Endpoint] = placement{entry.Zone, entry.Pack}
				}
			}
			if update.Kind == "full" {
				for id := range listed {
					if !inUpdate[id] {
						changes = append(changes, listChange{p.ForwardedAt, id, control.Gone, 0})
					}
				}
			}
		}
	}
	return changes, nil
}

// readStream adds the hello, the welcome, the messages and their confirmations in the traffic of one stream to s.
func (e *evidence) readStream(s *observedStream, pieces []link.Transfer) error {
	blocks, scan := runtime.NewBlockReader(1<<24), runtime.NewScanner(runtime.StreamBounds)
	byNumber := map[uint64]*observedMessage{}
	for _, p := range pieces {
		switch {
		case p.End:
			s.ended = p.ForwardedAt
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
				case runtime.Confirmation:
					if m := byNumber[b.Number]; m != nil && m.confirmed < 0 {
						m.confirmed, m.reapplied = p.ReceivedAt, b.Duplicate
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
				case c.HasPrefix("welcome"):
					w, err := runtime.ParseWelcome(c)
					if err != nil {
						return err
					}
					s.joined, s.run, s.resumed = p.ForwardedAt, w.Run, w.Resumed
				case c.HasPrefix("apply"):
					m, err := runtime.ParseMessage(c)
					if err != nil {
						return err
					}
					seen := &observedMessage{Message: m, sent: p.ReceivedAt, received: p.ForwardedAt, confirmed: -1}
					seen.decided = time.UnixMicro(int64(m.Run)).Sub(e.start) + m.CreatedAt
					byNumber[m.Number] = seen
					s.messages = append(s.messages, seen)
				}
			}
		}
	}
	return nil
}

// check returns all violations of the five rules in the history, sorted by time. The result is never nil, so that a report
// shows an empty list.
func (e *evidence) check(h *history) []Violation {
	out := []Violation{}
	out = append(out, e.checkTables(h)...)
	out = append(out, e.checkRetries(h)...)
	out = append(out, e.checkDuplicates(h)...)
	out = append(out, e.checkDrains(h)...)
	out = append(out, e.checkColdServers(h)...)
	out = append(out, e.checkQueues(h)...)
	for _, description := range e.mixups {
		out = append(out, Violation{Rule: noRule, At: e.end, Description: description})
	}
	slices.SortStableFunc(out, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return out
}

// proxyTables is the state of a proxy's tables as its confirmations imply it. The checker computes it independently of the
// proxy, by the semantics of the wire protocol.
type proxyTables struct {
	pilot     string
	run       uint64
	tables    map[control.TableID]map[control.EndpointID]bool
	byType    []map[control.EndpointID]bool // current table of each op type; shares its maps with tables
	withdrawn map[control.EndpointID]bool
	token     string
	byDigest  map[uint64]map[control.EndpointID]bool // tables that the proxy held when it joined, by the digests in its hello
}

// apply applies the changes of a confirmed message. A message of another pilot or run starts with no tables; the current
// table of an op type stays in use until the new run maps another one.
func (x *proxyTables) apply(m *runtime.Message) {
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
			for e := range x.byDigest[c.Digest] {
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
			if delete(x.withdrawn, c.Endpoint); c.Drained {
				x.withdrawn[c.Endpoint] = true
			}
		case runtime.ClearState:
			clear(x.withdrawn)
		}
	}
}

// join records the digests that a proxy's hello gives for its current tables.
func (x *proxyTables) join(h *runtime.Hello) {
	x.byDigest = map[uint64]map[control.EndpointID]bool{}
	for i, d := range h.Digests {
		if d != 0 && i < len(x.byType) {
			x.byDigest[d] = maps.Clone(x.byType[i])
		}
	}
}

// empty reports whether the table of an op type has no endpoint that may be picked.
func (x *proxyTables) empty(opType int) bool {
	for e := range x.byType[opType] {
		if !x.withdrawn[e] {
			return false
		}
	}
	return true
}

// hasWarmEndpoint reports whether a pilot's list shows, at the given time, an endpoint that is ready and has been up for
// at least the cold period.
func (e *evidence) hasWarmEndpoint(list []listChange, at time.Duration) bool {
	last := map[control.EndpointID]listChange{}
	for _, l := range list {
		if l.at <= at {
			last[l.endpoint] = l
		}
	}
	for _, l := range last {
		if l.mode == control.Ready && at-l.started >= e.limits.ColdFor.AsDuration() {
			return true
		}
	}
	return false
}

// checkTables checks rule 1: while a warm ready endpoint is listed, no joined proxy is without an endpoint for an op type
// for longer than the limit.
func (e *evidence) checkTables(h *history) (out []Violation) {
	tablesByProxy := map[int]*proxyTables{}
	typeCount := len(e.service.OpTypes)
	for _, s := range h.streams {
		if s.hello == nil || s.joined < 0 {
			continue
		}
		tables := tablesByProxy[s.proxy]
		if tables == nil || tables.token != s.hello.Token { // the proxy was restarted and uses its standing table
			tables = &proxyTables{token: s.hello.Token, withdrawn: map[control.EndpointID]bool{},
				tables: map[control.TableID]map[control.EndpointID]bool{}}
			standing := map[control.EndpointID]bool{}
			for _, id := range s.hello.Standing {
				standing[id] = true
			}
			for range typeCount {
				tables.byType = append(tables.byType, standing)
			}
			tablesByProxy[s.proxy] = tables
		}
		tables.join(s.hello)
		emptySince := make([]time.Duration, typeCount)
		update := func(at time.Duration) {
			for i := range typeCount {
				if isEmpty := tables.empty(i); !isEmpty {
					emptySince[i] = -1
				} else if emptySince[i] < 0 {
					emptySince[i] = at
				}
			}
		}
		// report adds a violation for each op type whose table stayed empty past the limit. The period restarts whenever
		// the list shows no warm ready endpoint.
		report := func(until time.Duration) {
			for i := range typeCount {
				if emptySince[i] < 0 {
					continue
				}
				emptyFor := time.Duration(0)
				const step = 50 * time.Millisecond
				for at := emptySince[i]; at < until; at += step {
					if emptyFor += step; !e.hasWarmEndpoint(h.listChanges[s.pilot], at) {
						emptyFor = 0
					}
					if emptyFor > e.limits.EmptyFor.AsDuration()+measurementSlack {
						out = append(out, Violation{1, at, fmt.Sprintf("proxy %d had no endpoint for op type %s since %v", s.proxy,
							e.service.OpTypes[i].Name, emptySince[i].Round(time.Millisecond))})
						emptySince[i] = until // at most one violation for each period without an endpoint
						break
					}
				}
			}
		}
		for i := range emptySince {
			emptySince[i] = -1
		}
		update(s.joined)
		for _, m := range s.messages {
			if m.confirmed < 0 {
				continue
			}
			report(m.confirmed)
			if !m.reapplied {
				tables.apply(m.Message)
			}
			update(m.confirmed)
		}
		report(s.ended)
	}
	return out
}

// checkRetries checks rule 2 on the tries that reached the nodes: several arrivals of one client try through one proxy are
// that proxy's retries.
func (e *evidence) checkRetries(h *history) (out []Violation) {
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
		var mayHaveRun []node.Arrival
		for _, a := range list {
			if len(mayHaveRun) > 0 {
				reason := ""
				switch {
				case t.Repeat == control.OnceOnly:
					reason = "a once-only op was retried after a try that may have run"
				case t.Repeat == control.Deduplicated && a.At-mayHaveRun[0].At > t.DedupWindow:
					reason = "a deduplicated op was retried after its deduplication window"
				case t.Repeat == control.Deduplicated && !h.placements.sameGroup(t.Group, a.Endpoint, mayHaveRun[0].Endpoint):
					reason = "a deduplicated op was retried outside its group"
				}
				if reason != "" {
					out = append(out, Violation{2, a.At, fmt.Sprintf("proxy %d, op %d: %s", k.proxy, k.op, reason)})
				}
			}
			if a.Accepted {
				mayHaveRun = append(mayHaveRun, a)
			}
		}
	}
	slices.SortFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Description, b.Description))
	})
	return out
}

// placement is the zone and pack of an endpoint, from the list.
type placement struct {
	zone string
	pack int
}

// placements maps each endpoint to its zone and pack.
type placements map[control.EndpointID]placement

// sameGroup reports whether two endpoints belong to the same dedup group.
func (p placements) sameGroup(g control.Group, a, b control.EndpointID) bool {
	switch x, y := p[a], p[b]; g {
	case control.GroupZone:
		return x.zone == y.zone
	case control.GroupPack:
		return x == y
	}
	return true
}

// streamAt returns the stream on which a proxy was joined at the given time, or nil if there was none. streams are those
// of that proxy.
func streamAt(streams []*observedStream, at time.Duration) (found *observedStream) {
	for _, s := range streams {
		if s.joined >= 0 && s.joined <= at && at <= s.ended {
			found = s
		}
	}
	return found
}

// byProxy returns the streams of each proxy.
func (h *history) byProxy() map[int][]*observedStream {
	out := map[int][]*observedStream{}
	for _, s := range h.streams {
		out[s.proxy] = append(out[s.proxy], s)
	}
	return out
}

// modeAt returns the mode that a pilot's list showed for an endpoint at the given time, the time since which it has not
// been ready, and whether the endpoint was listed by then.
func modeAt(list []listChange, id control.EndpointID, at time.Duration) (mode control.Mode, since time.Duration, known bool) {
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

// checkDrains checks rule 3: a joined proxy stops sending to a draining or removed endpoint within the grace period. The
// period starts when its pilot received the list change, or when the proxy joined if that was later.
func (e *evidence) checkDrains(h *history) (out []Violation) {
	byProxy := h.byProxy()
	byEndpoint := make([]map[control.EndpointID][]listChange, len(h.listChanges))
	for i, l := range h.listChanges {
		byEndpoint[i] = map[control.EndpointID][]listChange{}
		for _, x := range l {
			byEndpoint[i][x.endpoint] = append(byEndpoint[i][x.endpoint], x)
		}
	}
	flagged := map[[2]int]bool{}
	for _, a := range e.arrivals {
		s := streamAt(byProxy[a.Proxy], a.At)
		if s == nil || flagged[[2]int{a.Proxy, int(a.Endpoint)}] {
			continue
		}
		mode, since, known := modeAt(byEndpoint[s.pilot][a.Endpoint], a.Endpoint, a.At)
		if !known || mode == control.Ready {
			continue
		}
		if elapsed := a.At - max(since, s.joined); elapsed > e.limits.DrainGrace.AsDuration()+measurementSlack {
			flagged[[2]int{a.Proxy, int(a.Endpoint)}] = true
			out = append(out, Violation{3, a.At, fmt.Sprintf("proxy %d sent to e%d %v after its pilot saw it listed as %s",
				a.Proxy, a.Endpoint, elapsed.Round(time.Millisecond), [...]string{"gone", "draining"}[mode])})
		}
	}
	return out
}

// checkColdServers checks rule 4: proxies do not overload a cold endpoint until it fails, once they were informed of its
// start. A failure counts when at least two thirds of the endpoint's recent work came from proxies whose last confirmed
// message was decided after the start was listed, or whose pilot had listed it for longer than the drain grace.
func (e *evidence) checkColdServers(h *history) (out []Violation) {
	byProxy := h.byProxy()
	for _, fall := range e.coldCrashes {
		informedWork, totalWork := time.Duration(0), time.Duration(0)
		for _, a := range e.arrivals {
			if a.Endpoint != fall.Endpoint || a.At > fall.At || a.At < fall.At-e.limits.FallAfter.AsDuration() {
				continue
			}
			totalWork += a.Work
			s := streamAt(byProxy[a.Proxy], a.At)
			if s == nil {
				continue
			}
			listedAt := time.Duration(-1)
			for _, l := range h.listChanges[s.pilot] {
				if l.endpoint == fall.Endpoint && l.mode == control.Ready && l.at <= a.At && l.started > fall.At-e.limits.ColdFor.AsDuration() {
					listedAt = l.at
				}
			}
			if listedAt < 0 {
				continue
			}
			lastDecided := time.Duration(-1)
			for _, m := range s.messages {
				if m.confirmed >= 0 && m.confirmed <= a.At {
					lastDecided = m.decided
				}
			}
			if lastDecided >= listedAt || a.At-listedAt > e.limits.DrainGrace.AsDuration() {
				informedWork += a.Work
			}
		}
		if 3*informedWork >= 2*totalWork && totalWork > 0 {
			out = append(out, Violation{4, fall.At,
				fmt.Sprintf("e%d failed from overload while cold; %.0f%% of its work came from proxies that were informed of its start",
					fall.Endpoint, 100*float64(informedWork)/float64(totalWork))})
		}
	}
	return out
}

// checkQueues checks rule 5 for each pilot: the message lines that it has decided and not yet sent stay within the
// bound, lines leave no faster than the configured rate, and each proxy receives no more messages than the cap allows.
func (e *evidence) checkQueues(h *history) (out []Violation) {
	type queueChange struct {
		at    time.Duration
		lines int
	}
	for p := range h.listChanges {
		var queueChanges []queueChange
		decidedByProxy := map[int][]time.Duration{}
		var sent []*observedMessage
		for _, s := range h.streams {
			if s.pilot != p {
				continue
			}
			for _, m := range s.messages {
				queueChanges = append(queueChanges, queueChange{m.decided, m.Lines}, queueChange{m.sent, -m.Lines})
				decidedByProxy[s.proxy] = append(decidedByProxy[s.proxy], m.decided)
				sent = append(sent, m)
			}
		}
		slices.SortStableFunc(queueChanges, func(a, b queueChange) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.lines, b.lines))
		})
		waiting := 0
		for _, x := range queueChanges {
			if waiting += x.lines; waiting > e.channel.MaxWaitingLines {
				out = append(out, Violation{5, x.at, fmt.Sprintf("pilot %d had %d lines queued, the limit is %d", p, waiting,
					e.channel.MaxWaitingLines)})
				break
			}
		}
		slices.SortStableFunc(sent, func(a, b *observedMessage) int { return cmp.Compare(a.sent, b.sent) })
		if at, lines := e.paceExceeded(sent); lines > 0 {
			out = append(out, Violation{5, at, fmt.Sprintf("pilot %d sent %d lines within a second, the limit is %.0f", p, lines,
				e.channel.LinesPerSecond)})
		}
		for _, proxy := range sortedKeys(decidedByProxy) {
			if c := e.channel; c.MessageCap > 0 {
				times := decidedByProxy[proxy]
				slices.Sort(times)
				for i := c.MessageCap; i < len(times); i++ {
					if times[i]-times[i-c.MessageCap] < c.MessageCapPeriod.AsDuration()-measurementSlack {
						out = append(out, Violation{5, times[i], fmt.Sprintf("proxy %d was sent more than %d messages within %v", proxy,
							c.MessageCap, c.MessageCapPeriod.AsDuration())})
						break
					}
				}
			}
		}
	}
	return out
}

// paceExceeded returns the first time at which more lines had left a pilot within a second than the configured rate allows,
// with the number of lines; 0, 0 if there was none. The allowance includes two messages of the largest size and
// measurementSlack.
func (e *evidence) paceExceeded(sent []*observedMessage) (time.Duration, int) {
	lines, largest, first := 0, 0, 0
	for _, m := range sent {
		lines += m.Lines
		largest = max(largest, m.Lines)
		for m.sent-sent[first].sent > time.Second {
			lines -= sent[first].Lines
			first++
		}
		if float64(lines-2*largest) > e.channel.LinesPerSecond*(time.Second+2*measurementSlack).Seconds() {
			return m.sent, lines
		}
	}
	return 0, 0
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[int]V) []int {
	out := make([]int, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
