package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/node/internal/slownet"
	"doorstack.dev/node/telemetry"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

const (
	linkBytesPerSecond = 2_500_000 // 20 Mbit/s
	answerBytes        = 500_000
	idleTimeout        = 600 * time.Millisecond
)

// closeWait is how long the fixture waits, in virtual time, until its links are closed. The closing
// handshake of a link takes less.
const closeWait = 20 * time.Second

// largeAnswerFixture is a daemon, the sender, that returns large answers over a slow link, and its
// peers.
type largeAnswerFixture struct {
	sender  *Hub
	host    *slownet.Host
	peers   []*Hub
	address Address
	close   func()
}

// newLargeAnswerFixture starts a sender whose answers to KindSettingsChanges have size bytes, and
// the given number of peers.
func newLargeAnswerFixture(peers, size int) *largeAnswerFixture {
	network := &slownet.Network{Delay: time.Millisecond}
	f := &largeAnswerFixture{address: Address{Name: "sender", Address: "10.0.0.1:1"}}
	f.host = network.AddHost(f.address.Address, linkBytesPerSecond)
	f.sender = NewHub("sender", []string{oldKey}, telemetry.NewMetrics())
	f.sender.Handle(KindSettingsChanges, func(context.Context, string, cbor.RawMessage) (any, error) { return make([]byte, size), nil })
	f.sender.Handle(KindExplain, func(context.Context, string, cbor.RawMessage) (any, error) { return "here", nil })
	server := &http.Server{Handler: f.sender.Handler()}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(f.host) })
	for i := range peers {
		hub := NewHub(fmt.Sprint("peer", i), []string{oldKey}, telemetry.NewMetrics())
		hub.SetHTTPClient(network.AddHost(fmt.Sprintf("10.0.0.%d:1", i+2), linkBytesPerSecond).Client())
		f.peers = append(f.peers, hub)
	}
	f.close = func() {
		for _, hub := range append(f.peers, f.sender) {
			hub.Close()
		}
		_ = server.Close()
		serving.Wait()
		<-time.After(closeWait)
	}
	return f
}

// TestLargeAnswersOverFullLinkAreReceived checks that twelve peers that request large answers at the
// same time all receive them, although the sender's link takes 2.4 s to carry all twelve, four times
// the idle timeout. It guards against a fixed timeout for the whole answer: calls that timed out lost
// their answers, and the sender still sent the rest of each in vain.
func TestLargeAnswersOverFullLinkAreReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const peers = 12
		f := newLargeAnswerFixture(peers, answerBytes)
		defer f.close()
		var calls sync.WaitGroup
		for _, hub := range f.peers {
			calls.Go(func() {
				var answer []byte
				if err := hub.CallWithIdleTimeout(t.Context(), f.address, KindSettingsChanges, "", &answer, idleTimeout); err != nil {
					t.Errorf("CallWithIdleTimeout: %v", err)
				}
			})
		}
		calls.Wait()
		if sent := f.host.BytesSent(); sent > peers*answerBytes*11/10 {
			t.Errorf("sender sent %d bytes, want at most %d for %d answers of %d bytes", sent, peers*answerBytes*11/10, peers, answerBytes)
		}
		for _, hub := range f.peers {
			if unwanted := testutil.ToFloat64(hub.metrics.PeerUnwantedBytes.WithLabelValues(KindSettingsChanges.String())); unwanted > 0 {
				t.Errorf("received %v bytes of answers after their call had ended, want 0", unwanted)
			}
		}
	})
}

// TestCallWaitsForLargeAnswerInTransit checks that a call receives an answer that takes twice the
// idle timeout to arrive, as long as data keeps arriving.
func TestCallWaitsForLargeAnswerInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeAnswerFixture(1, 6*answerBytes)
		defer f.close()
		began := time.Now()
		var answer []byte
		if err := f.peers[0].CallWithIdleTimeout(t.Context(), f.address, KindSettingsChanges, "", &answer, idleTimeout); err != nil {
			t.Fatalf("CallWithIdleTimeout after %v: %v", time.Since(began), err)
		}
		if took := time.Since(began); took < 2*idleTimeout {
			t.Fatalf("CallWithIdleTimeout took %v, want at least %v for the test to be meaningful", took, 2*idleTimeout)
		}
	})
}

// TestCallEndsAfterIdleTimeout checks that a call to a peer that sends nothing fails after the idle
// timeout.
func TestCallEndsAfterIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeAnswerFixture(1, 1)
		defer f.close()
		f.sender.Handle(KindClaim, func(ctx context.Context, _ string, _ cbor.RawMessage) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		began := time.Now()
		var answer []byte
		if err := f.peers[0].CallWithIdleTimeout(t.Context(), f.address, KindClaim, "", &answer, idleTimeout); err == nil {
			t.Fatal("CallWithIdleTimeout to a peer that sends nothing succeeded, want an error")
		}
		if took := time.Since(began); took > 2*idleTimeout {
			t.Fatalf("CallWithIdleTimeout failed after %v, want at most %v", took, 2*idleTimeout)
		}
	})
}

// TestLinkCarryingLargeAnswerStaysOpen guards against closing a link as silent, and losing the
// large answer that fills it, because heartbeats are not answered in time meanwhile.
func TestLinkCarryingLargeAnswerStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeAnswerFixture(1, 14*answerBytes)
		defer f.close()
		var heartbeats sync.WaitGroup
		heartbeatCtx, stop := context.WithCancel(t.Context())
		heartbeats.Go(func() {
			for heartbeatCtx.Err() == nil {
				ctx, cancel := context.WithTimeout(heartbeatCtx, time.Second)
				var reply string
				_ = f.peers[0].Call(ctx, f.address, KindExplain, "", &reply) // The answer may be late.
				<-ctx.Done()
				cancel()
			}
		})
		var answer []byte
		if err := f.peers[0].CallWithIdleTimeout(t.Context(), f.address, KindSettingsChanges, "", &answer, idleTimeout); err != nil {
			t.Errorf("CallWithIdleTimeout: %v", err)
		}
		stop()
		heartbeats.Wait()
	})
}
