package files

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/big"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

//go:embed schema.json
var schemaText []byte

// Kinds are the kinds of files, by the value of their "kind".
var Kinds = []string{"pilot", "proxy", "node", "roster", "day"}

// most bytes of a file, and levels of nesting
const (
	mostBytes = 64 << 20
	mostDeep  = 64
)

// ValidationError is what is wrong with a file.
type ValidationError struct {
	File    string
	Pointer string // JSON pointer; empty for the whole
	Found   string
	Allowed string
}

func (f *ValidationError) Error() string {
	s := f.File + ": "
	if f.Pointer != "" {
		s += f.Pointer + ": "
	}
	s += "found " + f.Found
	if f.Allowed != "" {
		s += ", allowed is " + f.Allowed
	}
	return s
}

var compiled = sync.OnceValues(func() (map[string]*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("vetchdoor.json", doc); err != nil {
		return nil, err
	}
	out := map[string]*jsonschema.Schema{}
	for _, k := range Kinds {
		s, err := c.Compile("vetchdoor.json#/$defs/" + k)
		if err != nil {
			return nil, err
		}
		out[k] = s
	}
	return out, nil
})

// SchemaOf returns the JSON Schema of a kind of file.
func SchemaOf(kind string) ([]byte, error) {
	if !known(kind) {
		return nil, fmt.Errorf("no kind %q; there are %s", kind, strings.Join(Kinds, ", "))
	}
	var doc struct {
		Schema string                     `json:"$schema"`
		Ref    string                     `json:"$ref"`
		Defs   map[string]json.RawMessage `json:"$defs"`
	}
	if err := json.Unmarshal(schemaText, &doc); err != nil {
		return nil, err
	}
	doc.Ref = "#/$defs/" + kind
	for _, k := range Kinds {
		if k != kind {
			delete(doc.Defs, k)
		}
	}
	return json.MarshalIndent(doc, "", "  ")
}

func known(kind string) bool {
	for _, k := range Kinds {
		if k == kind {
			return true
		}
	}
	return false
}

// Read reads a file of one kind into to, which points to the kind's struct.
func Read(path, kind string, to any) error {
	data, err := load(path)
	if err != nil {
		return err
	}
	return Parse(path, data, kind, to)
}

func load(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, mostBytes+1))
	if err == nil && len(data) > mostBytes {
		err = &ValidationError{File: path, Found: "over 64 MiB", Allowed: "less"}
	}
	if err != nil && !errors.As(err, new(*ValidationError)) {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return data, err
}

// Check reads a file of whatever kind it says it is and returns that kind.
func Check(path string) (string, error) {
	data, err := load(path)
	if err != nil {
		return "", err
	}
	var to any
	k, err := kindOf(path, data)
	if err != nil {
		return "", err
	}
	switch k {
	case "pilot":
		to = &Pilot{}
	case "proxy":
		to = &Proxy{}
	case "node":
		to = &Node{}
	case "roster":
		to = &Roster{}
	case "day":
		to = &Day{}
	}
	return k, Parse(path, data, k, to)
}

