package proxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/runtime"
	"vetchdoor/tenancy"
)

// bindings are the tenants that are not where their names draw them, or were lately not. A change makes new ones.
type bindings struct {
	of    map[string]tenancy.Binding
	pilot string // whose orders they are; all of them up to the number. Empty: not all of anybody's
	upTo  uint64
	wait  time.Duration // what a write and its repeats may take

	// untold says that bindings are kept, so that tenants may have been moved, and no pilot has ever told this proxy which were.
	untold bool
}

// holds tells whether a tenant's writes are to wait.
func (b *bindings) holds(tenant string, t *control.OpType, now time.Duration) bool {
	if t.Repeat == control.Retryable {
		return false
	}
	x, bound := b.of[tenant]
	return bound && !x.AllowsWrites(now, b.wait)
}

// take returns the bindings after a message and those that it changed, by tenant.
func (b *bindings) take(m *runtime.Message, now time.Duration) (*bindings, map[string]tenancy.Binding) {
	any := func(c runtime.Change) bool { return c.Verb == runtime.SetBinding || c.Verb == runtime.ClearBindings }
	if !slices.ContainsFunc(m.Changes, any) {
		return b, nil
	}
	next := *b
	n, changed := &next, map[string]tenancy.Binding{}
	n.of = maps.Clone(b.of)
	set := func(tenant string, number uint64, seat tenancy.Placement, held bool) {
		x, ok := n.of[tenant]
		if !ok {
			x = tenancy.Bound()
		}
		n.of[tenant] = x.Take(now, n.wait, m.Pilot, number, seat, held)
		changed[tenant] = n.of[tenant]
	}
	for _, c := range m.Changes {
		switch c.Verb {
		case runtime.SetBinding:
			set(c.Tenant, c.Number, c.Seat, c.Held)
			if n.pilot != m.Pilot {
				n.pilot, n.upTo = "", 0
			} else {
				n.upTo = max(n.upTo, c.Number)
			}
		case runtime.ClearBindings:
			n.pilot, n.upTo, n.untold = m.Pilot, c.Number, false
			for name, x := range n.of {
				if x.Pilot != m.Pilot || x.Number <= c.Number {
					set(name, c.Number, tenancy.Placement{}, false)
				}
				n.upTo = max(n.upTo, n.of[name].Number)
			}
		}
	}
	return n, changed
}

// sweep leaves out those that are home again and open, which are none.
func (b *bindings) sweep(now time.Duration) (*bindings, map[string]tenancy.Binding) {
	gone := map[string]tenancy.Binding{}
	for name, x := range b.of {
		if !x.Held && x.Placement.Equal(tenancy.Placement{}) && x.AllowsWrites(now, b.wait) && x.Number <= b.upTo {
			gone[name] = x
		}
	}
	if len(gone) == 0 {
		return b, nil
	}
	n := *b
	n.of = maps.Clone(b.of)
	for name := range gone {
		delete(n.of, name)
	}
	return &n, gone
}

// keeper keeps bindings on disk: a file of lines, the newest of a tenant counts, the last of all says whose they are. It is
// written beside the proxy's work; what applies a message waits for it a moment, no longer.
type keeper struct {
	path  string
	log   *slog.Logger
	mu    sync.Mutex
	all   *bindings // the newest, to be written
	next  map[string]tenancy.Binding
	waits []chan struct{}
	late  bool
	wake  chan struct{}
	done  chan struct{}
	lines int
	end   sync.Once
}

// keptLine is a line of the file.
type keptLine struct {
	Tenant  *string          `json:"tenant,omitempty"`
	Binding *tenancy.Binding `json:"binding,omitempty"` // none: the tenant is home
	Pilot   string           `json:"pilot,omitempty"`
	UpTo    uint64           `json:"up_to,omitempty"`
}

// patience is how long a message waits for the disk.
const patience = 200 * time.Millisecond

