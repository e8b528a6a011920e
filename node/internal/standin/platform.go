package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/settings"
)

// Platform simulates the platform's configuration service and host list.
type Platform struct {
	mu            sync.Mutex
	revision      int64
	values        map[string]settings.Part
	deletedAt     map[string]int64 // settings revision of each key's deletion
	hosts         hostlist.List
	hostChangedAt map[string]int64 // host list revision of each host's last change
	hostRemovedAt map[string]int64 // host list revision of each host's removal
	changed       chan struct{}
	calls         int64
	faults        PlatformFaults
	staleChanges  *settings.Changes // the answer of serveConfig while Stale is set, else nil
}

// PlatformFaults are the faults that the platform injects. The zero value injects none.
type PlatformFaults struct {
	// Down answers every call with status 503.
	Down bool
	// InvalidJSON answers every call with a body that is not JSON.
	InvalidJSON bool
	// Stale answers with the settings at the time when the fault was set.
	Stale bool
}

// NewPlatform returns a platform without values or hosts.
func NewPlatform() *Platform {
	return &Platform{
		values:        map[string]settings.Part{},
		deletedAt:     map[string]int64{},
		changed:       make(chan struct{}),
		hostChangedAt: map[string]int64{},
		hostRemovedAt: map[string]int64{},
	}
}

// Put writes values in one new revision and returns that revision.
func (p *Platform) Put(values map[string]string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	for key, data := range values {
		p.values[key] = settings.Part{Revision: p.revision, Data: []byte(data)}
		delete(p.deletedAt, key)
	}
	p.notify()
	return p.revision
}

// Delete removes a value and returns the new revision.
func (p *Platform) Delete(key string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	delete(p.values, key)
	p.deletedAt[key] = p.revision
	p.notify()
	return p.revision
}

// notify wakes the calls that wait for new settings; the lock is held.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetHosts replaces the host list and records which hosts changed or were removed.
func (p *Platform) SetHosts(hosts []hostlist.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.Revision++
	p.hosts.Changed = time.Now()
	before := map[string]hostlist.Host{}
	for _, h := range p.hosts.Hosts {
		before[h.ID] = h
	}
	for _, h := range hosts {
		if before[h.ID] != h {
			p.hostChangedAt[h.ID] = p.hosts.Revision
		}
		delete(before, h.ID)
		delete(p.hostRemovedAt, h.ID)
	}
	for id := range before {
		p.hostRemovedAt[id] = p.hosts.Revision
	}
	p.hosts.Hosts = append([]hostlist.Host(nil), hosts...)
}

// hostsChangedAfter returns the hosts changed or removed after a revision, or the full list
// for a revision that is zero, negative or unknown; the lock is held.
func (p *Platform) hostsChangedAfter(since int64) hostlist.List {
	list := p.hosts
	list.AsOf = time.Now()
	if since <= 0 || since > p.hosts.Revision {
		return list
	}
	list.Since = since
	list.Hosts = nil
	for _, h := range p.hosts.Hosts {
		if p.hostChangedAt[h.ID] > since {
			list.Hosts = append(list.Hosts, h)
		}
	}
	for id, at := range p.hostRemovedAt {
		if at > since {
			list.Removed = append(list.Removed, id)
		}
	}
	return list
}

// SetFaults replaces the faults that the platform injects.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Stale && p.staleChanges == nil {
		changes := p.changesAfter(0)
		p.staleChanges = &changes
	}
	if !f.Stale {
		p.staleChanges = nil
	}
	p.faults = f
}

// Calls returns the number of calls received.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// changesAfter returns the values changed or deleted after a revision; the lock is held.
func (p *Platform) changesAfter(revision int64) settings.Changes {
	changes := settings.Changes{Since: revision, Revision: p.revision, Parts: map[string]settings.Part{}}
	for key, v := range p.values {
		if v.Revision > revision {
			changes.Parts[key] = v
		}
	}
	for key, at := range p.deletedAt {
		if at > revision {
			changes.Deleted = append(changes.Deleted, key)
		}
	}
	return changes
}

// Handler returns the handler of the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.serveConfig)
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	return mux
}

// serveFault counts the call. It reports whether it answered the call with an injected
// fault; the lock is held.
func (p *Platform) serveFault(w http.ResponseWriter) bool {
	p.calls++
	switch {
	case p.faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case p.faults.InvalidJSON:
		_, _ = w.Write([]byte("<html>it works</html>"))
		return true
	}
	return false
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serveFault(w) {
		return
	}
	writeJSON(w, http.StatusOK, p.hostsChangedAfter(since))
}

// serveConfig answers with the settings changed after revision "since". If there are none, it
// waits for a change, for at most the duration "wait" (long polling).
func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("since"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.mu.Lock()
	if p.serveFault(w) {
		p.mu.Unlock()
		return
	}
	for wait > 0 && p.revision <= since && p.staleChanges == nil {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
		p.mu.Lock()
	}
	changes := p.changesAfter(since)
	if p.staleChanges != nil {
		changes = *p.staleChanges
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, filterByPrefix(changes, query.Get("prefix")))
}

// filterByPrefix returns the changes with only those values whose key has the prefix.
// Deleted keys are not filtered.
func filterByPrefix(changes settings.Changes, prefix string) settings.Changes {
	kept := changes
	kept.Parts = map[string]settings.Part{}
	for key, v := range changes.Parts {
		if strings.HasPrefix(key, prefix) {
			kept.Parts[key] = v
		}
	}
	return kept
}
