package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/admission"
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

// Capacity is the capacity of the live targets of a pool. Rates are in prompt tokens per second.
type Capacity struct {
	LiveTargets int
	PrefillRate float64
	// Slots and MemoryTokens are the sums over the live targets, and Engines the number of those
	// with memory.
	Slots, MemoryTokens int64
	Engines             int
	// LargestMemory is the largest memory of a single live target, in tokens.
	LargestMemory int64
	// MaxTargetRate is the prefill rate of the fastest live target.
	MaxTargetRate float64
	// ShortPromptRate is the average rate of the short prompts that this daemon places.
	ShortPromptRate float64
}

// Size returns the capacity of the pool's engines, by which calls are charged.
func (c *Capacity) Size() admission.PoolSize {
	return admission.PoolSize{Engines: c.Engines, Slots: c.Slots, MemoryTokens: c.MemoryTokens}
}

// Capacity returns the capacity of the live targets of a pool.
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
		c.Slots += int64(v.MaxConcurrent)
		c.MemoryTokens += v.MemoryTokens
		if v.MemoryTokens > 0 {
			c.Engines++
		}
		c.MaxTargetRate = max(c.MaxTargetRate, v.PrefillRate)
		c.LargestMemory = max(c.LargestMemory, v.MemoryTokens)
	}
	return c
}

// TargetAddress is a target with its address and what it last reported.
type TargetAddress struct {
	ID, Pool, Address string
	// Engine is true for model engines, false for plain services.
	Engine bool
	// Reservations are the memory reservations that the target last reported.
	Reservations []target.Reservation
	// Fence is the fencing token that the target last reported.
	Fence  int64
	Models []string
}

// HasAddress reports whether a known target listens at an address.
func (t *TargetTable) HasAddress(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		if s.address == address {
			return true
		}
	}
	return false
}

// Addresses returns all targets, sorted by id.
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
			Fence:        s.report.FencingToken,
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

// Region returns the region of a target, or "" if the target is not known.
func (t *TargetTable) Region(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		return s.pool.targets[s.index].Region
	}
	return ""
}

// Evacuated reports whether a target is in a data centre that the operators have evacuated.
func (t *TargetTable) Evacuated(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	return s != nil && s.listed == routing.Evacuated
}

// Address returns the address of a target, or "" if the target is not known.
func (t *TargetTable) Address(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		return s.address
	}
	return ""
}

// TargetStatus is the state of a target as shown to operators.
type TargetStatus struct {
	Pool     string         `json:"pool"`
	Address  string         `json:"address"`
	View     routing.Target `json:"view"`
	Failures int64          `json:"failures"`
	// Backoff is for how much longer the target wants no calls from this daemon.
	Backoff time.Duration `json:"rest_ns,omitempty"`
	// Limit is the rate limit that the target has declared, with its unit; empty if it has declared none.
	Limit string `json:"limit,omitempty"`
	// ColdFor is for how much longer the target is cold.
	ColdFor time.Duration `json:"cold_ns,omitempty"`
	// OwnCalls is the number of calls in progress that this daemon counts at the target,
	// including those that other daemons reported.
	OwnCalls int `json:"own_calls"`
}

// Status returns the status of all targets, sorted by pool and id.
func (t *TargetTable) Status(at time.Time) []TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []TargetStatus
	for _, p := range t.pools {
		p.refresh(at)
		for i, s := range p.states {
			list = append(list, TargetStatus{Pool: p.name, Address: s.address, View: p.targets[i], Failures: s.failures, OwnCalls: len(s.calls), Backoff: t.notices.BackoffLeft(s.id, at), Limit: s.limit().String(), ColdFor: s.coldFor(at)})
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