func kindOf(path string, data []byte) (string, error) {
	if err := CheckSyntax(path, data); err != nil {
		return "", err
	}
	var head struct {
		Kind json.RawMessage `json:"kind"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return "", &ValidationError{File: path, Found: "no JSON object", Allowed: "one with a \"kind\""}
	}
	var k string
	if json.Unmarshal(head.Kind, &k) != nil || !known(k) {
		found := "none"
		if len(head.Kind) > 0 {
			found = clip(string(head.Kind))
		}
		return "", &ValidationError{File: path, Pointer: "/kind", Found: found, Allowed: "one of " + strings.Join(Kinds, ", ")}
	}
	return k, nil
}

// CheckSyntax looks over a file before anything is built from it: empty, torn, nested without end, a key twice.
func CheckSyntax(path string, data []byte) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return &ValidationError{File: path, Found: "an empty file", Allowed: "a JSON object"}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	type level struct {
		keys map[string]bool // nil: an array
		key  bool            // the next string is a key
	}
	var stack []level
	for {
		tok, err := dec.Token()
		if err == io.EOF && len(stack) == 0 {
			return nil
		}
		if err != nil {
			line := 1 + bytes.Count(data[:min(int(dec.InputOffset()), len(data))], []byte("\n"))
			what := "no JSON (" + err.Error() + ")"
			if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
				what = "a file that ends in the midst"
			}
			return &ValidationError{File: path, Found: fmt.Sprintf("%s, line %d", what, line), Allowed: "one whole JSON object"}
		}
		top := len(stack) - 1
		if s, ok := tok.(string); ok && top >= 0 && stack[top].key {
			if stack[top].keys[s] {
				return &ValidationError{File: path, Found: fmt.Sprintf("the key %q twice in one object", s), Allowed: "once"}
			}
			stack[top].keys[s], stack[top].key = true, false
			continue
		}
		switch tok {
		case json.Delim('{'):
			stack = append(stack, level{keys: map[string]bool{}, key: true})
		case json.Delim('['):
			stack = append(stack, level{})
		case json.Delim('}'), json.Delim(']'):
			if stack = stack[:top]; len(stack) == 0 && dec.More() {
				return &ValidationError{File: path, Found: "something after the JSON object", Allowed: "nothing"}
			}
		}
		if len(stack) > mostDeep {
			return &ValidationError{File: path, Found: fmt.Sprintf("more than %d levels of nesting", mostDeep), Allowed: "fewer"}
		}
		if top = len(stack) - 1; top >= 0 && stack[top].keys != nil {
			stack[top].key = true
		}
	}
}

// Parse reads the bytes of a file of one kind into to.
func Parse(path string, data []byte, kind string, to any) error {
	k, err := kindOf(path, data)
	if err != nil {
		return err
	}
	if k != kind {
		return &ValidationError{File: path, Pointer: "/kind", Found: strconv.Quote(k), Allowed: strconv.Quote(kind)}
	}
	schemas, err := compiled()
	if err != nil {
		return err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return &ValidationError{File: path, Found: "no JSON (" + err.Error() + ")", Allowed: "a JSON object"}
	}
	if err := schemas[kind].Validate(doc); err != nil {
		var v *jsonschema.ValidationError
		if errors.As(err, &v) {
			return faultOf(path, doc, v)
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := json.Unmarshal(data, to); err != nil {
		return &ValidationError{File: path, Found: clip(err.Error()), Allowed: "what vetchdoor schema " + kind + " prints"}
	}
	if c, ok := to.(interface{ contradictions() *ValidationError }); ok {
		if f := c.contradictions(); f != nil {
			f.File = path
			return f
		}
	}
	return nil
}

// faultOf picks the first leaf, in document order, of what the schema does not allow.
func faultOf(path string, doc any, v *jsonschema.ValidationError) *ValidationError {
	var leaves []*jsonschema.ValidationError
	var walk func(*jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			leaves = append(leaves, e)
		}
		for _, c := range e.Causes {
			walk(c)
		}
	}
	walk(v)
	sort.SliceStable(leaves, func(i, j int) bool { return pointer(leaves[i]) < pointer(leaves[j]) })
	e := leaves[0]
	f := &ValidationError{File: path, Pointer: pointer(e), Found: clip(at(doc, e.InstanceLocation))}
	number := func(r *big.Rat) string { return strings.TrimSuffix(r.FloatString(3), ".000") }
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		sort.Strings(k.Properties)
		f.Pointer += "/" + escape(k.Properties[0])
		f.Found, f.Allowed = "a key that is not known", "only what the schema names"
	case *kind.Required:
		sort.Strings(k.Missing)
		f.Pointer += "/" + k.Missing[0]
		f.Found, f.Allowed = "nothing", "a value: the key is required"
	case *kind.Type:
		f.Allowed = "of type " + strings.Join(k.Want, " or ")
	case *kind.Pattern:
		f.Allowed = patternWords(k.Want)
	case *kind.Enum:
		var want []string
		for _, w := range k.Want {
			want = append(want, fmt.Sprint(w))
		}
		f.Allowed = "one of " + strings.Join(want, ", ")
	case *kind.Minimum:
		f.Allowed = number(k.Want) + " or more"
	case *kind.Maximum:
		f.Allowed = number(k.Want) + " or less"
	case *kind.ExclusiveMinimum:
		f.Allowed = "more than " + number(k.Want)
	case *kind.MinItems:
		f.Found, f.Allowed = fmt.Sprintf("%d items", k.Got), fmt.Sprintf("%d or more", k.Want)
	case *kind.MaxItems:
		f.Found, f.Allowed = fmt.Sprintf("%d items", k.Got), fmt.Sprintf("%d or fewer", k.Want)
	default:
		f.Allowed = "what the schema says: " + e.Error()
	}
	if strings.HasPrefix(f.Allowed, "of type string") && strings.Contains(e.SchemaURL, "duration") {
		f.Allowed = `a time such as "750ms" or "2s"`
	}
	return f
}

func patternWords(p string) string {
	switch {
	case strings.Contains(p, "us|ms|s|m"):
		return `a time such as "750ms" or "2s"`
	case strings.Contains(p, "unix:"):
		return "ADDRESS:PORT with a port up to 65535, or unix:PATH"
	case strings.Contains(p, "6553[0-5]"):
		return "ADDRESS:PORT with a port from 1 to 65535"
	case strings.Contains(p, "{1,64}"):
		return "a name of up to 64 letters, digits, dots, dashes and underscores"
	}
	return "what matches " + p
}

func escape(s string) string {
	return strings.ReplaceAll(strings.ReplaceAll(s, "~", "~0"), "/", "~1")
}

func pointer(e *jsonschema.ValidationError) string {
	s := ""
	for _, part := range e.InstanceLocation {
		s += "/" + escape(part)
	}
	return s
}

// at returns the JSON text of what stands at a place.
func at(doc any, place []string) string {
	for _, part := range place {
		switch v := doc.(type) {
		case map[string]any:
			doc = v[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(v) {
				return "nothing"
			}
			doc = v[i]
		}
	}
	b, err := json.Marshal(doc)
	if err != nil {
		return "something"
	}
	return string(b)
}

func clip(s string) string {
	s = strings.Join(strings.Fields(s), " ")
	if len(s) > 80 {
		s = s[:77] + "..."
	}
	return s
}
