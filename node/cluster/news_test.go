package cluster

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/telemetry"
)

// TestFetcherTakesBestReportAndEmptiesQueue: while a daemon acted on one peer's news, the others' waited;
// with one exchange for each, the queue grew to 3.5 s in a fleet of nine.
func TestFetcherTakesBestReportAndEmptiesQueue(t *testing.T) {
	c := newTestPlacer(t, 1).cluster
	for i := range 20 {
		h := heartbeatReport{from: "a", revision: int64(i), targets: hostlist.Position(100 - i)}
		c.settingsFetcher.enqueue(h)
		c.targetsFetcher.enqueue(h)
	}
	last := heartbeatReport{from: "b", revision: 7, targets: 200}
	c.settingsFetcher.enqueue(last)
	c.targetsFetcher.enqueue(last)
	revision, targets := c.settingsFetcher.takeBest(<-c.settingsFetcher.reports), c.targetsFetcher.takeBest(<-c.targetsFetcher.reports)
	if len(c.settingsFetcher.reports)+len(c.targetsFetcher.reports) != 0 || revision.revision != 19 || targets.targets != 200 || targets.from != "b" {
		t.Fatalf("%d left, settings of %+v, targets of %+v", len(c.settingsFetcher.reports), revision, targets)
	}
}

// TestEveryReportingPeerCountsAsCompared: a fresh daemon has compared with every peer whose heartbeat
// waited, also where another's news is taken.
func TestEveryReportingPeerCountsAsCompared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestPlacer(t, 1).cluster
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i, name := range []string{"a", "b", "c"} {
			c.reports <- heartbeatReport{from: name, revision: int64(i), targets: hostlist.Position(i)}
		}
		go c.processReports(ctx)
		synctest.Wait()
		for _, name := range []string{"a", "b", "c"} {
			if !c.compared[name] {
				t.Errorf("%s has told its revision and does not count as compared", name)
			}
		}
	})
}

// startSettingsPeer starts a peer whose settings are served by the function given.
func startSettingsPeer(t *testing.T, name string, serve func(context.Context) (settings.Changes, error)) membership.Rumor {
	t.Helper()
	hub := peer.NewHub(name, []string{testSecret}, telemetry.NewMetrics())
	hub.Handle(peer.KindSettingsChanges, peer.TypedHandler(func(ctx context.Context, _ string, _ settingsRequest) (settingsAnswer, error) {
		changes, err := serve(ctx)
		if err != nil {
			return settingsAnswer{}, err
		}
		packed, err := compressChanges(changes)
		return settingsAnswer{packed}, err
	}))
	server := httptest.NewServer(hub.Handler())
	t.Cleanup(func() { hub.Close(); server.Close() })
	return membership.Rumor{Name: name, Incarnation: 1, Address: strings.TrimPrefix(server.URL, "http://")}
}

// TestUnresponsivePeerDoesNotDelaySettings: one peer tells of a new revision and does not answer the
// fetch; another has it too. A fetch used to wait for 5 s, and the same peer's next
// heartbeat came first again: two fetches were 10 s.
func TestUnresponsivePeerDoesNotDelaySettings(t *testing.T) {
	c := newTestPlacer(t, 1).cluster
	silent := startSettingsPeer(t, "silent", func(ctx context.Context) (settings.Changes, error) {
		<-ctx.Done()
		return settings.Changes{}, ctx.Err()
	})
	good := startSettingsPeer(t, "good", func(context.Context) (settings.Changes, error) {
		return settings.Changes{Revision: 5, Parts: map[string]settings.Part{"settings": {Revision: 5, Data: []byte(testSettings)}}}, nil
	})
	c.Board.Members.View(func(table *membership.Table) {
		table.Receive(silent)
		table.Receive(good)
	})
	c.Settings = &controller.Settings{Board: c.Board, Recorder: c.Recorder, Parse: settings.ParseParts,
		ShouldWatch: func() bool { return false }, OnAdopt: func(*blackboard.SettingsView) {}}
	c.Directory = &controller.Directory{}
	began := time.Now()
	for c.revision() != 5 {
		c.settingsFetcher.enqueue(heartbeatReport{from: "silent", revision: 5})
		c.settingsFetcher.enqueue(heartbeatReport{from: "good", revision: 5})
		c.updateSettings(t.Context(), c.settingsFetcher.takeBest(<-c.settingsFetcher.reports))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Fatalf("the revision was in force after %v", took)
	}
}

// TestSlowPeerIsChosenIfOnlyItHasAnUpdate: where only a peer that failed lately has something new, it
// is asked all the same.
func TestSlowPeerIsChosenIfOnlyItHasAnUpdate(t *testing.T) {
	c := newTestPlacer(t, 1).cluster
	f := c.settingsFetcher
	f.slowUntil["slow"] = time.Now().Add(time.Minute)
	f.reports <- heartbeatReport{from: "good", revision: 1}
	f.reports <- heartbeatReport{from: "slow", revision: 5}
	if revision := f.takeBest(<-f.reports); revision.from != "slow" {
		t.Fatalf("%+v is asked", revision)
	}
}
