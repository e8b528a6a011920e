package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/routing"
	"doorstack.dev/node/target"
)

// Views returns a copy of the targets of a pool as routing sees them.
func (t *TargetTable) Views(pool string, at time.Time) []routing.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return nil
	}
	p.refresh(at)
	return slices.Clone(p.targets)
}

// Capacity is the number of live targets of a pool and their prefill rate.
type Capacity struct {
	LiveTargets int
	PrefillRate float64
	// LargestMemory is the largest memory of a live target, in tokens.
	LargestMemory int64
	// TargetRate is the fastest live target's rate.
	MaxTargetRate float64
	// ShortRate is what this daemon's short prompts take of it, tokens a second.
	ShortPromptRate float64
}

// Capacity sums the live targets of a pool.
func (t *TargetTable) Capacity(pool string, at time.Time) Capacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Capacity
	p := t.pools[pool]
	if p == nil {
		return c
	}
	c.ShortPromptRate = p.shortPrompts.perSecond(at)
	for i := range p.targets {
		v := &p.targets[i]
		if v.State != routing.Live {
			continue
		}
		c.LiveTargets++
		c.PrefillRate += v.PrefillRate
		c.MaxTargetRate = max(c.MaxTargetRate, v.PrefillRate)
		c.LargestMemory = max(c.LargestMemory, v.MemoryTokens)
	}
	return c
}

// TargetAddress is a target and where it listens.
type TargetAddress struct {
	ID, Pool, Address string
	// Engine is true for model engines.
	Engine bool
	// Reservations are what the target last reported to hold.
	Reservations []target.Reservation
	Fence        int64
	Models       []string
}

// Addresses lists all targets.
func (t *TargetTable) Addresses() []TargetAddress {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]TargetAddress, 0, len(t.byID))
	for _, s := range t.byID {
		list = append(list, TargetAddress{
			ID:           s.id,
			Pool:         s.pool.name,
			Address:      s.address,
			Engine:       s.pool.targets[s.index].PrefillRate > 0,
			Reservations: s.report.Reservations,
			Fence:        s.report.Fence,
			Models:       s.report.Models,
		})
	}
	slices.SortFunc(list, func(a, b TargetAddress) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// Address finds where a target listens.
func (t *TargetTable) Address(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		return s.address
	}
	return ""
}

// TargetStatus is a target as operators see it.
type TargetStatus struct {
	Pool     string         `json:"pool"`
	Address  string         `json:"address"`
	View     routing.Target `json:"view"`
	Failures int64          `json:"failures"`
	// Rest is for how long the target still wants no calls from this daemon.
	Backoff time.Duration `json:"rest_ns,omitempty"`
	// Limit is the limit that it has named, with its unit; empty where it names none.
	Limit    string `json:"limit,omitempty"`
	OwnCalls int    `json:"own_calls"`
}

// Status lists all targets by pool and id.
func (t *TargetTable) Status(at time.Time) []TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []TargetStatus
	for _, p := range t.pools {
		p.refresh(at)
		for i, s := range p.states {
			list = append(list, TargetStatus{Pool: p.name, Address: s.address, View: p.targets[i], Failures: s.failures, OwnCalls: len(s.calls), Backoff: t.notices.BackoffLeft(s.id, at), Limit: s.limit().String()})
		}
	}
	slices.SortFunc(list, func(a, b TargetStatus) int {
		if a.Pool+"/"+a.View.ID < b.Pool+"/"+b.View.ID {
			return -1
		}
		return 1
	})
	return list
}
