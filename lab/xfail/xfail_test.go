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

// heard is a test that is told of failing.
type heard struct {
	testing.TB
	failed bool
}

func (h *heard) Helper()               {}
func (h *heard) Name() string          { return "TestOfNobody" }
func (h *heard) Log(...any)            {}
func (h *heard) Errorf(string, ...any) { h.failed = true }

// A marked test that fails is borne; one that passes fails its mark, and so does one that is not listed.
func TestMark(t *testing.T) {
	for _, c := range []struct {
		test func(*T)
		want bool
	}{{func(x *T) { x.Errorf("still there") }, false}, {func(x *T) { x.Fatalf("still there") }, false}, {func(*T) {}, true}} {
		h := &heard{}
		if run(h, c.test); h.failed != c.want {
			t.Errorf("the mark failed: %t", h.failed)
		}
	}
	h := &heard{}
	if Fails(h, func(x *T) { x.Errorf("still there") }); !h.failed {
		t.Error("a test that is not listed may fail")
	}
}

func TestReadRegister(t *testing.T) {
	line := "policy.TestA | go test ./policy -run TestA, any seed | what was seen | 24\n"
	other := strings.ReplaceAll(line, "TestA", "TestB")
	day, labDay := "bench | run day.json, seed 3 | what was seen | 24\n", "lab | lab run day.json, seed 3 | what was seen | 24\n"
	for text, want := range map[string]int{"": 0, "\n \n": 0, line: 1, line + other: 2, line + line: -1, day + day + line: 3, labDay + day: 2,
		"TestA | command | seen | 24": -1, "policy. | command | seen | 24": -1, "policy.TestA | command | seen": -1,
		"policy.TestA | | seen | 24": -1, "policy.TestA | command | | 24": -1, "policy.TestA | command | seen |": -1,
		"policy.TestA | command | seen | 24 | more": -1, " | command | seen | 24": -1} {
		reds, err := ReadRegister(text)
		if n := len(reds); err != nil && want != -1 || err == nil && n != want {
			t.Errorf("%q: %d, %v; want %d", text, n, err, want)
		}
	}
	want := KnownFailure{"policy", "TestA", "go test ./policy -run TestA, any seed", "what was seen", "24"}
	if reds, err := ReadRegister(line); err != nil || reds[0] != want {
		t.Errorf("%+v, %v", reds, err)
	}
}

// Every test that is listed bears the mark, so that it fails once it passes; marks that are not listed fail where they run.
func TestRegister(t *testing.T) {
	root, err := ModuleRoot(".")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, Register))
	if err != nil {
		t.Fatal(err)
	}
	reds, err := ReadRegister(string(text))
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
			if f, ok := decl.(*ast.FuncDecl); ok && calls(f) {
				marked[[2]string{filepath.ToSlash(folder), f.Name.Name}] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range reds {
		if r.Test == "" {
			continue // no test shows it
		}
		if !marked[[2]string{r.Folder, r.Test}] {
			t.Errorf("%s lists %s of %s, which bears no mark", Register, r.Test, r.Folder)
		}
		delete(marked, [2]string{r.Folder, r.Test})
	}
	for m := range marked {
		t.Errorf("%s does not list %s of %s", Register, m[1], m[0])
	}
}

// calls tells whether a function calls xfail.Fails.
func calls(f *ast.FuncDecl) (is bool) {
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok && s.Sel.Name == "Fails" {
			x, ok := s.X.(*ast.Ident)
			is = is || ok && x.Name == "xfail"
		}
		return true
	})
	return is
}
