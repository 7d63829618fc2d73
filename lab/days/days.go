// Package days contains the laboratory days that are built into the binary.
package days

import (
	"embed"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"vetchdoor/files"
)

//go:embed *.json
var shipped embed.FS

// Default is the name of the day that is played when none is given.
const Default = "bad-evening"

// Names returns the sorted names of the built-in days.
func Names() []string {
	names, err := fs.Glob(shipped, "*.json")
	if err != nil {
		panic(err) // cannot happen: the pattern is constant
	}
	for i := range names {
		names[i] = strings.TrimSuffix(names[i], ".json")
	}
	slices.Sort(names)
	return names
}

// Read returns the built-in day with the given name, or the day in the file with the given path.
func Read(name string) (*files.Day, error) {
	d := &files.Day{}
	if slices.Contains(Names(), name) {
		data, err := shipped.ReadFile(name + ".json")
		if err != nil {
			return nil, err
		}
		return d, files.Parse(name+".json", data, "day", d)
	}
	if !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("unknown day %q: the built-in days are %s; a path must contain a dot or a slash", name,
			strings.Join(Names(), ", "))
	}
	return d, files.Read(name, "day", d)
}
