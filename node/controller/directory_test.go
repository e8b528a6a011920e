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

// TestAChangeIsToldAtOnce: a target that leaves was told to peers with the next
// heartbeat; over the hops of 69 daemons that took 4 s.
func TestAChangeIsToldAtOnce(t *testing.T) {
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	told := 0
	c := &Directory{
		Board:   board,
		Record:  &telemetry.Recorder{Board: board, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: telemetry.NewMetrics()},
		Changed: func() { told++ },
	}
	leaving := hostlist.Host{ID: "a", State: hostlist.Leaving, Address: "10.0.0.1:1", Revision: 4}
	news := hostlist.Update{AsOf: 4, Confirmed: true, Hosts: []hostlist.Host{leaving}}
	c.MergeFrom("peer", news)
	if told != 1 {
		t.Fatalf("told %d times of a change", told)
	}
	c.MergeFrom("another", news)
	if told != 1 {
		t.Fatalf("told %d times though nothing changed", told)
	}
}

// silentOnce is a store whose first watch is cut without a word; it notes when it is called.
type silentOnce struct {
	called []time.Time
	enough context.CancelFunc
}

// watchCut is when a watch that is cut without a word is given up.
const watchCut = 2600 * time.Millisecond

func (s *silentOnce) Targets(ctx context.Context, _, _ time.Duration) (hostlist.Update, error) {
	s.called = append(s.called, time.Now())
	if len(s.called) == 1 {
		Sleep(ctx, watchCut)
		return hostlist.Update{}, context.DeadlineExceeded
	}
	s.enough()
	return hostlist.Update{Full: true, AsOf: 1}, nil
}

// TestAWatchThatWasCutIsFollowedAtOnce: the next call came after a pause of 0.1 to 0.3 s,
// and with it what the watch had missed: 3.5 s after the change at a peer, on a busy host.
func TestAWatchThatWasCutIsFollowedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &silentOnce{enough: cancel}
		board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
		c := &Directory{
			Board: board, Source: source,
			Record:  &telemetry.Recorder{Board: board, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: telemetry.NewMetrics()},
			Watches: func() bool { return true },
			Changed: func() {},
		}
		c.Run(ctx)
		synctest.Wait()
		if after := source.called[1].Sub(source.called[0]); after != watchCut {
			t.Errorf("the next call comes %v after the watch began, which was given up after %v", after, watchCut)
		}
	})
}

// newsOnly is a store each of whose answers brings a change; it notes when it is called.
type newsOnly struct {
	called []time.Time
	calls  int
	enough context.CancelFunc
}

func (s *newsOnly) Targets(context.Context, time.Duration, time.Duration) (hostlist.Update, error) {
	s.called = append(s.called, time.Now())
	if len(s.called) == s.calls {
		s.enough()
	}
	revision := hostlist.Position(len(s.called))
	return hostlist.Update{AsOf: revision, Hosts: []hostlist.Host{{ID: "a", State: hostlist.Live, Address: "10.0.0.1:1", Revision: revision}}}, nil
}

// TestNewsThatGoOnAreGathered: a daemon that knows nobody waits a second after its first read,
// in which those that watch are found; where each call brings news the pause grows from 0.15 s
// to 0.4 s, so that ten changes a second cost 2.5 calls. They cost 6.7.
func TestNewsThatGoOnAreGathered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
		ctx, cancel := context.WithCancel(t.Context())
		source := &newsOnly{calls: 5, enough: cancel}
		c := &Directory{
			Board: board, Source: source, Watches: func() bool { return true }, Changed: func() {},
			Record: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
		}
		c.Run(ctx)
		want := []time.Duration{gather + findPeers, 2 * gather, gatherMost, gatherMost}
		for i, pause := range want {
			if got := source.called[i+1].Sub(source.called[i]); got != pause {
				t.Errorf("call %d comes %v after the one before, want %v", i+2, got, pause)
			}
		}
	})
}

// silentStore answers no question that it is asked before it is back, nor later. Questions that
// are not given a time are given up after two seconds.
type silentStore struct {
	back     time.Time
	answered chan time.Time
}

func (s *silentStore) Targets(ctx context.Context, _, patience time.Duration) (hostlist.Update, error) {
	if !time.Now().Before(s.back) {
		select {
		case s.answered <- time.Now():
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

// TestOneOfManyHearsSoonThatTheStoreIsBack: 100 hosts start at one moment behind a silent store. The
// first of them has an answer within 0.2 s of the store's return, whenever that is.
func TestOneOfManyHearsSoonThatTheStoreIsBack(t *testing.T) {
	const hosts, within = 100, 200 * time.Millisecond
	for _, away := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond, 2100 * time.Millisecond, 4500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := &silentStore{back: time.Now().Add(away), answered: make(chan time.Time, 1)}
			for range hosts {
				board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
				c := &Directory{
					Board: board, Source: store,
					Record:  &telemetry.Recorder{Board: board, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: telemetry.NewMetrics()},
					Watches: func() bool { return true },
					Changed: func() {},
				}
				go c.Run(ctx)
			}
			if late := (<-store.answered).Sub(store.back); late > within {
				t.Errorf("away for %v: the first answer comes %v after its return", away, late)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// pagedStore tells a first page of its list and then the whole; it notes when the whole was asked for.
type pagedStore struct {
	calls int
	whole chan time.Time
}

// pagedAt is the position of the paged list.
const pagedAt = 7

func (s *pagedStore) Targets(ctx context.Context, _, _ time.Duration) (hostlist.Update, error) {
	s.calls++
	hosts := []hostlist.Host{{ID: "a", State: hostlist.Live, Address: "10.0.0.1:1", Revision: 3}, {ID: "b", State: hostlist.Live, Address: "10.0.0.2:1", Revision: 5}}
	switch s.calls {
	case 1:
		return hostlist.Update{Partial: true, AsOf: pagedAt, Hosts: hosts[:1]}, nil
	case 2:
		s.whole <- time.Now()
		return hostlist.Update{Full: true, AsOf: pagedAt, Hosts: hosts}, nil
	}
	<-ctx.Done()
	return hostlist.Update{}, ctx.Err()
}

// TestTheRestOfALongListIsLeftToThoseThatWatch: a daemon that watches reads on at once, another one only
// if no peer tells it a list that is as new as the page that it has read.
func TestTheRestOfALongListIsLeftToThoseThatWatch(t *testing.T) {
	for name, c := range map[string]struct {
		watches bool
		told    hostlist.Position // by a peer, half a second later
		reads   bool
		least   time.Duration
		most    time.Duration
	}{
		"a daemon that watches":    {true, 0, true, 0, time.Millisecond},
		"a peer knows as much":     {false, pagedAt, false, 0, 0},
		"a peer knows less":        {false, pagedAt - 1, true, restLeast, restMost + restTick},
		"nobody tells it anything": {false, 0, true, restLeast, restMost + restTick},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
			store := &pagedStore{whole: make(chan time.Time, 1)}
			d := &Directory{
				Board: board, Source: store, Watches: func() bool { return c.watches }, Changed: func() {},
				Record: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
			}
			began := time.Now()
			go d.Run(ctx)
			Sleep(ctx, 500*time.Millisecond)
			if c.told > 0 {
				d.MergeFrom("peer", hostlist.Update{AsOf: c.told, Confirmed: true, Hosts: []hostlist.Host{{ID: "b", State: hostlist.Live, Address: "10.0.0.2:1", Revision: 5}}})
			}
			Sleep(ctx, 2*restMost)
			select {
			case at := <-store.whole:
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
