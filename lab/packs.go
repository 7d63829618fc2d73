package lab

import (
	"slices"
	"time"

	"vetchdoor/files"
	"vetchdoor/lab/node"
	"vetchdoor/tenancy"
)

// packsByZone returns the packs of the nodes by zone, in the form of the write_packs setting.
func packsByZone(nodes []*node.Node) (packs map[string][]int) {
	for _, n := range nodes {
		packs = addPack(packs, n.Config())
	}
	return packs
}

// addPack adds a node's pack to packs and returns it; packs may be nil.
func addPack(packs map[string][]int, at files.NodeAt) map[string][]int {
	if packs == nil {
		packs = map[string][]int{}
	}
	if !slices.Contains(packs[at.Zone], at.Pack) {
		packs[at.Zone] = append(packs[at.Zone], at.Pack)
	}
	return packs
}

// changePacks extends the packs that take writes by those of the spare nodes, in the two steps that operators follow: a
// rolling restart of the proxies with both the old and the new packs configured, then, after the longest write and
// deduplication window, another one with the new packs alone. Both restarts and the wait between them take t.Length.
func (f *fleet) changePacks(t *files.Trouble) {
	down := time.Duration(max(t.Extra, 0.2) * float64(time.Second))
	write, window := tenancy.MoveDurations(f.day.Service.Types(), f.day.Service.WriteLifetime.AsDuration())
	roll := max(0, (t.Length.AsDuration()-write-window)/2-down)
	all := packsByZone(slices.Concat(f.nodes, f.spare))
	second := t.At.AsDuration() + roll + down + write + window
	for i, instance := range f.proxies {
		offset := roll * time.Duration(i) / time.Duration(len(f.proxies))
		f.schedule(t.At.AsDuration()+offset, func() { f.killProxy(i) })
		f.schedule(t.At.AsDuration()+offset+down, func() {
			instance.file.Service.WritePacksNext = all
			f.restartProxy(i)
		})
		f.schedule(second+offset, func() { f.killProxy(i) })
		f.schedule(second+offset+down, func() {
			instance.file.Service.WritePacks, instance.file.Service.WritePacksNext = all, nil
			f.restartProxy(i)
		})
	}
}
