// Package days holds the days that ship with the binary.
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

// Default is the day that is played when none is named.
const Default = "bad-evening"

// Names are the days that ship.
func Names() []string {
	names, err := fs.Glob(shipped, "*.json")
	if err != nil {
		panic(err) // the pattern is fixed
	}
	for i := range names {
		names[i] = strings.TrimSuffix(names[i], ".json")
	}
	slices.Sort(names)
	return names
}

// Read returns the day of that name, or the one in the file of that path.
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
		return nil, fmt.Errorf("no day %q ships with vetchdoor (there are %s) and it is no path", name, strings.Join(Names(), ", "))
	}
	return d, files.Read(name, "day", d)
}
