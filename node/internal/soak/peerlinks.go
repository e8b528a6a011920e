package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The kinds of events on the links between daemons, drawn from a random source of their own. They excuse no
// violation: a link that is only slow must not keep any guarantee from holding.
const (
	SlowPeers Kind = "peers-slow" // all links between daemons have the delay between data centres, or twice that
	LatePeer  Kind = "peer-late"  // what other daemons exchange with one daemon takes linkDelay
)

const (
	// slowPeersTime is how long all links are slow, peerDelay the one-way delay between data centres of the first
	// deployment in docs/HARD-LOAD.md.
	slowPeersTime = 5 * time.Second
	peerDelay     = 4500 * time.Microsecond
	// meanLatePeerInterval is the mean time between two late links.
	meanLatePeerInterval = 3 * time.Second
)

// addPeerLinkEvents adds one time of slow links and some late links to a plan.
func addPeerLinkEvents(plan []Event, seed uint64, duration time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 6))
	if duration > slowPeersTime {
		plan = append(plan, Event{Start: randomDuration(rng, duration-slowPeersTime), Duration: slowPeersTime, Kind: SlowPeers, Selector: rng.IntN(1000)})
	}
	for at := randomDuration(rng, 2*meanLatePeerInterval); at < duration; at += randomDuration(rng, 2*meanLatePeerInterval) {
		e := Event{Start: at, Duration: minFaultDuration + randomDuration(rng, maxFaultDuration-minFaultDuration), Kind: LatePeer, Selector: rng.IntN(1000)}
		if e.Start+e.Duration <= duration {
			plan = append(plan, e)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// slowPeersDown delays all links between daemons for the event's duration.
func (tb *testbed) slowPeersDown(ctx context.Context, e Event) {
	for _, p := range tb.daemons {
		p.peerLink.SetDelay(peerDelay * time.Duration(1+e.Selector%2))
	}
	sleep(ctx, e.Duration)
	for _, p := range tb.daemons {
		p.peerLink.SetDelay(0)
	}
}

// Round is what the daemons counted while each of them got calls to each pool after the last fault.
type Round struct {
	// Steps are the steps toward placements: the counts of each daemon, by pool and action.
	Steps map[string]map[string][]float64
}

const (
	// convergenceTime is how long after the last fault and the recovery two daemons may still place the calls of
	// a pool. A round is repeated within this time, since a busy machine may delay a single request.
	convergenceTime = 10 * time.Second
	// callsPerRound is how many calls each daemon gets to each pool in a round.
	callsPerRound = 3
)

// playRounds plays rounds until in one of them one daemon places the calls of each pool.
func (tb *testbed) playRounds(ctx context.Context) []Round {
	var rounds []Round
	for end := time.Now().Add(convergenceTime); time.Now().Before(end) && ctx.Err() == nil; {
		round, err := tb.playRound(ctx)
		if err != nil {
			sleep(ctx, retryInterval)
			continue
		}
		rounds = append(rounds, round)
		if len(checkCoordinators(&Record{Rounds: rounds})) == 0 {
			break
		}
	}
	return rounds
}

// playRound makes the calls of a round one after another.
func (tb *testbed) playRound(ctx context.Context) (Round, error) {
	round := Round{Steps: map[string]map[string][]float64{}}
	if err := tb.addSteps(ctx, &round, -1); err != nil {
		return round, err
	}
	client := newClient()
	defer client.CloseIdleConnections()
	for range callsPerRound {
		for _, p := range tb.daemons {
			tb.call(ctx, client, p.index, safePath)
			tb.call(ctx, client, p.index, streamPath)
		}
	}
	return round, tb.addSteps(ctx, &round, 1)
}

// addSteps adds the steps that the daemons have counted so far, times sign, to a round.
func (tb *testbed) addSteps(ctx context.Context, round *Round, sign float64) error {
	for _, p := range tb.daemons {
		families, err := p.metrics(ctx)
		if err != nil {
			return err
		}
		for _, m := range families["doorstack_coordination_steps_total"].GetMetric() {
			labels := map[string]string{}
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			pool, action := labels["pool"], labels["action"]
			if round.Steps[pool] == nil {
				round.Steps[pool] = map[string][]float64{}
			}
			if round.Steps[pool][action] == nil {
				round.Steps[pool][action] = make([]float64, len(tb.daemons))
			}
			round.Steps[pool][action][p.index] += sign * m.GetCounter().GetValue()
		}
	}
	return nil
}

// metrics returns the metrics of the process.
func (p *process) metrics(ctx context.Context) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.boot.IP+":"+p.metricsPort+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := readinessClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("metrics of %s: status %d", p.boot.Name, resp.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(resp.Body)
}

// checkCoordinators checks that in some round one daemon placed all calls of each pool: it took its own calls, each
// other daemon asked, and none decided alone or was redirected.
func checkCoordinators(r *Record) []Violation {
	var list []Violation
	for _, pool := range []string{plainService, engineService} {
		converged := slices.ContainsFunc(r.Rounds, func(round Round) bool {
			steps := round.Steps[pool]
			coordinators := 0
			for _, n := range steps["coordinate"] {
				if n > 0 {
					coordinators++
				}
			}
			return coordinators == 1 && slices.Max(append(slices.Concat(steps["alone"], steps["redirect"]), 0)) == 0
		})
		if !converged && len(r.Rounds) > 0 {
			list = append(list, Violation{"COORDINATOR", pool, fmt.Sprintf("no round of %d was placed by one daemon; the last counted %v", len(r.Rounds), r.Rounds[len(r.Rounds)-1].Steps[pool])})
		}
	}
	return list
}
