package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a sound stand-in for the platform's metadata store. It never fails.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	address  string
}

// newStore starts a store on a free port of an IP address.
func newStore(ip string) *store {
	s := &store{items: map[string]item{}, changed: make(chan struct{}), revision: 1}
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		cannotRun("start the store: %v", err)
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode a value of the store: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: data, Revision: s.revision, CreateRev: s.revision}
	if old, ok := s.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.publish(it)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Tombstone: true})
}

// publish adds a change to the history and wakes the watches; the lock is held.
func (s *store) publish(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, it)
}

// pageSize is the largest number of items in an answer to kv-range.
const pageSize = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items, asOf := []item{}, s.revision
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events, asOf, changed := []item{}, s.revision, s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // A daemon that has gone needs no answer.
}
