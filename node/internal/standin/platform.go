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

// Platform is a stand-in for the configuration service and the host list. Each
// server has its own; several servers of one Platform can be frozen apart.
type Platform struct {
	mu            sync.Mutex
	revision      int64
	values        map[string]settings.Part
	deletedAt     map[string]int64
	hosts         hostlist.List
	hostChangedAt map[string]int64 // the revision at which a host last changed
	hostRemovedAt map[string]int64 // and at which it went
	changed       chan struct{}
	calls         int64
	faults        PlatformFaults
	staleChanges  *settings.Changes
}

// PlatformFaults are the ways in which the platform misbehaves.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool
	// Garbage answers with what is not JSON.
	InvalidJSON bool
	// Stale answers from the state at the time the fault was set.
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

// Put writes values, all in one revision, and returns it.
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

// Delete removes a value.
func (p *Platform) Delete(key string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	delete(p.values, key)
	p.deletedAt[key] = p.revision
	p.notify()
	return p.revision
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetHosts replaces the host list.
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

// hostsSince lists the hosts that differ from a revision; the lock is held.
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

// SetFaults changes how the platform misbehaves from now on.
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

// Calls is the number of calls that the platform has counted.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// since lists the values that changed after a revision; the lock is held.
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

// Handler serves the platform's published interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.serveConfig)
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	return mux
}

// serveFault answers for a fault that stops the call; the lock is held.
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

// filterByPrefix keeps the values below a prefix.
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
