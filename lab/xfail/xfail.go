// Package xfail marks tests of faults that are known and not mended yet. Fails runs such a test; it fails itself where the
// register, KNOWN-RED.txt at the root, does not list the test, and once the test passes, so that no mark outlives its fault.
// ReadRegister reads the register, whose lines are: test, cause and issue, parted by bars.
package xfail

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// Register is the register's file, at the root of the module.
const Register = "KNOWN-RED.txt"

// MostRed is how many tests may be listed.
const MostRed = 3

// Red is one listed test: its package's folder, its name, why it fails, and the issue where it is mended.
type Red struct{ Folder, Test, Cause, Issue string }

// ReadRegister reads the register's text. One with a line that says too little or with too many lines is an error.
func ReadRegister(text string) (reds []Red, err error) {
	for n, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		words := strings.Split(line, "|")
		for i := range words {
			words[i] = strings.TrimSpace(words[i])
		}
		at := strings.LastIndex(words[0], ".")
		if len(words) != 3 || at < 1 || words[1] == "" || words[2] == "" {
			return nil, fmt.Errorf("%s, line %d: not folder.Test | cause | issue", Register, n+1)
		}
		reds = append(reds, Red{words[0][:at], words[0][at+1:], words[1], words[2]})
	}
	if len(reds) > MostRed {
		return nil, fmt.Errorf("%s lists %d tests, where %d may be", Register, len(reds), MostRed)
	}
	return reds, nil
}

// Root is the module's root, from a folder in it.
func Root(from string) (string, error) {
	dir, err := filepath.Abs(from)
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		up := filepath.Dir(dir)
		if up == dir {
			return "", errors.New("no go.mod above " + from)
		}
		dir = up
	}
}

// listed tells whether the register lists a test of the package in whose folder tests run now.
func listed(name string) (bool, error) {
	root, err := Root(".")
	if err != nil {
		return false, err
	}
	text, err := os.ReadFile(filepath.Join(root, Register))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return false, err
	}
	reds, err := ReadRegister(string(text))
	if err != nil {
		return false, err
	}
	here, err := filepath.Abs(".")
	if err != nil {
		return false, err
	}
	folder, err := filepath.Rel(root, here)
	if err != nil {
		return false, err
	}
	for _, r := range reds {
		if r.Folder == filepath.ToSlash(folder) && r.Test == name {
			return true, nil
		}
	}
	return false, nil
}

// T is what a marked test may do.
type T struct{ said string }

// Errorf notes that the fault shows.
func (t *T) Errorf(format string, args ...any) { t.said = fmt.Sprintf(format, args...) }

// Fatalf notes that the fault shows and ends the test.
func (t *T) Fatalf(format string, args ...any) {
	t.Errorf(format, args...)
	runtime.Goexit()
}

// Fails runs a test that is expected to fail, and that the register lists.
func Fails(t testing.TB, test func(t *T)) {
	t.Helper()
	if is, err := listed(t.Name()); err != nil || !is {
		t.Errorf("%s does not list %s: a test may not fail unlisted (%v)", Register, t.Name(), err)
		return
	}
	run(t, test)
}

// run fails a test that passes.
func run(t testing.TB, test func(t *T)) {
	t.Helper()
	x, done := &T{}, make(chan bool)
	go func() {
		defer close(done)
		test(x)
	}()
	if <-done; x.said == "" {
		t.Errorf("this fault is mended: take the mark off its test and its line out of %s", Register)
		return
	}
	t.Log("fails, as is known: ", x.said)
}
