package xfail

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// recordingTB is a testing.TB that records whether it failed.
type recordingTB struct {
	testing.TB
	failed bool
}

func (h *recordingTB) Helper()               {}
func (h *recordingTB) Name() string          { return "TestOfNobody" }
func (h *recordingTB) Log(...any)            {}
func (h *recordingTB) Errorf(string, ...any) { h.failed = true }

// TestMark checks that an expected failure is accepted, and that an expected failure that passes or is not listed is
// reported.
func TestMark(t *testing.T) {
	for _, c := range []struct {
		test func(*T)
		want bool
	}{{func(x *T) { x.Errorf("still there") }, false}, {func(x *T) { x.Fatalf("still there") }, false}, {func(*T) {}, true}} {
		h := &recordingTB{}
		if run(h, c.test); h.failed != c.want {
			t.Errorf("expected failure reported as an error: %t", h.failed)
		}
	}
	h := &recordingTB{}
	if Fails(h, func(x *T) { x.Errorf("still there") }); !h.failed {
		t.Error("the failure of an unlisted test was not reported")
	}
}

func TestReadRegister(t *testing.T) {
	line := "policy.TestA | go test ./policy -run TestA, any seed | what was seen | 24\n"
	other := strings.ReplaceAll(line, "TestA", "TestB")
	day, labDay := "bench | run day.json, seed 3 | what was seen | 24\n", "lab | lab run day.json, seed 3 | what was seen | 24\n"
	for text, want := range map[string]int{"": 0, "\n \n": 0, line: 1, line + other: 2, line + line: -1, day + day + line: 3,
		labDay + day:                  2,
		"TestA | command | seen | 24": -1, "policy. | command | seen | 24": -1, "policy.TestA | command | seen": -1,
		"policy.TestA | | seen | 24": -1, "policy.TestA | command | | 24": -1, "policy.TestA | command | seen |": -1,
		"policy.TestA | command | seen | 24 | more": -1, " | command | seen | 24": -1} {
		failures, err := ReadRegister(text)
		if n := len(failures); err != nil && want != -1 || err == nil && n != want {
			t.Errorf("%q: %d, %v; want %d", text, n, err, want)
		}
	}
	want := KnownFailure{"policy", "TestA", "go test ./policy -run TestA, any seed", "what was seen", "24"}
	if failures, err := ReadRegister(line); err != nil || failures[0] != want {
		t.Errorf("%+v, %v", failures, err)
	}
}

// TestRegister guards against register entries whose tests do not call xfail.Fails, so that a fixed fault would stay listed,
// and against tests that call xfail.Fails without an entry.
func TestRegister(t *testing.T) {
	root, err := ModuleRoot(".")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, Register))
	if err != nil {
		t.Fatal(err)
	}
	failures, err := ReadRegister(string(text))
	if err != nil {
		t.Fatal(err)
	}
	marked := map[[2]string]bool{}
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, filepath.Join(root, "lab", "xfail")) {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && callsFails(f) {
				marked[[2]string{filepath.ToSlash(folder), f.Name.Name}] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range failures {
		if r.Test == "" {
			continue // a fault that no test shows
		}
		if !marked[[2]string{r.Folder, r.Test}] {
			t.Errorf("%s lists %s of %s, which does not call xfail.Fails", Register, r.Test, r.Folder)
		}
		delete(marked, [2]string{r.Folder, r.Test})
	}
	for m := range marked {
		t.Errorf("%s does not list %s of %s", Register, m[1], m[0])
	}
}

// callsFails reports whether a function calls xfail.Fails.
func callsFails(f *ast.FuncDecl) (is bool) {
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok && s.Sel.Name == "Fails" {
			x, ok := s.X.(*ast.Ident)
			is = is || ok && x.Name == "xfail"
		}
		return true
	})
	return is
}
