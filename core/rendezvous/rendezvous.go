// Package rendezvous orders hosts for a key by rendezvous hashing: all daemons that
// know the same hosts compute the same order, and adding or removing a host leaves the
// other hosts in the same order.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a host for a key; the highest weight comes first.
func Score(key, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // Writing to a digest never fails.
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}

type scored struct {
	host  string
	score uint64
}

// Top returns the n hosts with the highest scores for the key, best first, or
// all of them if there are fewer.
func Top(key string, hosts []string, n int) []string {
	list := make([]scored, len(hosts))
	for i, h := range hosts {
		list[i] = scored{h, Score(key, h)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	top := make([]string, 0, min(n, len(list)))
	for _, s := range list[:min(n, len(list))] {
		top = append(top, s.host)
	}
	return top
}

// Owner returns the host with the highest score for the key, or "" if there are no hosts.
func Owner(key string, hosts []string) string {
	best, bestScore := "", uint64(0)
	for _, h := range hosts {
		if s := Score(key, h); best == "" || s > bestScore || s == bestScore && h < best {
			best, bestScore = h, s
		}
	}
	return best
}
