package cluster

import (
	"context"
	"sync"
	"time"

	"doorstack.dev/core/membership"
)

// introductions introduces a daemon to seeds. It sends an introduction to a seed again while earlier
// ones are without a connection, since a dial to a host without power hangs until its timeout.
type introductions struct {
	// send sends one introduction, calls connected when the connection is open, and reports
	// whether the daemon at the address answered.
	send func(ctx context.Context, address string, connected func()) bool
	// dialing is the state of each seed's dialing, kept between rounds. Only round uses it.
	dialing map[string]*membership.SeedDialing
}

func newIntroductions(send func(ctx context.Context, address string, connected func()) bool) *introductions {
	return &introductions{send: send, dialing: map[string]*membership.SeedDialing{}}
}

// introductionRound is the outcome of a round of introductions.
type introductionRound struct {
	// answered is the number of addresses that answered, counting the daemon's own one.
	answered int
	// first is the address of the first answer, and dials the number of introductions sent.
	first string
	dials int
}

// introduction is one introduction under way.
type introduction struct {
	address string
	cancel  context.CancelFunc
	counted bool // whether the seed's dialing counts its connection
}

// introductionEvent is a step of an introduction: its connection is open, or it has ended with or
// without an answer.
type introductionEvent struct {
	*introduction
	ended, answered bool
}

// round introduces the daemon at several addresses at the same time, so that an unreachable seed
// does not delay the others. With repeat, it dials again as membership.SeedDialing says, for up to
// joinRound. After the first answer nothing is dialed any more, dials without a connection end, and
// open connections are waited for.
func (i *introductions) round(ctx context.Context, addresses []string, own string, repeat bool) introductionRound {
	var outcome introductionRound
	seeds := map[string]*membership.SeedDialing{}
	for _, address := range addresses {
		if address == own {
			outcome.answered++
		} else if i.dialing[address] != nil && repeat {
			seeds[address] = i.dialing[address]
		} else {
			seeds[address] = &membership.SeedDialing{}
		}
	}
	clear(i.dialing)
	if repeat {
		i.dialing = seeds
	}
	r := &runningRound{introductions: i, seeds: seeds, repeat: repeat, end: time.Now().Add(joinRound), events: make(chan introductionEvent), answered: map[string]bool{}, outcome: &outcome}
	r.run(ctx)
	return outcome
}

// runningRound is the state of a round while it runs.
type runningRound struct {
	introductions *introductions
	seeds         map[string]*membership.SeedDialing
	repeat        bool
	end           time.Time
	events        chan introductionEvent
	pending       int
	answered      map[string]bool
	outcome       *introductionRound
}

// run sends introductions until the round ends.
func (r *runningRound) run(ctx context.Context) {
	dialing, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := r.dialDue(dialing, time.Now())
		if r.over(ctx, time.Now()) {
			cancel()
			r.endPending()
			return
		}
		timer.Reset(wait)
		select {
		case e := <-r.events:
			r.apply(e)
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// over reports whether nothing is left to wait for.
func (r *runningRound) over(ctx context.Context, now time.Time) bool {
	if ctx.Err() != nil {
		return true
	}
	for _, s := range r.seeds {
		if s.Waiting() {
			return false
		}
	}
	if r.outcome.first != "" || len(r.seeds) == 0 || !r.repeat && r.pending == 0 {
		return true
	}
	return !now.Before(r.end)
}

// dialDue sends the introductions that are due and returns the time until the next one, or until the
// round ends.
func (r *runningRound) dialDue(ctx context.Context, now time.Time) time.Duration {
	if r.outcome.first != "" || !now.Before(r.end) {
		return joinTimeout // Open connections are waited for.
	}
	wait := r.end.Sub(now)
	for address, s := range r.seeds {
		next, ok := s.Next()
		if ok && !now.Before(next) && (r.repeat || r.outcome.dials < len(r.seeds)) {
			s.Dialed(now)
			r.pending++
			r.outcome.dials++
			go r.send(ctx, address)
			next, ok = s.Next()
		}
		if ok && r.repeat {
			wait = min(wait, next.Sub(now))
		}
	}
	return wait
}

// send sends one introduction and reports its steps.
func (r *runningRound) send(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := &introduction{address: address, cancel: cancel}
	var connected sync.Once
	answered := r.introductions.send(ctx, address, func() {
		connected.Do(func() { r.events <- introductionEvent{introduction: in} })
	})
	r.events <- introductionEvent{introduction: in, ended: true, answered: answered}
}

// apply applies a step of an introduction. It ends an introduction whose connection opens while
// another one waits for the seed's answer.
func (r *runningRound) apply(e introductionEvent) {
	s := r.seeds[e.address]
	if e.ended {
		r.pending--
	}
	switch {
	case !e.ended && s.Waiting():
		e.cancel()
	case !e.ended:
		e.counted = true
		s.Connected()
	case e.answered:
		r.recordAnswer(e.address)
		if e.counted {
			s.Answered(time.Now())
		}
	case e.counted:
		s.Unanswered(time.Now())
	}
}

// recordAnswer records that a seed has answered.
func (r *runningRound) recordAnswer(address string) {
	if !r.answered[address] {
		r.answered[address] = true
		r.outcome.answered++
	}
	if r.outcome.first == "" {
		r.outcome.first = address
	}
}

// endPending waits until all introductions have ended; their context has.
func (r *runningRound) endPending() {
	for r.pending > 0 {
		r.apply(<-r.events)
	}
}
