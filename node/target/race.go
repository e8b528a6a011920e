package target

import (
	"context"
	"sync"
	"time"

	"doorstack.dev/core/reach"
	"github.com/go-faster/errors"
)

// race opens one connection to a target. It tries the ways in order, the next one as soon as one has failed or is
// slower than usual, and takes the first that connects.
type race struct {
	connector *Connector
	address   string
	results   chan raceResult

	mu sync.Mutex
	// over is true once the race has its result; later connections are not needed.
	over bool
	// directTried and directConnected are the state of the direct connection.
	directTried, directConnected bool
}

// raceResult is the end of one attempt.
type raceResult struct {
	relay string
	conn  *persistConn
	err   error
}

// open opens a connection to a target. The error is ErrNoPath if the failure says nothing about the target.
func (c *Connector) open(ctx context.Context, address string) (*persistConn, error) {
	ways := c.ways(address)
	lost := c.Lost(address)
	r := &race{connector: c, address: address, results: make(chan raceResult, len(ways))}
	defer r.finish()
	relaysCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var failures []raceResult
	timer := time.NewTimer(ways[0].AttemptDelay)
	defer timer.Stop()
	r.start(ctx, relaysCtx, ways[0])
	for next := 1; ; {
		begin := 1 // how many further ways to try now
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
		case result := <-r.results:
			if result.err == nil {
				c.avoidWrongRelays(failures)
				return result.conn, nil
			}
			failures = append(failures, result)
			if len(failures) == len(ways) || targetFailed(failures) {
				return nil, raceError(failures, lost)
			}
			if result.relay == "" {
				begin = minConfirmations
			}
		}
		for ; begin > 0 && next < len(ways); begin-- {
			r.start(ctx, relaysCtx, ways[next])
			timer.Reset(ways[next].AttemptDelay)
			next++
		}
	}
}

// minConfirmations is the number of relays that must fail to reach a target before it counts as unreachable. The
// first two relays are in different data centres, as the path between two data centres may fail.
const minConfirmations = 2

// targetFailed reports whether the failures show that the target is at fault, so that further relays need not be asked.
func targetFailed(failures []raceResult) bool {
	direct, confirmations := false, 0
	for _, f := range failures {
		switch {
		case f.relay == "":
			direct = true
		case errors.Is(f.err, ErrUnreachableFromRelay):
			confirmations++
		}
	}
	return direct && confirmations >= minConfirmations
}

// avoidWrongRelays records the relays that called a target unreachable which another way then reached: they may have
// lost their own path.
func (c *Connector) avoidWrongRelays(failures []raceResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range failures {
		if f.relay != "" && errors.Is(f.err, ErrUnreachableFromRelay) {
			c.paths.RelayFailed(f.relay, time.Now())
		}
	}
}

// raceError returns the error of a race in which all ways failed. If the path is lost and no relay has tried the
// target, nothing is known of the target.
func raceError(failures []raceResult, lost bool) error {
	var direct, confirmed error
	for _, f := range failures {
		switch {
		case f.relay == "":
			direct = f.err
		case errors.Is(f.err, ErrUnreachableFromRelay):
			confirmed = f.err
		}
	}
	if lost && confirmed == nil {
		return errors.Wrap(ErrNoPath, direct.Error())
	}
	return direct
}

// start begins an attempt. A direct one is not cancelled with the race, since its end tells whether the path works.
func (r *race) start(ctx, relaysCtx context.Context, way reach.Way) {
	if way.Relay != "" {
		go r.connectThrough(relaysCtx, way.Relay)
		return
	}
	r.mu.Lock()
	r.directTried = true
	r.mu.Unlock()
	go r.connectDirect(context.WithoutCancel(ctx))
}

func (r *race) connectDirect(ctx context.Context) {
	c := r.connector
	began := time.Now()
	conn, err := c.Dial(ctx, r.address)
	r.mu.Lock()
	r.directConnected = err == nil
	r.mu.Unlock()
	c.recordDirect(r.address, began, err)
	if err != nil {
		r.results <- raceResult{err: err}
		return
	}
	pc := newPersistConn(r.address, "", conn)
	if !r.deliver(raceResult{conn: pc}) {
		c.spare(pc)
	}
}

func (r *race) connectThrough(ctx context.Context, relay string) {
	c := r.connector
	began := time.Now()
	conn, err := c.Relays.Open(ctx, relay, r.address)
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.update(relay, false, func(p *reach.Paths, now time.Time) {
				if !errors.Is(err, ErrUnreachableFromRelay) {
					p.RelayFailed(relay, now)
				}
			})
		}
		r.results <- raceResult{relay: relay, err: err}
		return
	}
	r.mu.Lock()
	lost := r.directTried && !r.directConnected
	newlyLost := lost && !c.Lost(r.address)
	c.update(relay, true, func(p *reach.Paths, now time.Time) {
		p.RelayConnected(r.address, relay, lost, now.Sub(began))
	})
	r.mu.Unlock()
	if newlyLost {
		c.verifyReference(r.address)
	}
	pc := newPersistConn(r.address, relay, conn)
	if !r.deliver(raceResult{relay: relay, conn: pc}) {
		pc.close()
	}
}

// deliver hands a connection to the race, unless it is over.
func (r *race) deliver(result raceResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return false
	}
	r.results <- result
	return true
}

// finish ends the race. Connections that were delivered and not taken are no longer needed.
func (r *race) finish() {
	r.mu.Lock()
	r.over = true
	r.mu.Unlock()
	for {
		select {
		case result := <-r.results:
			switch {
			case result.conn == nil:
			case result.relay == "":
				r.connector.spare(result.conn)
			default:
				result.conn.close()
			}
		default:
			return
		}
	}
}
