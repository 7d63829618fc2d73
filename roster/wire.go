// Package roster is the node list as a pilot has it: the wire to the list service, a client that follows it through
// breaks, and the copy on disk that outlives the pilot. The wire is a line of JSON a message; docs/runtime-api.md has it.
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

// Entry is one endpoint as the list service names it.
type Entry struct {
	Endpoint control.EndpointID `json:"endpoint"`
	Address  netip.AddrPort     `json:"address"`
	Zone     string             `json:"zone"`
	Pack     int                `json:"pack,omitempty"`
	Weight   float64            `json:"weight"`
	Mode     string             `json:"mode"`                 // ready, draining or gone
	Started  int64              `json:"started_ms,omitempty"` // Unix time in milliseconds; 0: long ago
	Machine  int                `json:"machine,omitempty"`
}

// Update is a message of the list service.
type Update struct {
	Kind    string  `json:"kind"` // full, changes or failed
	Version uint64  `json:"version"`
	Entries []Entry `json:"entries,omitempty"`
}

// Request is a message to the list service: the whole list once, or all changes after a version from now on.
type Request struct {
	Fetch bool   `json:"fetch,omitempty"`
	Watch bool   `json:"watch,omitempty"`
	Have  uint64 `json:"have,omitempty"`
}

const mostLine = 64 << 20

// LineSplitter cuts bytes into lines.
type LineSplitter struct {
	buf    []byte
	looked int
}

// Feed takes bytes in.
func (l *LineSplitter) Feed(b []byte) { l.buf = append(l.buf, b...) }

// Next returns the next whole line; ok is false until there is one.
func (l *LineSplitter) Next() (line []byte, ok bool, err error) {
	nl := bytes.IndexByte(l.buf[l.looked:], '\n')
	if nl < 0 {
		if l.looked = len(l.buf); l.looked > mostLine {
			return nil, false, errors.New("roster: a line over 64 MiB")
		}
		return nil, false, nil
	}
	nl += l.looked
	line = l.buf[:nl:nl]
	l.buf, l.looked = l.buf[nl+1:], 0
	return line, true, nil
}

// ParseUpdate reads a message of the list service. What it names is checked: a bad entry refuses the whole message.
func ParseUpdate(line []byte) (*Update, error) {
	var u Update
	if err := json.Unmarshal(line, &u); err != nil {
		return nil, fmt.Errorf("roster: %w", err)
	}
	if u.Kind != "full" && u.Kind != "changes" && u.Kind != "failed" {
		return nil, fmt.Errorf("roster: kind %.20q", u.Kind)
	}
	return &u, checkEntries(u.Entries)
}

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
			return fmt.Errorf("roster: entry %d: weight %v", i, e.Weight)
		}
	}
	return nil
}
