// Package xfail marks tests that are expected to fail because of a known fault. Fails runs such a test. It reports an error
// if the register, KNOWN-RED.txt at the module root, does not list the test, and also once the test passes, so that the
// mark is removed with the fault.
//
// A line of the register has four fields separated by bars: the test as folder.Test, the command and seed that reproduce
// the fault, what was observed, and the issue that tracks it. The word "bench" in place of a test marks a fault that only
// the operators' external benchmark shows, the word "lab" one that only a long run of "vetchdoor lab run" shows.
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

// Register is the file name of the register, at the module root.
const Register = "KNOWN-RED.txt"

// Words that replace the test name for a fault that no test shows.
const (
	bench = "bench" // shown by the operators' benchmark
	lab   = "lab"   // shown by a laboratory run that is too long for a test
)

// fieldCount is the number of fields in a line of the register.
const fieldCount = 4

// KnownFailure is a line of the register. Folder and Test are empty if no test shows the fault.
type KnownFailure struct{ Folder, Test, Command, Observed, Issue string }

// ReadRegister parses the text of the register. It returns an error for a malformed line and for a test that is listed
// twice.
func ReadRegister(text string) (failures []KnownFailure, err error) {
	seen := map[string]bool{}
	for n, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		failure, err := readLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", Register, n+1, err)
		}
		test := failure.Folder + "." + failure.Test
		if failure.Test != "" && seen[test] {
			return nil, fmt.Errorf("%s, line %d: %s is listed twice", Register, n+1, test)
		}
		seen[test] = true
		failures = append(failures, failure)
	}
	return failures, nil
}

// errSyntax describes the format of a register line.
var errSyntax = errors.New("expected folder.Test | command and seed | what was observed | issue")

// readLine parses one line of the register.
func readLine(line string) (KnownFailure, error) {
	parts := strings.Split(line, "|")
	if len(parts) != fieldCount {
		return KnownFailure{}, errSyntax
	}
	for i := range parts {
		if parts[i] = strings.TrimSpace(parts[i]); parts[i] == "" {
			return KnownFailure{}, errSyntax
		}
	}
	failure := KnownFailure{Command: parts[1], Observed: parts[2], Issue: parts[3]}
	if parts[0] == bench || parts[0] == lab {
		return failure, nil
	}
	dot := strings.LastIndex(parts[0], ".")
	if dot < 1 || dot == len(parts[0])-1 {
		return KnownFailure{}, errSyntax
	}
	failure.Folder, failure.Test = parts[0][:dot], parts[0][dot+1:]
	return failure, nil
}

// ModuleRoot returns the root folder of the module that contains the folder from.
func ModuleRoot(from string) (string, error) {
	dir, err := filepath.Abs(from)
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.mod in or above " + from)
		}
		dir = parent
	}
}

// isListed reports whether the register lists the named test of the package in the current folder.
func isListed(name string) (bool, error) {
	root, err := ModuleRoot(".")
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

// T is passed to a test that is expected to fail and records its failure.
type T struct{ failure string }

// Errorf records a failure.
func (t *T) Errorf(format string, args ...any) { t.failure = fmt.Sprintf(format, args...) }

// Fatalf records a failure and ends the test.
func (t *T) Fatalf(format string, args ...any) {
	t.Errorf(format, args...)
	runtime.Goexit()
}

// Fails runs a test that is expected to fail. It reports an error on t if the register does not list the test, or if the
// test passes.
func Fails(t testing.TB, test func(t *T)) {
	t.Helper()
	if is, err := isListed(t.Name()); err != nil || !is {
		t.Errorf("%s does not list %s: expected failures must be listed (%v)", Register, t.Name(), err)
		return
	}
	run(t, test)
}

// run runs the test and reports an error if it passes.
func run(t testing.TB, test func(t *T)) {
	t.Helper()
	x, done := &T{}, make(chan bool)
	go func() {
		defer close(done)
		test(x)
	}()
	if <-done; x.failure == "" {
		t.Errorf("the test passes: remove its call of xfail.Fails and its line from %s", Register)
		return
	}
	t.Log("expected failure: ", x.failure)
}
