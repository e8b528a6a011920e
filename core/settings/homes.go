package settings

import (
	"slices"
	"strings"
)

// Homes are the regions whose targets may run requests; nil means all regions. An empty list
// that is not nil allows none.
type Homes []string

// homesOf returns the homes that a list in the settings means. An empty list allows all
// regions, so that a node can lift what it would inherit.
func homesOf(list []string) Homes {
	if len(list) == 0 {
		return nil
	}
	homes := slices.Clone(list)
	slices.Sort(homes)
	return slices.Compact(homes)
}

// And returns the regions that both lists allow.
func (h Homes) And(other Homes) Homes {
	switch {
	case h == nil:
		return other
	case other == nil:
		return h
	}
	both := Homes{}
	for _, region := range h {
		if slices.Contains(other, region) {
			both = append(both, region)
		}
	}
	return both
}

// String returns the regions for messages.
func (h Homes) String() string {
	switch {
	case h == nil:
		return "all regions"
	case len(h) == 0:
		return "no region"
	default:
		return strings.Join(h, ", ")
	}
}

// checkHomes validates a list of homes, which does not have to name regions that have targets.
func (c *checker) checkHomes(list []string, add func(message, remedy string)) {
	if slices.Contains(list, "") {
		add("names an empty region", "write names of regions, or [] for all regions")
	}
}
