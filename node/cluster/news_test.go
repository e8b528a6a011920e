package cluster

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/membership"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/telemetry"
)

// TestNewsDoesNotPileUp: while a daemon acted on one peer's news, the others' waited;
// with one exchange for each, the queue grew to 3.5 s in a fleet of nine.
func TestNewsDoesNotPileUp(t *testing.T) {
	c := newCoordinator(t, 1).cluster
	for i := range 20 {
		c.heard <- heartbeatNews{from: "a", revision: int64(i), targets: int64(100 - i)}
	}
	c.heard <- heartbeatNews{from: "b", revision: 7, targets: 200}
	revision, targets := c.newest(heartbeatNews{from: "c", revision: 3, targets: 1})
	if len(c.heard) != 0 || revision.revision != 19 || targets.targets != 200 || targets.from != "b" {
		t.Fatalf("%d left, settings of %+v, targets of %+v", len(c.heard), revision, targets)
	}
	for _, name := range []string{"a", "b", "c"} {
		if !c.compared[name] {
			t.Errorf("%s has told its revision and does not count as compared", name)
		}
	}
}

// servePeer starts a peer whose settings are served by the function given.
func servePeer(t *testing.T, name string, serve func(context.Context) (settings.Changes, error)) membership.Rumor {
	t.Helper()
	hub := peer.NewHub(name, []string{fleetKey}, telemetry.NewMetrics())
	hub.Handle(peer.KindSettings, peer.Serve(func(ctx context.Context, _ string, _ settingsRequest) (settings.Changes, error) { return serve(ctx) }))
	server := httptest.NewServer(hub.Handler())
	t.Cleanup(func() { hub.Close(); server.Close() })
	return membership.Rumor{Name: name, Incarnation: 1, Address: strings.TrimPrefix(server.URL, "http://")}
}

// TestASilentPeerHoldsNoNewsUp: one peer tells of a new revision and does not answer the
// fetch; another has it too. A fetch used to wait for 5 s, and the same peer's next
// heartbeat came first again: two fetches were 10 s.
func TestASilentPeerHoldsNoNewsUp(t *testing.T) {
	c := newCoordinator(t, 1).cluster
	silent := servePeer(t, "silent", func(ctx context.Context) (settings.Changes, error) {
		<-ctx.Done()
		return settings.Changes{}, ctx.Err()
	})
	good := servePeer(t, "good", func(context.Context) (settings.Changes, error) {
		return settings.Changes{Revision: 5, Parts: map[string]settings.Part{"settings": {Revision: 5, Data: []byte(placementDocument)}}}, nil
	})
	c.Board.Members.View(func(table *membership.Table) {
		table.Receive(silent)
		table.Receive(good)
	})
	c.Settings = &controller.Settings{Board: c.Board, Record: c.Record, Parse: settings.ParseParts,
		Watches: func() bool { return false }, Adopted: func(*blackboard.SettingsView) {}}
	c.Directory = &controller.Directory{}
	began := time.Now()
	for c.revision() != 5 {
		c.heard <- heartbeatNews{from: "silent", revision: 5}
		c.heard <- heartbeatNews{from: "good", revision: 5}
		revision, _ := c.newest(<-c.heard)
		c.catchUp(t.Context(), revision)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Fatalf("the revision was in force after %v", took)
	}
}

// TestANewerRevisionOfASlowPeer: where only a peer that failed lately has something new, it
// is asked all the same.
func TestANewerRevisionOfASlowPeer(t *testing.T) {
	c := newCoordinator(t, 1).cluster
	c.slowUntil["slow"] = time.Now().Add(time.Minute)
	c.heard <- heartbeatNews{from: "good", revision: 1}
	c.heard <- heartbeatNews{from: "slow", revision: 5}
	if revision, _ := c.newest(<-c.heard); revision.from != "slow" {
		t.Fatalf("%+v is asked", revision)
	}
}
