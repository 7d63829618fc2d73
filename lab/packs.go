package lab

import (
	"slices"
	"time"

	"vetchdoor/files"
	"vetchdoor/lab/node"
	"vetchdoor/tenancy"
)

// packsOf are the packs of nodes, by zone, as settings name them.
func packsOf(nodes []*node.Node) (packs map[string][]int) {
	for _, n := range nodes {
		packs = withPack(packs, n.Config())
	}
	return packs
}

// withPack adds a node's pack to those of the settings.
func withPack(packs map[string][]int, at files.NodeAt) map[string][]int {
	if packs == nil {
		packs = map[string][]int{}
	}
	if !slices.Contains(packs[at.Zone], at.Pack) {
		packs[at.Zone] = append(packs[at.Zone], at.Pack)
	}
	return packs
}

// changePacks has writes go to the packs of spare nodes too, from then on, in the two steps that operators take: all proxies are
// killed one after the other and come back with both the old packs and the new ones, and after the longest write and window again,
// with the new ones alone. Both rolls and the wait between them take the trouble's length.
func (f *fleet) changePacks(t *files.Trouble) {
	down := time.Duration(max(t.Extra, 0.2) * float64(time.Second))
	write, window := tenancy.Needs(f.day.Service.Types(), f.day.Service.WriteLife.AsDuration())
	roll := max(0, (t.Length.AsDuration()-write-window)/2-down)
	all := packsOf(slices.Concat(f.nodes, f.spare))
	second := t.At.AsDuration() + roll + down + write + window
	for i, at := range f.proxies {
		turn := roll * time.Duration(i) / time.Duration(len(f.proxies))
		f.later(t.At.AsDuration()+turn, func() { f.killProxy(i) })
		f.later(t.At.AsDuration()+turn+down, func() {
			at.file.Service.WritePacksNext = all
			f.reviveProxy(i)
		})
		f.later(second+turn, func() { f.killProxy(i) })
		f.later(second+turn+down, func() {
			at.file.Service.WritePacks, at.file.Service.WritePacksNext = all, nil
			f.reviveProxy(i)
		})
	}
}
