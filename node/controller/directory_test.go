package controller

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// TestMergedChangeCallsOnChangeOnce: a target that leaves was told to peers with the next
// heartbeat; over the hops of 69 daemons that took 4 s.
func TestMergedChangeCallsOnChangeOnce(t *testing.T) {
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	told := 0
	c := &Directory{
		Board:    board,
		Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: telemetry.NewMetrics()},
		OnChange: func() { told++ },
	}
	leaving := hostlist.Host{ID: "a", State: hostlist.Leaving, Address: "10.0.0.1:1", Revision: 4}
	news := hostlist.Update{AsOf: 4, Confirmed: true, Hosts: []hostlist.Host{leaving}}
	c.MergeFromPeer("peer", news)
	if told != 1 {
		t.Fatalf("told %d times of a change", told)
	}
	c.MergeFromPeer("another", news)
	if told != 1 {
		t.Fatalf("told %d times though nothing changed", told)
	}
}

// cutWatchStore is a store whose first watch is cut without a word; it notes when it is called.
type cutWatchStore struct {
	callTimes []time.Time
	stop      context.CancelFunc
}

// watchCutAfter is when a watch that is cut without a word is given up.
const watchCutAfter = 2600 * time.Millisecond

func (s *cutWatchStore) Targets(ctx context.Context, _, _ time.Duration) (hostlist.Update, error) {
	s.callTimes = append(s.callTimes, time.Now())
	if len(s.callTimes) == 1 {
		Sleep(ctx, watchCutAfter)
		return hostlist.Update{}, context.DeadlineExceeded
	}
	s.stop()
	return hostlist.Update{Full: true, AsOf: 1}, nil
}

// TestCutWatchIsRetriedAtOnce: the next call came after a pause of 0.1 to 0.3 s,
// and with it what the watch had missed: 3.5 s after the change at a peer, on a busy host.
func TestCutWatchIsRetriedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &cutWatchStore{stop: cancel}
		board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
		c := &Directory{
			Board: board, Source: source,
			Recorder:    &telemetry.Recorder{Board: board, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: telemetry.NewMetrics()},
			ShouldWatch: func() bool { return true },
			OnChange:    func() {},
		}
		c.Run(ctx)
		synctest.Wait()
		if after := source.callTimes[1].Sub(source.callTimes[0]); after != watchCutAfter {
			t.Errorf("the next call comes %v after the watch began, which was given up after %v", after, watchCutAfter)
		}
	})
}

// changingStore is a store each of whose answers brings a change; it notes when it is called.
type changingStore struct {
	callTimes []time.Time
	maxCalls  int
	stop      context.CancelFunc
}

func (s *changingStore) Targets(context.Context, time.Duration, time.Duration) (hostlist.Update, error) {
	s.callTimes = append(s.callTimes, time.Now())
	if len(s.callTimes) == s.maxCalls {
		s.stop()
	}
	revision := hostlist.Position(len(s.callTimes))
	return hostlist.Update{AsOf: revision, Hosts: []hostlist.Host{{ID: "a", State: hostlist.Live, Address: "10.0.0.1:1", Revision: revision}}}, nil
}

// TestFrequentChangesAreCoalesced: a daemon that knows nobody waits a second after its first read,
// in which those that watch are found; where each call brings news the pause grows from 0.15 s
// to 0.4 s, so that ten changes a second cost 2.5 calls. They cost 6.7.
func TestFrequentChangesAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
		ctx, cancel := context.WithCancel(t.Context())
		source := &changingStore{maxCalls: 5, stop: cancel}
		c := &Directory{
			Board: board, Source: source, ShouldWatch: func() bool { return true }, OnChange: func() {},
			Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
		}
		c.Run(ctx)
		want := []time.Duration{coalesceDelay + peerDiscoveryDelay, 2 * coalesceDelay, maxCoalesceDelay, maxCoalesceDelay}
		for i, pause := range want {
			if got := source.callTimes[i+1].Sub(source.callTimes[i]); got != pause {
				t.Errorf("call %d comes %v after the one before, want %v", i+2, got, pause)
			}
		}
	})
}

// silentStore answers no question that it is asked before it is back, nor later. Questions that
// are not given a time are given up after two seconds.
type silentStore struct {
	backAt     time.Time
	answeredAt chan time.Time
}

