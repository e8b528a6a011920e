package telemetry

import "sync"

// maxUnknownHeaders bounds the header names in an unknownHeaderSet.
const maxUnknownHeaders = 64

// unknownHeaderSet holds the names of the unknown headers seen in targets' answers.
type unknownHeaderSet struct {
	mu    sync.Mutex
	known map[string]bool
}

// add adds a header name and reports whether it is new. It adds none to a full set.
func (u *unknownHeaderSet) add(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.known[name] || len(u.known) >= maxUnknownHeaders {
		return false
	}
	if u.known == nil {
		u.known = map[string]bool{}
	}
	u.known[name] = true
	return true
}

// RecordUnknownHeaders logs and counts unknown headers in a target's answer, each name once. The target
// may be asking for something that the daemon does not do.
func (r *Recorder) RecordUnknownHeaders(pool, target string, names []string) {
	for _, name := range names {
		if !r.unknownHeaders.add(name) {
			continue
		}
		r.Metrics.UnknownHeaders.Inc()
		r.Log.Warn("a header of targets is not understood", "header", name, "pool", pool, "target", target)
	}
}
