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
	linkBytesPerSecond = 2_500_000 // bytes a second, 20 Mbit/s
	answerBytes        = 500_000
	idleTimeout        = 600 * time.Millisecond
)

// closeTimeout is longer than the handshake that closes a link may take, in virtual time.
const closeTimeout = 20 * time.Second

// largeAnswerFixture is a daemon behind a slow link that answers with so many bytes, and peers of it.
type largeAnswerFixture struct {
	sender  *Hub
	host    *slownet.Host
	peers   []*Hub
	address Address
	close   func()
}

func newLargeAnswerFixture(peers, size int) *largeAnswerFixture {
	network := &slownet.Net{Delay: time.Millisecond}
	f := &largeAnswerFixture{address: Address{Name: "sender", Address: "10.0.0.1:1"}}
	f.host = network.Add(f.address.Address, linkBytesPerSecond)
	f.sender = NewHub("sender", []string{oldKey}, telemetry.NewMetrics())
	f.sender.Handle(KindSettingsChanges, func(context.Context, string, cbor.RawMessage) (any, error) { return make([]byte, size), nil })
	f.sender.Handle(KindExplain, func(context.Context, string, cbor.RawMessage) (any, error) { return "here", nil })
	server := &http.Server{Handler: f.sender.Handler()}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(f.host) })
	for i := range peers {
		hub := NewHub(fmt.Sprint("peer", i), []string{oldKey}, telemetry.NewMetrics())
		hub.SetHTTPClient(network.Add(fmt.Sprintf("10.0.0.%d:1", i+2), linkBytesPerSecond).Client())
		f.peers = append(f.peers, hub)
	}
	f.close = func() {
		for _, hub := range append(f.peers, f.sender) {
			hub.Close()
		}
		_ = server.Close()
		serving.Wait()
		<-time.After(closeTimeout)
	}
	return f
}

// TestLargeAnswersOverFullLinkAreReceived: twelve peers ask at once for what one link carries in 2.4 s, four
// times the silence after which a peer is given up. All get it; those given up at a fixed time
// had it sent to their end all the same.
func TestLargeAnswersOverFullLinkAreReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const peers = 12
		f := newLargeAnswerFixture(peers, answerBytes)
		defer f.close()
		var asking sync.WaitGroup
		for _, hub := range f.peers {
			asking.Go(func() {
				var answer []byte
				if err := hub.CallWithIdleTimeout(t.Context(), f.address, KindSettingsChanges, "", &answer, idleTimeout); err != nil {
					t.Error(err)
				}
			})
		}
		asking.Wait()
		if sent := f.host.Sent(); sent > peers*answerBytes*11/10 {
			t.Errorf("%d bytes sent for %d answers", sent, peers)
		}
		for _, hub := range f.peers {
			if unwanted := testutil.ToFloat64(hub.metrics.PeerUnwanted.WithLabelValues(KindSettingsChanges.String())); unwanted > 0 {
				t.Errorf("%v bytes came that nobody waited for", unwanted)
			}
		}
	})
}

// TestCallWaitsForLargeAnswerInTransit: an answer that takes twice the time of a silence, and goes on
// coming, is taken.
func TestCallWaitsForLargeAnswerInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeAnswerFixture(1, 6*answerBytes)
		defer f.close()
		began := time.Now()
		var answer []byte
		if err := f.peers[0].CallWithIdleTimeout(t.Context(), f.address, KindSettingsChanges, "", &answer, idleTimeout); err != nil {
			t.Fatalf("after %v: %v", time.Since(began), err)
		}
		if took := time.Since(began); took < 2*idleTimeout {
			t.Fatalf("it took only %v", took)
		}
	})
}

// TestCallEndsAfterIdleTimeout: one from which nothing comes is given up after the silence.
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
			t.Fatal("a peer that says nothing has answered")
		}
		if took := time.Since(began); took > 2*idleTimeout {
			t.Fatalf("it was left after %v", took)
		}
	})
}

// TestLinkCarryingLargeAnswerStaysOpen: heartbeats that are not answered in time, because a
// large answer fills the link, gave the link up for silent, and the answer with it.
func TestLinkCarryingLargeAnswerStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeAnswerFixture(1, 14*answerBytes)
		defer f.close()
		var beating sync.WaitGroup
		beats, stop := context.WithCancel(t.Context())
		beating.Go(func() {
			for beats.Err() == nil {
				ctx, cancel := context.WithTimeout(beats, time.Second)
				var here string
				_ = f.peers[0].Call(ctx, f.address, KindExplain, "", &here) // Its answer may be late.
				<-ctx.Done()
				cancel()
			}
		})
		var answer []byte
		if err := f.peers[0].CallWithIdleTimeout(t.Context(), f.address, KindSettingsChanges, "", &answer, idleTimeout); err != nil {
			t.Error(err)
		}
		stop()
		beating.Wait()
	})
}
