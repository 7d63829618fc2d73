// Package roster is a pilot's source of the list of servers: the messages of the list service, a client that watches the
// list and reconnects, and a cached copy on disk that is available after a restart. Each message is one line of JSON, as
// docs/runtime-api.md describes.
package roster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"vetchdoor/control"
	"vetchdoor/files"
)

// Entry is one endpoint as the list service describes it.
type Entry struct {
	Endpoint control.EndpointID `json:"endpoint"`
	Address  netip.AddrPort     `json:"address"`
	Zone     string             `json:"zone"`
	Pack     int                `json:"pack,omitempty"`
	Weight   float64            `json:"weight"`
	Mode     string             `json:"mode"`                 // ready, draining or gone; empty: ready
	Started  int64              `json:"started_ms,omitempty"` // start of the server, Unix time in milliseconds; 0: long ago
	Machine  int                `json:"machine,omitempty"`
}

// Update is a message from the list service.
type Update struct {
	Kind    string  `json:"kind"` // full, changes or failed
	Version uint64  `json:"version"`
	Entries []Entry `json:"entries,omitempty"`
}

// Request is a message to the list service. Fetch asks for the whole list once; Watch asks for all changes after version
// Have, from now on.
type Request struct {
	Fetch bool   `json:"fetch,omitempty"`
	Watch bool   `json:"watch,omitempty"`
	Have  uint64 `json:"have,omitempty"`
}

// maxLineBytes bounds the length of a line.
const maxLineBytes = 64 << 20

// LineSplitter splits a stream of bytes into lines.
type LineSplitter struct {
	buf     []byte
	scanned int
}

// Feed appends received bytes.
func (l *LineSplitter) Feed(b []byte) { l.buf = append(l.buf, b...) }

// Buffered returns the bytes of an incomplete line.
func (l *LineSplitter) Buffered() int { return len(l.buf) }

// Next returns the next complete line, without its line feed; ok is false if there is none. A line over 64 MiB is an
// error.
func (l *LineSplitter) Next() (line []byte, ok bool, err error) {
	nl := bytes.IndexByte(l.buf[l.scanned:], '\n')
	if nl < 0 {
		if l.scanned = len(l.buf); l.scanned > maxLineBytes {
			return nil, false, errors.New("roster: a line is longer than 64 MiB")
		}
		return nil, false, nil
	}
	nl += l.scanned
	line = l.buf[:nl:nl]
	l.buf, l.scanned = l.buf[nl+1:], 0
	return line, true, nil
}

// ParseUpdate decodes and validates a message from the list service. One invalid entry makes the whole message invalid.
func ParseUpdate(line []byte) (*Update, error) {
	var u Update
	if err := json.Unmarshal(line, &u); err != nil {
		return nil, fmt.Errorf("roster: %w", err)
	}
	if u.Kind != "full" && u.Kind != "changes" && u.Kind != "failed" {
		return nil, fmt.Errorf("roster: unknown kind %.20q", u.Kind)
	}
	return &u, checkEntries(u.Entries)
}

// checkEntries validates the mode, address and weight of each entry.
func checkEntries(entries []Entry) error {
	for i := range entries {
		e := &entries[i]
		if _, err := files.ParseMode(e.Mode); err != nil {
			return fmt.Errorf("roster: entry %d: %w", i, err)
		}
		if e.Mode != "gone" && !e.Address.IsValid() {
			return fmt.Errorf("roster: entry %d: endpoint %d has no address", i, e.Endpoint)
		}
		if !(e.Weight >= 0 && e.Weight < 1e9) {
			return fmt.Errorf("roster: entry %d: weight %v is out of range", i, e.Weight)
		}
	}
	return nil
}
