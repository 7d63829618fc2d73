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

// Kinds lists the kinds of settings files: the allowed values of the key "kind".
var Kinds = []string{"pilot", "proxy", "node", "roster", "day"}

// Limits of a file: its size in bytes, and the depth of nesting.
const (
	maxFileBytes = 64 << 20
	maxNesting   = 64
)

// ValidationError describes the first value of a file that is not allowed.
type ValidationError struct {
	File    string
	Pointer string // JSON pointer to the value; empty for the whole file
	Found   string
	Allowed string
}

// Error returns the error as one line: file, pointer, value found, values allowed.
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

var compiledSchemas = sync.OnceValues(func() (map[string]*jsonschema.Schema, error) {
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

// SchemaOf returns the JSON Schema of a kind of file. It fails if the kind is unknown.
func SchemaOf(kind string) ([]byte, error) {
	if !isKind(kind) {
		return nil, fmt.Errorf("unknown kind %q; the kinds are %s", kind, strings.Join(Kinds, ", "))
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

func isKind(kind string) bool {
	for _, k := range Kinds {
		if k == kind {
			return true
		}
	}
	return false
}

// Read reads the file of one kind into target, which must point to the struct of that kind. Errors in the contents are
// ValidationErrors.
func Read(path, kind string, target any) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	return Parse(path, data, kind, target)
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = &ValidationError{File: path, Found: "over 64 MiB", Allowed: "less"}
	}
	if err != nil && !errors.As(err, new(*ValidationError)) {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return data, err
}

// Check reads a file of any kind and returns the kind, or the first error.
func Check(path string) (string, error) {
	data, err := readFile(path)
	if err != nil {
		return "", err
	}
	var target any
	k, err := kindOf(path, data)
	if err != nil {
		return "", err
	}
	switch k {
	case "pilot":
		target = &Pilot{}
	case "proxy":
		target = &Proxy{}
	case "node":
		target = &Node{}
	case "roster":
		target = &Roster{}
	case "day":
		target = &Day{}
	}
	return k, Parse(path, data, k, target)
}

func kindOf(path string, data []byte) (string, error) {
	if err := CheckSyntax(path, data); err != nil {
		return "", err
	}
	var head struct {
		Kind json.RawMessage `json:"kind"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return "", &ValidationError{File: path, Found: "not a JSON object", Allowed: "a JSON object with a \"kind\""}
	}
	var k string
	if json.Unmarshal(head.Kind, &k) != nil || !isKind(k) {
		found := "none"
		if len(head.Kind) > 0 {
			found = truncate(string(head.Kind))
		}
		return "", &ValidationError{File: path, Pointer: "/kind", Found: found, Allowed: "one of " + strings.Join(Kinds, ", ")}
	}
	return k, nil
}

// CheckSyntax checks the JSON syntax of data before it is decoded. It rejects empty or truncated data, data after the
// first object, nesting deeper than maxNesting levels, and duplicate keys in an object.
func CheckSyntax(path string, data []byte) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return &ValidationError{File: path, Found: "an empty file", Allowed: "a JSON object"}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	type container struct {
		keys map[string]bool // nil for an array
		key  bool            // whether the next string is a key
	}
	var stack []container
	for {
		tok, err := dec.Token()
		if err == io.EOF && len(stack) == 0 {
			return nil
		}
		if err != nil {
			line := 1 + bytes.Count(data[:min(int(dec.InputOffset()), len(data))], []byte("\n"))
			what := "invalid JSON (" + err.Error() + ")"
			if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
				what = "a truncated file"
			}
			return &ValidationError{File: path, Found: fmt.Sprintf("%s, line %d", what, line), Allowed: "a complete JSON object"}
		}
		top := len(stack) - 1
		if s, ok := tok.(string); ok && top >= 0 && stack[top].key {
			if stack[top].keys[s] {
				return &ValidationError{File: path, Found: fmt.Sprintf("the key %q twice in an object", s), Allowed: "once"}
			}
			stack[top].keys[s], stack[top].key = true, false
			continue
		}
		switch tok {
		case json.Delim('{'):
			stack = append(stack, container{keys: map[string]bool{}, key: true})
		case json.Delim('['):
			stack = append(stack, container{})
		case json.Delim('}'), json.Delim(']'):
			if stack = stack[:top]; len(stack) == 0 && dec.More() {
				return &ValidationError{File: path, Found: "data after the JSON object", Allowed: "nothing"}
			}
		}
		if len(stack) > maxNesting {
			return &ValidationError{File: path, Found: fmt.Sprintf("more than %d levels of nesting", maxNesting), Allowed: "fewer"}
		}
		if top = len(stack) - 1; top >= 0 && stack[top].keys != nil {
			stack[top].key = true
		}
	}
}

// Parse decodes and validates the contents of a file of one kind into target, which must point to the struct of that
// kind. The path is only used in errors.
func Parse(path string, data []byte, kind string, target any) error {
	k, err := kindOf(path, data)
	if err != nil {
		return err
	}
	if k != kind {
		return &ValidationError{File: path, Pointer: "/kind", Found: strconv.Quote(k), Allowed: strconv.Quote(kind)}
	}
	schemas, err := compiledSchemas()
	if err != nil {
		return err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return &ValidationError{File: path, Found: "invalid JSON (" + err.Error() + ")", Allowed: "a JSON object"}
	}
	if err := schemas[kind].Validate(doc); err != nil {
		var v *jsonschema.ValidationError
		if errors.As(err, &v) {
			return newValidationError(path, doc, v)
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return &ValidationError{File: path, Found: truncate(err.Error()), Allowed: "what vetchdoor schema " + kind + " prints"}
	}
	if c, ok := target.(interface{ checkConsistency() *ValidationError }); ok {
		if f := c.checkConsistency(); f != nil {
			f.File = path
			return f
		}
	}
	return nil
}

// newValidationError converts the first schema violation, in the order of the JSON pointers.
func newValidationError(path string, doc any, v *jsonschema.ValidationError) *ValidationError {
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
	sort.SliceStable(leaves, func(i, j int) bool { return instancePointer(leaves[i]) < instancePointer(leaves[j]) })
	e := leaves[0]
	f := &ValidationError{File: path, Pointer: instancePointer(e), Found: truncate(valueAt(doc, e.InstanceLocation))}
	number := func(r *big.Rat) string { return strings.TrimSuffix(r.FloatString(3), ".000") }
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		sort.Strings(k.Properties)
		f.Pointer += "/" + escapePointer(k.Properties[0])
		f.Found, f.Allowed = "an unknown key", "only keys in the schema"
	case *kind.Required:
		sort.Strings(k.Missing)
		f.Pointer += "/" + k.Missing[0]
		f.Found, f.Allowed = "nothing", "a value: the key is required"
	case *kind.Type:
		f.Allowed = "of type " + strings.Join(k.Want, " or ")
	case *kind.Pattern:
		f.Allowed = describePattern(k.Want)
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
		f.Allowed = "what the schema requires: " + e.Error()
	}
	if strings.HasPrefix(f.Allowed, "of type string") && strings.Contains(e.SchemaURL, "duration") {
		f.Allowed = `a time such as "750ms" or "2s"`
	}
	return f
}

func describePattern(p string) string {
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
	return "text that matches " + p
}

func escapePointer(s string) string {
	return strings.ReplaceAll(strings.ReplaceAll(s, "~", "~0"), "/", "~1")
}

func instancePointer(e *jsonschema.ValidationError) string {
	s := ""
	for _, part := range e.InstanceLocation {
		s += "/" + escapePointer(part)
	}
	return s
}

// valueAt returns the JSON text of the value at a location in the document.
func valueAt(doc any, location []string) string {
	for _, part := range location {
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

func truncate(s string) string {
	s = strings.Join(strings.Fields(s), " ")
	if len(s) > 80 {
		s = s[:77] + "..."
	}
	return s
}
