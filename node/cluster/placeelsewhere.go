package cluster

import (
	"context"
	"slices"
	"time"

	"doorstack.dev/core/coordination"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
)

// Calls that this daemon placed alone or through another coordinator than the first of its ranking are reported to
// the first one as soon as that can be reached, so that two daemons that place calls know each other's.

// elsewhereCall is a call that the first coordinator of its pool does not know.
type elsewhereCall struct {
	pool    string
	expires time.Time
}

// callsReport is a list of calls that were placed elsewhere.
type callsReport struct {
	Pool  string                 `cbor:"1,keyasint"`
	Calls []blackboard.CallState `cbor:"2,keyasint"`
}

// recordPlacedBy records who places a call: by is this daemon's own name if it decides itself.
func (p *Placer) recordPlacedBy(t *blackboard.Ticket, by string) {
	ranking := p.rankingOf(t.Pool.Name)
	elsewhere := len(ranking) > 0 && ranking[0].Name != by
	p.mu.Lock()
	if elsewhere {
		p.elsewhere[t.Attempt] = elsewhereCall{t.Pool.Name, t.Deadline.Add(callExpiryMargin)}
	} else {
		delete(p.elsewhere, t.Attempt)
	}
	p.mu.Unlock()
	if elsewhere {
		p.links.wakeUp()
	}
}

// reportElsewhere reports the calls that were placed elsewhere to the first coordinators that can be reached. It
// returns whether calls are left.
func (p *Placer) reportElsewhere(ctx context.Context) bool {
	now := time.Now()
	pools := map[string][]string{}
	p.mu.Lock()
	for attempt, call := range p.elsewhere {
		if now.After(call.expires) {
			delete(p.elsewhere, attempt)
			continue
		}
		pools[call.pool] = append(pools[call.pool], attempt)
	}
	p.mu.Unlock()
	for pool, attempts := range pools {
		ranking := p.rankingOf(pool)
		if len(ranking) == 0 || ranking[0].Name != p.cluster.Board.Self.Name && p.links.state(ranking[0].Name) != coordination.Ready {
			continue
		}
		p.reportCalls(ctx, pool, ranking[0].Name, attempts)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.elsewhere) > 0
}

// reportCalls reports those calls that are running to a coordinator. The others may still wait for their placement.
func (p *Placer) reportCalls(ctx context.Context, pool, to string, attempts []string) {
	calls := p.takeElsewhere(pool, to, attempts)
	if len(calls) == 0 || to == p.cluster.Board.Self.Name {
		return
	}
	if err := p.cluster.Hub.Notify(ctx, p.links.address(to), peer.KindCalls, callsReport{Pool: pool, Calls: calls}); err != nil {
		p.cluster.Recorder.Log.Debug("calls placed elsewhere could not be reported", "peer", to, "pool", pool, "error", err.Error())
		return
	}
	p.cluster.Recorder.Log.Info("calls placed elsewhere are reported", "peer", to, "pool", pool, "calls", len(calls))
	// The end of a call may have been reported before the call.
	for _, c := range calls {
		p.mu.Lock()
		ended := len(p.countedAt[c.Attempt]) == 0
		p.mu.Unlock()
		if ended {
			p.notifyEnded(to, callProgress{Attempt: c.Attempt, Result: blackboard.CallCancelled})
		}
	}
}

// takeElsewhere removes the running calls among the given ones from those placed elsewhere and records that the
// coordinator counts them. The calls are listed under the lock, for which ReportFinished waits: a call that ends
// meanwhile is either not listed, or its end is reported.
func (p *Placer) takeElsewhere(pool, to string, attempts []string) []blackboard.CallState {
	wanted := make(map[string]bool, len(attempts))
	for _, attempt := range attempts {
		wanted[attempt] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := slices.DeleteFunc(p.cluster.Board.Targets.Calls(pool, time.Now()), func(c blackboard.CallState) bool { return !wanted[c.Attempt] })
	for _, c := range calls {
		delete(p.elsewhere, c.Attempt)
		p.countAt(c.Attempt, to)
	}
	return calls
}

// countAt records that a coordinator counts a call of this daemon; the lock is held.
func (p *Placer) countAt(attempt, coordinator string) {
	if at := p.countedAt[attempt]; coordinator != p.cluster.Board.Self.Name && !slices.Contains(at, coordinator) {
		p.countedAt[attempt] = append(at, coordinator)
	}
}

// serveCalls handles a report of calls that were placed without this daemon.
func (p *Placer) serveCalls(_ context.Context, from string, in callsReport) (empty, error) {
	p.adoptCalls(from, in.Pool, in.Calls, time.Now())
	return empty{}, nil
}
