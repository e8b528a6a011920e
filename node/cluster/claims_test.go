package cluster

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/telemetry"
)

// TestKeyCreationTimeSurvivesEncoding: the age of a key decides whether a witness may grant it, so a
// witness that hears of the key over a link must read the same birth as the daemon that asks.
func TestKeyCreationTimeSurvivesEncoding(t *testing.T) {
	started := time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)
	born := started.Add(claim.MaxClockSkew + 900*time.Millisecond)
	witness := claim.NewWitness(started)
	hub := peer.NewHub("witness", []string{"a-secret"}, telemetry.NewMetrics())
	hub.Handle(peer.KindClaim, peer.TypedHandler(func(_ context.Context, _ string, in claimRequest) (claimReply, error) {
		if at := in.coreRequest().Created.At; !at.Equal(born) {
			t.Errorf("a key born at %v was heard of as born at %v", born, at)
		}
		return claimReply{Answer: witness.Claim(in.coreRequest(), born).Answer}, nil
	}))
	server := httptest.NewServer(hub.Handler())
	defer server.Close()
	defer hub.Close()
	asker := peer.NewHub("asker", []string{"a-secret"}, telemetry.NewMetrics())
	defer asker.Close()

	var reply claimReply
	to := peer.Address{Name: "witness", Address: strings.TrimPrefix(server.URL, "http://")}
	request := claimRequest{Key: "k", Attempt: "a", Holder: "asker", CreationKnown: true, Created: born}
	if err := asker.Call(context.Background(), to, peer.KindClaim, request, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Answer != claim.Granted {
		t.Errorf("the witness answered %v", reply.Answer)
	}
}