func (s *silentStore) Targets(ctx context.Context, _, patience time.Duration) (hostlist.Update, error) {
	if !time.Now().Before(s.backAt) {
		select {
		case s.answeredAt <- time.Now():
		default:
		}
		<-ctx.Done()
		return hostlist.Update{}, ctx.Err()
	}
	if patience == 0 {
		patience = 2 * time.Second
	}
	Sleep(ctx, patience)
	return hostlist.Update{}, context.DeadlineExceeded
}

// TestOneOfManyDaemonsSoonNoticesStoreReturn: 100 hosts start at one moment behind a silent store. The
// first of them has an answer within 0.2 s of the store's return, whenever that is.
func TestOneOfManyDaemonsSoonNoticesStoreReturn(t *testing.T) {
	const hosts, within = 100, 200 * time.Millisecond
	for _, away := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond, 2100 * time.Millisecond, 4500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := &silentStore{backAt: time.Now().Add(away), answeredAt: make(chan time.Time, 1)}
			for range hosts {
				board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
				c := &Directory{
					Board: board, Source: store,
					Recorder:    &telemetry.Recorder{Board: board, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: telemetry.NewMetrics()},
					ShouldWatch: func() bool { return true },
					OnChange:    func() {},
				}
				go c.Run(ctx)
			}
			if late := (<-store.answeredAt).Sub(store.backAt); late > within {
				t.Errorf("away for %v: the first answer comes %v after its return", away, late)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// pagedStore tells a first page of its list and then the whole; it notes when the whole was asked for.
type pagedStore struct {
	calls      int
	fullReadAt chan time.Time
}

// pagedPosition is the position of the paged list.
const pagedPosition = 7

func (s *pagedStore) Targets(ctx context.Context, _, _ time.Duration) (hostlist.Update, error) {
	s.calls++
	hosts := []hostlist.Host{{ID: "a", State: hostlist.Live, Address: "10.0.0.1:1", Revision: 3}, {ID: "b", State: hostlist.Live, Address: "10.0.0.2:1", Revision: 5}}
	switch s.calls {
	case 1:
		return hostlist.Update{Partial: true, AsOf: pagedPosition, Hosts: hosts[:1]}, nil
	case 2:
		s.fullReadAt <- time.Now()
		return hostlist.Update{Full: true, AsOf: pagedPosition, Hosts: hosts}, nil
	}
	<-ctx.Done()
	return hostlist.Update{}, ctx.Err()
}

// TestNonWatchingDaemonDelaysFullRead: a daemon that watches reads on at once, another one only
// if no peer tells it a list that is as new as the page that it has read.
func TestNonWatchingDaemonDelaysFullRead(t *testing.T) {
	for name, c := range map[string]struct {
		watches bool
		told    hostlist.Position // by a peer, half a second later
		reads   bool
		least   time.Duration
		most    time.Duration
	}{
		"a daemon that watches":    {true, 0, true, 0, time.Millisecond},
		"a peer knows as much":     {false, pagedPosition, false, 0, 0},
		"a peer knows less":        {false, pagedPosition - 1, true, minFullReadDelay, maxFullReadDelay + incompleteCheckInterval},
		"nobody tells it anything": {false, 0, true, minFullReadDelay, maxFullReadDelay + incompleteCheckInterval},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
			store := &pagedStore{fullReadAt: make(chan time.Time, 1)}
			d := &Directory{
				Board: board, Source: store, ShouldWatch: func() bool { return c.watches }, OnChange: func() {},
				Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
			}
			began := time.Now()
			go d.Run(ctx)
			Sleep(ctx, 500*time.Millisecond)
			if c.told > 0 {
				d.MergeFromPeer("peer", hostlist.Update{AsOf: c.told, Confirmed: true, Hosts: []hostlist.Host{{ID: "b", State: hostlist.Live, Address: "10.0.0.2:1", Revision: 5}}})
			}
			Sleep(ctx, 2*maxFullReadDelay)
			select {
			case at := <-store.fullReadAt:
				if took := at.Sub(began); !c.reads || took < c.least || took > c.most {
					t.Errorf("%s: it reads on after %v", name, took)
				}
			default:
				if c.reads {
					t.Errorf("%s: it does not read on", name)
				}
			}
			if board.Directory.Incomplete() {
				t.Errorf("%s: the list stays incomplete", name)
			}
			cancel()
			synctest.Wait()
		})
	}
}
