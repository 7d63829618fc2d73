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

// instance is one hosted assigner. Instances share no state.
type instance struct {
	assigner               *policy.Assigner
	startClockMilliseconds float64         // clock of the batch that started it
	events                 []control.Event // events of the current batch
}

// host holds the instances of one process and the numbered endpoint lists. The bench defines a list once for several
// instances and refers to it by its number, which is resolved when an event is read.
type host struct {
	instances   map[uint32]*instance
	listSlots   [listSlots][]listEntry
	slotDefined [listSlots]bool
}

// Serve reads batches from in and writes a reply to each on out. It returns nil when the input ends between batches, and
// an error if a batch is malformed or reading or writing fails.
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

// answer passes each instance its events of the batch in one call, in the order in which the instances first appear in
// the batch, and returns the encoded reply.
func (h *host) answer(b batch) ([]byte, error) {
	var instanceIDs []uint32
	for i, rec := range b.records {
		instanceID, err := h.readRecord(rec, b.clockMilliseconds)
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if in := h.instances[instanceID]; in != nil && len(in.events) == 1 {
			instanceIDs = append(instanceIDs, instanceID)
		}
	}
	reply := newReply(b.number)
	for _, instanceID := range instanceIDs {
		in := h.instances[instanceID]
		if in == nil || len(in.events) == 0 {
			continue
		}
		orders, fault := in.decide(settings.Milliseconds(b.clockMilliseconds - in.startClockMilliseconds))
		if fault != "" {
			reply.bailOut(instanceID, fault)
			continue
		}
		for _, o := range orders {
			if err := reply.writeOrder(instanceID, o); err != nil {
				return nil, err
			}
		}
	}
	return reply.frame(), nil
}

// decide passes the collected events to the assigner. A panic of the assigner is recovered and returned as fault.
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

// readRecord decodes one record, adds its event to those of the addressed instance, and returns the id of the instance.
// Events for instances that do not run are decoded and ignored. A define_list event is addressed to no instance, and
// readRecord returns everyPeer for it.
func (h *host) readRecord(rec record, clockMilliseconds float64) (instanceID uint32, err error) {
	f := &fields{remaining: rec.body}
	if rec.code == eventDefineList {
		number, entries, err := readList(f)
		if err != nil {
			return 0, err
		}
		h.listSlots[number], h.slotDefined[number] = entries, true
		return everyPeer, nil
	}
	instanceID = f.u32()
	in := h.instances[instanceID]
	var event control.Event
	switch rec.code {
	case eventPowerOn:
		seed, n := f.u64(), f.u32()
		text := f.bytes(n)
		if err := f.checkEnd(rec.code); err != nil {
			return 0, err
		}
		start, err := settings.Read(text)
		if err != nil {
			return 0, fmt.Errorf("power_on: %w", err)
		}
		in = &instance{assigner: &policy.Assigner{}, startClockMilliseconds: clockMilliseconds}
		h.instances[instanceID] = in
		event = control.Start{Config: start.Config, Seed: seed}
	case eventKilled:
		delete(h.instances, instanceID)
	case eventDirectoryUpdate:
		kind, _, number := f.u8(), f.u32(), f.u32()
		if kind > byte(control.Failed) {
			return 0, fmt.Errorf("directory_update: unknown kind %d", kind)
		}
		listing := control.Listing{Kind: control.ListKind(kind)}
		if listing.Kind != control.Failed && !f.truncated {
			if number >= listSlots || !h.slotDefined[number] {
				return 0, fmt.Errorf("directory_update: list %d was never defined", number)
			}
			if in != nil {
				listing.Entries = entriesFor(h.listSlots[number], in.startClockMilliseconds)
			}
		}
		event = listing
	default:
		if event, err = readEvent(rec.code, f); err != nil {
			return 0, err
		}
	}
	if err := f.checkEnd(rec.code); err != nil {
		return 0, err
	}
	if in != nil && event != nil {
		in.events = append(in.events, event)
	}
	return instanceID, nil
}

// checkEnd returns an error if the record was too short or too long for its code.
func (f *fields) checkEnd(code byte) error {
	if f.truncated {
		return fmt.Errorf("event code %d: its fields are truncated", code)
	}
	if len(f.remaining) > 0 {
		return fmt.Errorf("event code %d: %d bytes after its fields", code, len(f.remaining))
	}
	return nil
}

// entriesFor returns the entries of a list with their start times on the clock of an instance that started at
// startClockMilliseconds.
func entriesFor(list []listEntry, startClockMilliseconds float64) []control.Entry {
	entries := make([]control.Entry, len(list))
	for i, e := range list {
		entries[i] = e.entry
		entries[i].Started = control.LongAgo
		if e.startedMilliseconds > 0 {
			entries[i].Started = settings.Milliseconds(e.startedMilliseconds - startClockMilliseconds)
		}
	}
	return entries
}
