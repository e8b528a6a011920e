package poison

import "time"

// timeSet holds the times of recent successes by key, in two generations: when the current one is full or too old it
// replaces the previous one, whose entries are dropped.
type timeSet struct {
	// max bounds the number of entries.
	max               int
	current, previous map[Key]time.Time
	rotatedAt         time.Time // when the current generation was started
}

// add records the time at for a key, unless a later one is known.
func (s *timeSet) add(k Key, at, now time.Time) {
	if s.current == nil || len(s.current) >= s.max/2 || now.Sub(s.rotatedAt) > successValidity {
		s.current, s.previous, s.rotatedAt = map[Key]time.Time{}, s.current, now
	}
	if known, found := s.last(k, now); !found || at.After(known) {
		s.current[k] = at
	}
}

// last returns the time of a key, and whether it lies within successValidity.
func (s *timeSet) last(k Key, now time.Time) (time.Time, bool) {
	at, found := s.current[k]
	if !found {
		at, found = s.previous[k]
	}
	return at, found && now.Sub(at) <= successValidity
}

func (s *timeSet) contains(k Key, now time.Time) bool {
	_, found := s.last(k, now)
	return found
}
