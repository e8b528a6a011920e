package routing

import (
	"cmp"
	"slices"
)

// Which of the engines that read a prompt answers, and where its memory is.
const (
	// reservationShare is the part of a target's free memory that a ticket may take, and
	// reservationMargin what is asked for beyond the need, since memory comes in blocks.
	reservationShare  = 0.9
	reservationMargin = 1.02
)

// settle takes the target that answers: one with room for the whole prompt and the
// fewest writers whose callers wait closely. Where none has the room, the one with the
// most keeps what it can, and helpers set memory aside for the rest.
func (s *Scratch) chooseAnswering(r *Request, targets []Target, chosen []int, d *Decision) bool {
	first := -1
	for _, i := range chosen {
		t := &targets[i]
		if t.freeMemory() < r.MemoryTokens() || t.full() || t.rateLimited(r) {
			continue
		}
		if first < 0 || compareAnswering(t, &targets[first]) < 0 {
			first = i
		}
	}
	if first < 0 {
		first = s.divideMemory(r, targets, chosen, d)
	}
	if first < 0 {
		return false
	}
	d.Verdict = Place
	d.Chosen = targets[first].ID
	for _, i := range chosen {
		if i != first {
			d.Helpers = append(d.Helpers, targets[i].ID)
		}
	}
	return true
}

// compareAnswering prefers a target whose calls did not fail lately, then the one with the
// fewest writers whose callers wait closely, and then the one with the most requests: where
// long prompts write beside each other, more engines are free for parts that no writer
// bears.
func compareAnswering(a, b *Target) int {
	return cmp.Or(
		cmp.Compare(int(a.RecentFailures), int(b.RecentFailures)),
		cmp.Compare(a.GapSensitive, b.GapSensitive),
		cmp.Compare(b.Load.Requests, a.Load.Requests),
	)
}

// divide finds memory for a prompt that no target has room for: the target that
// answers, and tickets at as few helpers as can be, since each ticket is ordered,
// renewed and released. It returns -1 where there is not enough, or where the prompt
// would fit one target once that is less full.
func (s *Scratch) divideMemory(r *Request, targets []Target, chosen []int, d *Decision) int {
	order := slices.Clone(chosen)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(targets[b].freeMemory(), targets[a].freeMemory()) })
	// A ticket takes no call, so one that is exhausted may hold one.
	if first := slices.IndexFunc(order, func(i int) bool { return !targets[i].rateLimited(r) }); first > 0 {
		leader := order[first]
		order = slices.Insert(slices.Delete(order, first, first+1), 0, leader)
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
