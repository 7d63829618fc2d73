package adapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"vetchdoor/control"
	"vetchdoor/policy"
	"vetchdoor/settings"
)

// instance is one hosted assigner. It has nothing in common with its neighbours.
type instance struct {
	assigner *policy.Assigner
	born     float64 // clock at its start, milliseconds
	events   []control.Event
}

// host keeps the instances of one process. The numbered lists are the wire's way of saying the same entries to
// several instances once; they are resolved as the events are read.
type host struct {
	instances map[uint32]*instance
	lists     [lists][]listEntry
	defined   [lists]bool
}

// Serve answers batches from in on out until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriter(out)
	h := &host{instances: map[uint32]*instance{}}
	for {
		b, err := readBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		frame, err := h.answer(b)
		if err != nil {
			return fmt.Errorf("batch %d: %w", b.number, err)
		}
		if _, err := w.Write(frame); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// answer hands each instance its events of the batch at once, in the order in which the instances first appear.
func (h *host) answer(b batch) ([]byte, error) {
	var turn []uint32
	for i, rec := range b.records {
		who, err := h.take(rec, b.clock)
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if in := h.instances[who]; in != nil && len(in.events) == 1 {
			turn = append(turn, who)
		}
	}
	out := newReply(b.number)
	for _, who := range turn {
		in := h.instances[who]
		if in == nil || len(in.events) == 0 {
			continue
		}
		orders, fault := in.decide(settings.Milliseconds(b.clock - in.born))
		if fault != "" {
			out.bailOut(who, fault)
			continue
		}
		for _, o := range orders {
			if err := out.write(who, o); err != nil {
				return nil, err
			}
		}
	}
	return out.frame(), nil
}

// decide runs the assigner on what is gathered; a panic in it becomes the text of a fault.
func (in *instance) decide(now time.Duration) (orders []control.Order, fault string) {
	events := in.events
	in.events = nil
	defer func() {
		if p := recover(); p != nil {
			orders, fault = nil, fmt.Sprint("panic: ", p)
		}
	}()
	return in.assigner.Decide(now, events), ""
}

// take reads one record; an event for an instance that does not run is read and dropped.
func (h *host) take(rec record, clock float64) (who uint32, err error) {
	f := &fields{left: rec.body}
	if rec.code == evDefineList {
		number, entries, err := readList(f)
		if err != nil {
			return 0, err
		}
		h.lists[number], h.defined[number] = entries, true
		return everyPeer, nil
	}
	who = f.u32()
	in := h.instances[who]
	var event control.Event
	switch rec.code {
	case evPowerOn:
		seed, n := f.u64(), f.u32()
		text := f.bytes(n)
		if err := f.done(rec.code); err != nil {
			return 0, err
		}
		start, err := settings.Read(text)
		if err != nil {
			return 0, fmt.Errorf("power_on: %w", err)
		}
		in = &instance{assigner: &policy.Assigner{}, born: clock}
		h.instances[who] = in
		event = control.Start{Facts: start.Facts, Seed: seed}
	case evKilled:
		delete(h.instances, who)
	case evDirectoryUpdate:
		kind, _, number := f.u8(), f.u32(), f.u32()
		if kind > byte(control.Failed) {
			return 0, fmt.Errorf("directory_update: unknown kind %d", kind)
		}
		listing := control.Listing{Kind: control.ListKind(kind)}
		if listing.Kind != control.Failed && !f.bad {
			if number >= lists || !h.defined[number] {
				return 0, fmt.Errorf("directory_update: list %d was never defined", number)
			}
			if in != nil {
				listing.Entries = entriesFor(h.lists[number], in.born)
			}
		}
		event = listing
	default:
		if event, err = readEvent(rec.code, f); err != nil {
			return 0, err
		}
	}
	if err := f.done(rec.code); err != nil {
		return 0, err
	}
	if in != nil && event != nil {
		in.events = append(in.events, event)
	}
	return who, nil
}

// done complains of a record that was too short or too long for its code.
func (f *fields) done(code byte) error {
	if f.bad {
		return fmt.Errorf("event code %d: its fields are cut off", code)
	}
	if len(f.left) > 0 {
		return fmt.Errorf("event code %d: %d bytes after its fields", code, len(f.left))
	}
	return nil
}

func entriesFor(list []listEntry, born float64) []control.Entry {
	out := make([]control.Entry, len(list))
	for i, e := range list {
		out[i] = e.entry
		out[i].Started = control.LongAgo
		if e.started > 0 {
			out[i].Started = settings.Milliseconds(e.started - born)
		}
	}
	return out
}
