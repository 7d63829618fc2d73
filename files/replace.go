package files

import (
	"errors"
	"os"
	"path/filepath"
)

// WriteFileAtomic writes a file so that a reader finds the old one or the new one, whenever the machine stops.
func WriteFileAtomic(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}
