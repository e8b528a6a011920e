package settings

import (
	"maps"
	"slices"

	"doorstack.dev/core/strictyaml"
)

// levelsOfRanks returns the level of each rank in a PartlyUsable document, or nil if all ranks are levels already.
// The ranks keep their order. Where there are more ranks than levels, the least urgent ranks share the last level.
func levelsOfRanks(d *Document) map[int]int {
	ranks := map[int]bool{}
	for _, p := range d.Priorities {
		ranks[p.Level] = true
	}
	for _, r := range d.Paths {
		ranks[r.Level] = true
	}
	sorted := slices.Sorted(maps.Keys(ranks))
	if len(sorted) == 0 || sorted[len(sorted)-1] <= maxLevel {
		return nil
	}
	levels := make(map[int]int, len(sorted))
	for i, rank := range sorted {
		levels[rank] = min(i, maxLevel)
	}
	return levels
}

// levelOf returns the level of a rank.
func (t *Tree) levelOf(rank int) int {
	if t.levels == nil {
		return rank
	}
	return t.levels[rank]
}

// LeftOut returns the problems of the entries that are not in force, although the rest of the document is.
func (t *Tree) LeftOut() strictyaml.Problems { return t.leftOut }
