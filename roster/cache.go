package roster

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"

	"vetchdoor/files"
)

// cached is the content of the cache file: the list, and a hash of it by which a truncated or altered copy is detected.
type cached struct {
	Form  int             `json:"form"`
	Pilot string          `json:"pilot"`
	Sum   uint64          `json:"sum"`
	List  json.RawMessage `json:"list"`
}

// form is the version of the layout of the cache file.
const form = 1

// sum returns the hash of a list and the name of its pilot.
func sum(pilot string, list []byte) uint64 {
	return xxhash.Sum64(append([]byte(pilot+"\x00"), list...))
}

// Save writes a pilot's list atomically: after a crash, the file holds either the old copy or the new one.
func Save(path, pilot string, version uint64, entries []Entry) error {
	list, err := json.Marshal(Update{Kind: "full", Version: version, Entries: entries})
	if err != nil {
		return err
	}
	data, err := json.Marshal(cached{Form: form, Pilot: pilot, Sum: sum(pilot, list), List: list})
	if err != nil {
		return err
	}
	if err = files.WriteFileAtomic(path, data); err != nil {
		err = fmt.Errorf("save the list: %w", err)
	}
	return err
}

// Load reads a pilot's saved list. If there is none, it returns version 0 and no entries, without an error. A copy of
// another layout or another pilot is an error, as is a corrupt one.
func Load(path, pilot string) (version uint64, entries []Entry, err error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, fmt.Errorf("load the list: %w", err)
	}
	var c cached
	if err := json.Unmarshal(data, &c); err != nil {
		return 0, nil, fmt.Errorf("load the list: %s: %w", path, err)
	}
	if c.Form != form {
		return 0, nil, fmt.Errorf("load the list: %s: its layout is version %d, this program reads version %d", path, c.Form, form)
	}
	if c.Pilot != pilot {
		return 0, nil, fmt.Errorf("load the list: %s: the file is the copy of pilot %.40q, not of %.40q", path, c.Pilot, pilot)
	}
	if sum(pilot, c.List) != c.Sum {
		return 0, nil, fmt.Errorf("load the list: %s: its hash does not match", path)
	}
	u, err := ParseUpdate(c.List)
	if err != nil {
		return 0, nil, fmt.Errorf("load the list: %s: %w", path, err)
	}
	return u.Version, u.Entries, nil
}
