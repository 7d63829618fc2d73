package deploy

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// setting returns the value of a key in balancer.toml.
func setting(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(b)
	if m == nil {
		t.Fatalf("balancer.toml has no line %q", name)
	}
	return string(m[1])
}

// TestDynamicLink runs the build command of balancer.toml, with another output directory, and checks the programs that
// it starts: each is started by exec and linked dynamically, so that operators can preload a library into it.
func TestDynamicLink(t *testing.T) {
	build, dir := setting(t, "build"), t.TempDir()
	if n := strings.Count(build, " bin"); n < 2 {
		t.Fatalf("build names its output directory %d times: %s", n, build)
	}
	c := exec.Command("/bin/sh", "-c", strings.ReplaceAll(build, " bin", " "+dir))
	c.Dir = ".."
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, out)
	}
	for _, name := range []string{"run", "sim"} {
		words := strings.Fields(setting(t, name))
		if len(words) < 2 || words[0] != "exec" {
			t.Fatalf("%s does not start its program by exec: %v", name, words)
		}
		if !dynamic(t, filepath.Join(dir, filepath.Base(words[1]))) {
			t.Errorf("%s: %s is linked statically", name, words[1])
		}
	}
}

// TestStaticLinkIsDetected checks that TestDynamicLink can fail: it builds a program without cgo, which must not count
// as dynamically linked.
func TestStaticLinkIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "adapter")
	c := exec.Command("go", "build", "-o", path, "vetchdoor/cmd/adapter")
	c.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if dynamic(t, path) {
		t.Error("a static program counts as a dynamic one")
	}
}

// dynamic reports whether a program names an interpreter and is linked with the C library.
func dynamic(t *testing.T, path string) bool {
	t.Helper()
	f, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	needed, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	libc := false
	for _, l := range needed {
		libc = libc || strings.HasPrefix(l, "libc.so")
	}
	interpreter := false
	for _, p := range f.Progs {
		interpreter = interpreter || p.Type == elf.PT_INTERP
	}
	return interpreter && libc
}
