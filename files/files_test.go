package files_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"vetchdoor/files"
)

const pilotText = `{
  "kind": "pilot", "name": "p", "zone": "a", "proxies": 10, "listen": "127.0.0.1:7000", "roster": "127.0.0.1:7001",
  "service": {"zones": ["a", "b"], "report_every": "1s", "bootstrap": 4, "op_types": [
    {"name": "read", "match": {"method": "GET"}, "target_latency": "750ms", "op_timeout": "2s", "revenue": 2, "repeat": "retryable"}]},
  "limits": {"empty_for": "2s", "drain_grace": "2s", "cold_for": "10s", "cold_share": 0.2, "overload_factor": 4, "fall_after": "2s"},
  "channel": {"lines_per_second": 6000, "message_lines": 3, "most_waiting": 9000, "report_lines_per_second": 300}
}`

// Each error is one line that names the file, the JSON pointer, the value found and the values allowed.
func TestValidationErrors(t *testing.T) {
	if err := files.Parse("p.json", []byte(pilotText), "pilot", &files.Pilot{}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, from, to, want string }{
		{"unknown key", `"proxies"`, `"proxys": 1, "proxies"`,
			"p.json: /proxys: found an unknown key, allowed is only keys in the schema"},
		{"unknown key, nested", `"bootstrap"`, `"boot": 1, "bootstrap"`,
			"p.json: /service/boot: found an unknown key, allowed is only keys in the schema"},
		{"unit", `"2s", "revenue"`, `2000, "revenue"`,
			`p.json: /service/op_types/0/op_timeout: found 2000, allowed is a time such as "750ms" or "2s"`},
		{"unit, wrong", `"750ms"`, `"750 ms"`,
			`p.json: /service/op_types/0/target_latency: found "750 ms", allowed is a time such as "750ms" or "2s"`},
		{"port", `127.0.0.1:7000`, `127.0.0.1:70000`,
			`p.json: /listen: found "127.0.0.1:70000", allowed is ADDRESS:PORT with a port up to 65535, or unix:PATH`},
		{"no op timeout", `"op_timeout": "2s", `, ``,
			"p.json: /service/op_types/0/op_timeout: found nothing, allowed is a value: the key is required"},
		{"enum", `"retryable"`, `"safe"`,
			`p.json: /service/op_types/0/repeat: found "safe", allowed is one of retryable, deduplicated, once-only`},
		{"range", `"cold_share": 0.2`, `"cold_share": 1.2`, "p.json: /limits/cold_share: found 1.2, allowed is 1 or less"},
		{"type", `"name": "p"`, `"name": 3`, "p.json: /name: found 3, allowed is of type string"},
		{"op timeout below target latency", `"op_timeout": "2s"`, `"op_timeout": "500ms"`,
			"p.json: /service/op_types/0/op_timeout: found 500ms, allowed is at least the target latency, 750ms"},
		{"no window", `"retryable"`, `"deduplicated"`,
			"p.json: /service/op_types/0/dedup_window: found 0s, allowed is more than 0, because the op type is deduplicated"},
		{"zone", `"zone": "a"`, `"zone": "c"`, `p.json: /zone: found "c", allowed is one of the zones [a b]`},
		{"queue too short for a line to each proxy", `"most_waiting": 9000`, `"most_waiting": 50`,
			"p.json: /channel/most_waiting: found 50, allowed is 60 or more: one line to each of 10 proxies"},
		{"line rate too low for the drain grace", `"lines_per_second": 6000`, `"lines_per_second": 20`,
			"p.json: /channel/lines_per_second: found 20, allowed is 30 or more: a line to each proxy within drain_grace, 2s"},
		{"packs of an unknown zone", `"bootstrap"`, `"write_packs": {"c": [1]}, "bootstrap"`,
			`p.json: /service/write_packs/c: found "c", allowed is one of the zones [a b]`},
		{"a pack twice", `"bootstrap"`, `"write_packs": {"a": [1, 1]}, "bootstrap"`,
			`p.json: /service/write_packs/a/1: found "1", allowed is a unique name`},
		{"next packs without packs", `"bootstrap"`, `"write_packs_next": {"a": [1]}, "bootstrap"`,
			"p.json: /service/write_packs_next: found 1, allowed is none, because write_packs is not given"},
		{"key twice", `"name": "p"`, `"name": "p", "name": "q"`, `p.json: found the key "name" twice in an object, allowed is once`},
		{"kind", `"kind": "pilot"`, `"kind": "proxy"`, `p.json: /kind: found "proxy", allowed is "pilot"`},
		{"no kind", `"kind": "pilot", `, ``, "p.json: /kind: found none, allowed is one of pilot, proxy, node, roster, day"},
	} {
		text := strings.Replace(pilotText, c.from, c.to, 1)
		if text == pilotText {
			t.Fatalf("the replacement %s changes nothing", c.name)
		}
		if err := files.Parse("p.json", []byte(text), "pilot", &files.Pilot{}); err == nil || err.Error() != c.want {
			t.Errorf("%s: %v\nwant %s", c.name, err, c.want)
		}
	}
}

// Files that are empty, truncated, deeply nested or no JSON object are rejected with a short error of one line that
// names the file.
func TestMalformedFiles(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"empty": "", "blank": " \n", "torn": pilotText[:200], "torn string": `{"kind": "pi`,
		"deep": strings.Repeat("[", 100000), "deep object": strings.Repeat(`{"a":`, 100000), "array": "[]", "number": "3",
		"text":  "hello",
		"bytes": "\x00\xff\xfe", "more": pilotText + "{}", "null": "null", "list": `{"kind": ["pilot"]}`} {
		path := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := files.Check(path)
		if err == nil || !strings.HasPrefix(err.Error(), path+": ") || strings.Contains(err.Error(), "\n") ||
			len(err.Error()) > len(path)+200 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := files.Check(filepath.Join(dir, "none.json")); err == nil {
		t.Error("a missing file was accepted")
	}
}

// FuzzCheck checks that no input makes the parser panic.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(pilotText))
	f.Add([]byte(`{"kind":"roster","listen":"a:1","zones":["z"],"entries":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = files.Parse("f", data, "pilot", &files.Pilot{})
		_ = files.Parse("f", data, "roster", &files.Roster{})
	})
}

// Every kind of file has a self-contained schema.
func TestSchemas(t *testing.T) {
	for _, k := range files.Kinds {
		b, err := files.SchemaOf(k)
		if err != nil || !strings.Contains(string(b), `"$ref": "#/$defs/`+k+`"`) {
			t.Errorf("%s: %v", k, err)
		}
	}
	if _, err := files.SchemaOf("x"); err == nil {
		t.Error("an unknown kind was accepted")
	}
}
