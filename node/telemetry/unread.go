package telemetry

import "sync"

// mostUnread bounds the names of headers that are remembered.
const mostUnread = 64

// unreadHeaders remembers the headers of targets' answers that nothing reads.
type unreadHeaders struct {
	mu    sync.Mutex
	known map[string]bool
}

// isNew notes a header and tells whether it was not known and is remembered now.
func (u *unreadHeaders) isNew(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.known[name] || len(u.known) >= mostUnread {
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
func (r *Recorder) Unread(pool, target string, names []string) {
	for _, name := range names {
		if !r.unread.isNew(name) {
			continue
		}
		r.Metrics.UnreadHeaders.Inc()
		r.Log.Warn("a header of targets is not understood", "header", name, "pool", pool, "target", target)
	}
}
