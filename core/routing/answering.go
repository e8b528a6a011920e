package routing

import (
	"cmp"
	"slices"
)

// This file decides which of the engines that prefill a prompt answers, and where its KV cache is.
const (
	// reservationShare is the share of a target's free memory that a reservation may take.
	// reservationMargin scales the reserved memory, since memory is allocated in blocks.
	reservationShare  = 0.9
	reservationMargin = 1.02
)

// chooseAnswering chooses the target that answers: one with room for the whole request and
// the fewest gap-sensitive requests. Where none has the room, the target with the most free
// memory holds what it can, and helpers reserve memory for the rest.
func (s *Scratch) chooseAnswering(r *Request, targets []Target, chosen []int, d *Decision) bool {
	answering := -1
	for _, i := range chosen {
		t := &targets[i]
		if t.freeMemory() < r.MemoryTokens() || t.full() || t.rateLimited(r) {
			continue
		}
		if answering < 0 || compareAnswering(t, &targets[answering]) < 0 {
			answering = i
		}
	}
	if answering < 0 {
		answering = s.divideMemory(r, targets, chosen, d)
	}
	if answering < 0 {
		return false
	}
	d.Verdict = Place
	d.Chosen = targets[answering].ID
	for _, i := range chosen {
		if i != answering {
			d.Helpers = append(d.Helpers, targets[i].ID)
		}
	}
	return true
}

// compareAnswering prefers a target without recent failures, then the one with the fewest
// gap-sensitive requests, and then the one with the most requests: when long prompts are
// decoded beside each other, more engines are free for parts that no gap goal allows.
func compareAnswering(a, b *Target) int {
	return cmp.Or(
		cmp.Compare(int(a.RecentFailures), int(b.RecentFailures)),
		cmp.Compare(a.GapSensitive, b.GapSensitive),
		cmp.Compare(b.Load.Requests, a.Load.Requests),
	)
}

// divideMemory finds memory for a request that no target has room for. It returns the target
// that answers, and adds reservations at as few helpers as possible, since each reservation
// is requested, renewed and released. It returns -1 where there is not enough memory, or
// where the request would fit one target when that is less full.
func (s *Scratch) divideMemory(r *Request, targets []Target, chosen []int, d *Decision) int {
	order := slices.Clone(chosen)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(targets[b].freeMemory(), targets[a].freeMemory()) })
	// A reservation is no call, so a rate-limited target may hold one.
	if first := slices.IndexFunc(order, func(i int) bool { return !targets[i].rateLimited(r) }); first > 0 {
		answering := order[first]
		order = slices.Insert(slices.Delete(order, first, first+1), 0, answering)
	}
	if len(order) == 0 || targets[order[0]].full() || targets[order[0]].rateLimited(r) || r.MemoryTokens() <= targets[order[0]].MemoryTokens {
		return -1
	}
	left := int64(float64(r.MemoryTokens())*reservationMargin) - int64(float64(targets[order[0]].freeMemory())*reservationShare)
	d.Reservations = nil
	for _, i := range order[1:] {
		if left <= 0 {
			break
		}
		tokens := min(left, int64(float64(targets[i].freeMemory())*reservationShare))
		if tokens <= 0 {
			break
		}
		d.Reservations = append(d.Reservations, MemoryReservation{Target: targets[i].ID, Tokens: tokens})
		left -= tokens
	}
	if left > 0 {
		d.Reservations = nil
		return -1
	}
	return order[0]
}
