package cluster

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/membership"
	"doorstack.dev/core/share"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/internal/slownet"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/telemetry"
)

// TestSmallLimitIsUsableAfterDaemonStartsLate guards against an account whose small limit is refused until all leases that a
// daemon may hold have expired, although that daemon has started meanwhile and holds none.
func TestSmallLimitIsUsableAfterDaemonStartsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := slownet.Network{Delay: time.Millisecond}
		owner, _ := newLeasingDaemon(&network, "a")
		late, lateHost := newLeasingDaemon(&network, "b")
		for _, pair := range [][2]*Cluster{{owner, late}, {late, owner}} {
			other := pair[1].Board.Self
			pair[0].Board.Members.WithLock(func(t *membership.Table) {
				t.Receive(membership.Rumor{Name: other.Name, Incarnation: 1, State: membership.Alive, Address: other.PeerAddress, DataCentre: "dc", Region: "r"})
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		server := &http.Server{Handler: late.Hub.Handler()}
		asked := time.Now()
		owner.collectHoldings(ctx)
		go owner.runMissingHoldings(ctx)
		granted := func() bool {
			living, listed := owner.Board.Members.AliveNames()
			r := share.Renewal{Holder: "a", Demand: 1}
			return owner.Board.Shares.Renew("/account", r, len(living), listed, time.Now()).Fraction > 0
		}
		if pass(2 * time.Second); granted() {
			t.Error("a lease is granted while the other daemon may hold the whole limit")
		}
		go func() { _ = server.Serve(lateHost) }()
		for !granted() && time.Since(asked) < 2*share.LeaseTTL {
			pass(10 * time.Millisecond)
		}
		if took := time.Since(asked); took > share.LeaseTTL/2 {
			t.Errorf("the limit was usable %v after the question, want soon after the other daemon has started", took)
		}
		cancel()
		owner.Hub.Close()
		late.Hub.Close()
		_ = server.Close()
		pass(20 * time.Second)
	})
}

// newLeasingDaemon returns a daemon that leases limits, and its host.
func newLeasingDaemon(network *slownet.Network, name string) (*Cluster, *slownet.Host) {
	address := fmt.Sprintf("10.0.1.%d:8229", name[0])
	host := network.AddHost(address, 1e9)
	metrics := telemetry.NewMetrics()
	board := blackboard.New(blackboard.Identity{Name: name, Incarnation: 1, DataCentre: "dc", Region: "r", PeerAddress: address}, blackboard.DefaultLimits())
	board.Members.OpenFleet()
	hub := peer.NewHub(name, []string{testSecret}, metrics)
	hub.SetHTTPClient(host.Client())
	record := &telemetry.Recorder{Board: board, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics}
	return New(board, hub, record, nil, nil), host
}
