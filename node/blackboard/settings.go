package blackboard

import (
	"sync/atomic"
	"time"

	"doorstack.dev/core/settings"
)

// SettingsView is an adopted settings revision. It is immutable.
type SettingsView struct {
	Tree     *settings.Tree
	Revision int64
	// Digest identifies the content, to detect different contents under one revision.
	Digest uint64
	// Adopted is when this daemon adopted the revision.
	Adopted time.Time
	// Snapshot is the data that the tree was parsed from.
	Snapshot settings.Snapshot
}

// SettingsTable holds the settings in force.
type SettingsTable struct {
	current   atomic.Pointer[SettingsView]
	mu        Mutex
	rejection Rejection
}

// Rejection is the last revision that was not adopted, and the reason.
type Rejection struct {
	Revision int64     `json:"revision,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	At       time.Time `json:"at,omitzero"`
}

func newSettingsTable() *SettingsTable { return &SettingsTable{mu: NewMutex(RankSettings)} }

// Current returns the revision in force, or nil before the first.
func (t *SettingsTable) Current() *SettingsView { return t.current.Load() }

// Adopt puts a revision in force unless the current one is as new or newer. It reports whether it did.
func (t *SettingsTable) Adopt(v *SettingsView) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.current.Load(); old != nil && old.Revision >= v.Revision {
		return false
	}
	t.current.Store(v)
	if t.rejection.Revision <= v.Revision {
		t.rejection = Rejection{}
	}
	return true
}

// Reject records why a revision was not adopted.
func (t *SettingsTable) Reject(r Rejection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejection = r
}

// Rejected returns the last revision that was not adopted.
func (t *SettingsTable) Rejected() Rejection {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejection
}
