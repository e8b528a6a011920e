package telemetry

import "sync"

// maxUnknownHeaders bounds the names of headers that are remembered.
const maxUnknownHeaders = 64

// unknownHeaderSet remembers the headers of targets' answers that nothing reads.
type unknownHeaderSet struct {
	mu    sync.Mutex
	known map[string]bool
}

// isNew notes a header and tells whether it was not known and is remembered now.
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

// Unread records headers of a target's answer that nothing reads, each name once: targets may be asking for
// something that the daemons do not follow.
func (r *Recorder) RecordUnknownHeaders(pool, target string, names []string) {
	for _, name := range names {
		if !r.unknownHeaders.add(name) {
			continue
		}
		r.Metrics.UnknownHeaders.Inc()
		r.Log.Warn("a header of targets is not understood", "header", name, "pool", pool, "target", target)
	}
}
