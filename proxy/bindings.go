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

// bindings are the placements of tenants that differ from the default, which the tenant's name determines, or did so
// recently. A value is immutable once published; every change makes a new one.
type bindings struct {
	byTenant  map[string]tenancy.Binding
	pilot     string        // the pilot whose binding updates are included up to number upTo; empty if no pilot's are complete
	upTo      uint64        // number up to which the updates of pilot are included
	writeWait time.Duration // longest time a write can be in progress plus the longest deduplication window of a group

	// unsynced is true if bindings are persisted, so that tenants may have been moved, but no pilot has yet sent this proxy
	// a complete set.
	unsynced bool
}

// holdsWrites reports whether ops of type t must be rejected for now because they write and their tenant is being moved.
func (b *bindings) holdsWrites(tenant string, t *control.OpType, now time.Duration) bool {
	if t.Repeat == control.Retryable {
		return false
	}
	binding, bound := b.byTenant[tenant]
	return bound && !binding.AllowsWrites(now, b.writeWait)
}

// apply returns the bindings after a message, and the bindings that it changed, by tenant. If the message holds no binding
// it returns b itself.
func (b *bindings) apply(m *runtime.Message, now time.Duration) (*bindings, map[string]tenancy.Binding) {
	isBinding := func(c runtime.Change) bool { return c.Verb == runtime.SetBinding || c.Verb == runtime.ClearBindings }
	if !slices.ContainsFunc(m.Changes, isBinding) {
		return b, nil
	}
	next := *b
	after, changed := &next, map[string]tenancy.Binding{}
	after.byTenant = maps.Clone(b.byTenant)
	setBinding := func(tenant string, number uint64, placement tenancy.Placement, held bool) {
		binding, ok := after.byTenant[tenant]
		if !ok {
			binding = tenancy.NewBinding()
		}
		after.byTenant[tenant] = binding.Apply(now, after.writeWait, m.Pilot, number, placement, held)
		changed[tenant] = after.byTenant[tenant]
	}
	for _, c := range m.Changes {
		switch c.Verb {
		case runtime.SetBinding:
			setBinding(c.Tenant, c.Number, c.Placement, c.Held)
			if after.pilot != m.Pilot {
				after.pilot, after.upTo = "", 0
			} else {
				after.upTo = max(after.upTo, c.Number)
			}
		case runtime.ClearBindings:
			after.pilot, after.upTo, after.unsynced = m.Pilot, c.Number, false
			for name, binding := range after.byTenant {
				if binding.Pilot != m.Pilot || binding.Number <= c.Number {
					setBinding(name, c.Number, tenancy.Placement{}, false)
				}
				after.upTo = max(after.upTo, after.byTenant[name].Number)
			}
		}
	}
	return after, changed
}

// dropDefaults returns the bindings without those that equal the default placement and admit writes, and the dropped ones by
// tenant. A binding newer than upTo is kept. If nothing is dropped it returns b itself.
func (b *bindings) dropDefaults(now time.Duration) (*bindings, map[string]tenancy.Binding) {
	dropped := map[string]tenancy.Binding{}
	for name, binding := range b.byTenant {
		if !binding.Held && binding.Placement.Equal(tenancy.Placement{}) && binding.AllowsWrites(now, b.writeWait) && binding.Number <= b.upTo {
			dropped[name] = binding
		}
	}
	if len(dropped) == 0 {
		return b, nil
	}
	remaining := *b
	remaining.byTenant = maps.Clone(b.byTenant)
	for name := range dropped {
		delete(remaining.byTenant, name)
	}
	return &remaining, dropped
}

// bindingStore persists bindings in a file of JSON lines. The newest line of a tenant counts. The last line without a tenant
// states up to which update of which pilot the bindings are complete. A goroutine writes the file; the application of a
// message waits for it for at most maxSaveWait.
type bindingStore struct {
	path      string
	log       *slog.Logger
	mu        sync.Mutex                 // guards latest, pending, waiters and lagging
	latest    *bindings                  // newest bindings, to be written
	pending   map[string]tenancy.Binding // bindings changed since the last write
	waiters   []chan struct{}            // closed after the next write
	lagging   bool                       // the last write failed or was too slow; message application no longer waits
	wake      chan struct{}              // signals run that there is something to write
	done      chan struct{}              // closed when run returns
	lines     int                        // number of lines in the file
	closeOnce sync.Once
}

// storedLine is one line of the file. A line with a tenant sets or removes the tenant's binding. A line without one states
// up to which update of which pilot the bindings are complete.
type storedLine struct {
	Tenant  *string          `json:"tenant,omitempty"`
	Binding *tenancy.Binding `json:"binding,omitempty"` // nil: the tenant has its default placement
	Pilot   string           `json:"pilot,omitempty"`
	UpTo    uint64           `json:"up_to,omitempty"` // number of the last update included
}

// maxSaveWait is how long the application of a message waits for its bindings to be written to disk.
const maxSaveWait = 200 * time.Millisecond

