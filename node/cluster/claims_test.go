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

// TestKeyCreationTimeSurvivesEncoding checks that a witness decodes the exact creation time
// that the claiming daemon encoded. The age of a key decides whether a witness may grant it:
// when the encoding dropped fractions of a second, a key created soon after the witness
// started seemed too old for it, and the claim was refused.
func TestKeyCreationTimeSurvivesEncoding(t *testing.T) {
	started := time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)
	created := started.Add(claim.MaxClockSkew + 900*time.Millisecond)
	witness := claim.NewWitness(started)
	hub := peer.NewHub("witness", []string{"a-secret"}, telemetry.NewMetrics())
	hub.Handle(peer.KindClaim, peer.TypedHandler(func(_ context.Context, _ string, in claimRequest) (claimReply, error) {
		if at := in.coreRequest().Created.At; !at.Equal(created) {
			t.Errorf("creation time after decoding = %v, want %v", at, created)
		}
		return claimReply{Answer: witness.Claim(in.coreRequest(), created).Answer}, nil
	}))
	server := httptest.NewServer(hub.Handler())
	defer server.Close()
	defer hub.Close()
	claimer := peer.NewHub("claimer", []string{"a-secret"}, telemetry.NewMetrics())
	defer claimer.Close()

	var reply claimReply
	to := peer.Address{Name: "witness", Address: strings.TrimPrefix(server.URL, "http://")}
	request := claimRequest{Key: "k", Attempt: "a", Holder: "claimer", CreationKnown: true, Created: created}
	if err := claimer.Call(context.Background(), to, peer.KindClaim, request, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Answer != claim.Granted {
		t.Errorf("claim over the link = %v, want it granted", reply.Answer)
	}
}