// openBindings reads what was kept; without a path nothing is.
func openBindings(path string, wait, now time.Duration, log *slog.Logger) (*bindings, *keeper, error) {
	b := &bindings{of: map[string]tenancy.Binding{}, wait: wait}
	if path == "" {
		return b, nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	b.untold = true
	lines := bytes.Split(text, []byte("\n"))
	for i, line := range lines {
		var l keptLine
		if i == len(lines)-1 { // what stands behind the last line's end was cut off while it was written, and never confirmed
			break
		}
		if err := json.Unmarshal(line, &l); err != nil {
			return nil, nil, fmt.Errorf("%s:%d: not a line of bindings, or torn: %w; without the file the proxy starts as a new one", path, i+1, err)
		}
		switch {
		case l.Tenant != nil && l.Binding != nil:
			b.of[*l.Tenant] = l.Binding.Kept(now)
		case l.Tenant != nil:
			delete(b.of, *l.Tenant)
		default:
			b.pilot, b.upTo = l.Pilot, l.UpTo
			b.untold = b.untold && l.Pilot == ""
		}
	}
	k := &keeper{path: path, log: log, wake: make(chan struct{}, 1), done: make(chan struct{}), all: b}
	if err := k.anew(b); err != nil {
		return nil, nil, err
	}
	return b, k, nil
}

func appendLine(out []byte, l keptLine) []byte {
	text, err := json.Marshal(l)
	if err != nil { // none of its fields can fail
		panic(err)
	}
	return append(append(out, text...), '\n')
}

// whose is the line that says whose the bindings are.
func (b *bindings) whose(out []byte) []byte {
	return appendLine(out, keptLine{Pilot: b.pilot, UpTo: b.upTo})
}

// anew writes the whole file.
func (k *keeper) anew(b *bindings) error {
	var out []byte
	for _, name := range slices.Sorted(maps.Keys(b.of)) {
		x := b.of[name]
		out = appendLine(out, keptLine{Tenant: &name, Binding: &x})
	}
	k.lines = len(b.of) + 1
	return files.Replace(k.path, b.whose(out))
}

// keep has a change written and waits for it a moment.
func (k *keeper) keep(all *bindings, changed map[string]tenancy.Binding) {
	if k == nil {
		return
	}
	written := make(chan struct{})
	k.mu.Lock()
	if k.all = all; k.next == nil {
		k.next = map[string]tenancy.Binding{}
	}
	maps.Copy(k.next, changed)
	k.waits = append(k.waits, written)
	late := k.late
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
	if late { // it was too slow already; nobody waits for it until it has caught up
		return
	}
	select {
	case <-written:
	case <-time.After(patience):
		k.log.Error("the disk is slow: bindings of tenants are in force before they are kept", "file", k.path)
		k.mu.Lock()
		k.late = true
		k.mu.Unlock()
	}
}

func (k *keeper) start() {
	if k != nil {
		go k.run()
	}
}

func (k *keeper) run() {
	defer close(k.done)
	for range k.wake {
		k.mu.Lock()
		all, next, waits := k.all, k.next, k.waits
		k.next, k.waits = nil, nil
		k.mu.Unlock()
		if len(waits) == 0 {
			continue
		}
		err := k.write(all, next)
		k.mu.Lock()
		k.late = err != nil
		k.mu.Unlock()
		if err != nil {
			k.log.Error("bindings of tenants could not be kept on disk", "file", k.path, "error", err)
		}
		for _, w := range waits {
			close(w)
		}
	}
}

// write appends what changed, or writes all anew where the file has grown long or the last write failed.
func (k *keeper) write(all *bindings, next map[string]tenancy.Binding) error {
	k.mu.Lock()
	failed := k.late
	k.mu.Unlock()
	if k.lines > 4*len(all.of)+1000 || failed {
		return k.anew(all)
	}
	var out []byte
	for _, name := range slices.Sorted(maps.Keys(next)) {
		l := keptLine{Tenant: &name}
		if x, ok := all.of[name]; ok {
			l.Binding = &x
		}
		out = appendLine(out, l)
	}
	k.lines += len(next) + 1
	f, err := os.OpenFile(k.path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = f.Write(all.whose(out))
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// behind tells whether the disk does not keep up.
func (k *keeper) behind() bool {
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.late
}

func (k *keeper) close() {
	if k != nil {
		k.end.Do(func() { close(k.wake) })
		<-k.done
	}
}