// openBindings reads the stored bindings and opens the store. With an empty path nothing is persisted and the store is nil.
// writeWait is the duration for which writes of a moved tenant are held; now is the time since the proxy's start. It returns an
// error if the file cannot be read or written, or a complete line of it cannot be parsed.
func openBindings(path string, writeWait, now time.Duration, log *slog.Logger) (*bindings, *bindingStore, error) {
	b := &bindings{byTenant: map[string]tenancy.Binding{}, writeWait: writeWait}
	if path == "" {
		return b, nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	b.unsynced = true
	lines := bytes.Split(content, []byte("\n"))
	for i, line := range lines {
		var stored storedLine
		if i == len(lines)-1 { // empty, or a line cut off while it was written, which was never confirmed
			break
		}
		if err := json.Unmarshal(line, &stored); err != nil {
			return nil, nil, fmt.Errorf("%s:%d: corrupt line of tenant bindings: %w; without the file the proxy starts with none",
				path, i+1, err)
		}
		switch {
		case stored.Tenant != nil && stored.Binding != nil:
			b.byTenant[*stored.Tenant] = stored.Binding.AfterRestart(now)
		case stored.Tenant != nil:
			delete(b.byTenant, *stored.Tenant)
		default:
			b.pilot, b.upTo = stored.Pilot, stored.UpTo
			b.unsynced = b.unsynced && stored.Pilot == ""
		}
	}
	store := &bindingStore{path: path, log: log, wake: make(chan struct{}, 1), done: make(chan struct{}), latest: b}
	if err := store.rewrite(b); err != nil {
		return nil, nil, err
	}
	return b, store, nil
}

func appendLine(out []byte, l storedLine) []byte {
	text, err := json.Marshal(l)
	if err != nil { // cannot happen: every field type marshals
		panic(err)
	}
	return append(append(out, text...), '\n')
}

// appendOwner appends the line, without a tenant, that states up to which update of which pilot the bindings are complete.
func (b *bindings) appendOwner(out []byte) []byte {
	return appendLine(out, storedLine{Pilot: b.pilot, UpTo: b.upTo})
}

// rewrite replaces the file with one that holds only the given bindings.
func (s *bindingStore) rewrite(b *bindings) error {
	var out []byte
	for _, name := range slices.Sorted(maps.Keys(b.byTenant)) {
		binding := b.byTenant[name]
		out = appendLine(out, storedLine{Tenant: &name, Binding: &binding})
	}
	s.lines = len(b.byTenant) + 1
	return files.WriteFileAtomic(s.path, b.appendOwner(out))
}

// save queues changed bindings for writing, and waits for the write for at most maxSaveWait. all are the bindings after the
// change.
func (s *bindingStore) save(all *bindings, changed map[string]tenancy.Binding) {
	if s == nil {
		return
	}
	written := make(chan struct{})
	s.mu.Lock()
	if s.latest = all; s.pending == nil {
		s.pending = map[string]tenancy.Binding{}
	}
	maps.Copy(s.pending, changed)
	s.waiters = append(s.waiters, written)
	lagging := s.lagging
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	if lagging { // the disk is too slow or failing: skip the wait until a later write has succeeded
		return
	}
	select {
	case <-written:
	case <-time.After(maxSaveWait):
		s.log.Error("slow disk: tenant bindings take effect before they are written", "file", s.path)
		s.mu.Lock()
		s.lagging = true
		s.mu.Unlock()
	}
}

// start starts the goroutine that writes the file.
func (s *bindingStore) start() {
	if s != nil {
		go s.run()
	}
}

// run writes the file on each wake signal until close.
func (s *bindingStore) run() {
	defer close(s.done)
	for range s.wake {
		s.mu.Lock()
		all, changed, waiters := s.latest, s.pending, s.waiters
		s.pending, s.waiters = nil, nil
		s.mu.Unlock()
		if len(waiters) == 0 {
			continue
		}
		err := s.write(all, changed)
		s.mu.Lock()
		s.lagging = err != nil
		s.mu.Unlock()
		if err != nil {
			s.log.Error("tenant bindings could not be written to disk", "file", s.path, "error", err)
		}
		for _, w := range waiters {
			close(w)
		}
	}
}

// write appends the changed bindings to the file. It rewrites the whole file instead if the last write failed or was too
// slow, or if the file holds more than 1000 lines beyond four per binding.
func (s *bindingStore) write(all *bindings, changed map[string]tenancy.Binding) error {
	s.mu.Lock()
	failed := s.lagging
	s.mu.Unlock()
	if s.lines > 4*len(all.byTenant)+1000 || failed {
		return s.rewrite(all)
	}
	var out []byte
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		stored := storedLine{Tenant: &name}
		if binding, ok := all.byTenant[name]; ok {
			stored.Binding = &binding
		}
		out = appendLine(out, stored)
	}
	s.lines += len(changed) + 1
	f, err := os.OpenFile(s.path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = f.Write(all.appendOwner(out))
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// behind reports whether the disk is too slow or its writes fail.
func (s *bindingStore) behind() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lagging
}

// close writes what is pending, and returns once the writer has ended.
func (s *bindingStore) close() {
	if s != nil {
		s.closeOnce.Do(func() { close(s.wake) })
		<-s.done
	}
}
