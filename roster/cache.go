package roster

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// cached is the file: the list and a hash of it, so that a torn or altered copy is known for one.
type cached struct {
	Sum  uint64          `json:"sum"`
	List json.RawMessage `json:"list"`
}

// Save writes the list so that a reader finds the old copy or the new one, whenever the machine stops.
func Save(path string, version uint64, entries []Entry) (err error) {
	list, err := json.Marshal(Update{Kind: "full", Version: version, Entries: entries})
	if err != nil {
		return err
	}
	data, err := json.Marshal(cached{Sum: xxhash.Sum64(list), List: list})
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return fmt.Errorf("save the list: %w", err)
	}
	defer func() {
		if err != nil {
			f.Close()
			os.Remove(f.Name())
			err = fmt.Errorf("save the list: %w", err)
		}
	}()
	if _, err = f.Write(data); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Load reads the copy. No copy is no error: the version is 0 and there are no entries.
func Load(path string) (version uint64, entries []Entry, err error) {
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
	if xxhash.Sum64(c.List) != c.Sum {
		return 0, nil, fmt.Errorf("load the list: %s: its hash does not match", path)
	}
	u, err := ParseUpdate(c.List)
	if err != nil {
		return 0, nil, fmt.Errorf("load the list: %s: %w", path, err)
	}
	return u.Version, u.Entries, nil
}
