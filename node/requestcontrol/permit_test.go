package requestcontrol

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
)

// TestPermitExpiresWhileHostIsSuspended: the witnesses of a claim give its key to another daemon when
// the permit has ended by their clocks. A host that slept meanwhile has a clock that stood still,
// and must not send the call as well.
func TestPermitExpiresWhileHostIsSuspended(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	placement := blackboard.Placement{Address: strings.TrimPrefix(server.URL, "http://")}
	request := &Request{IdempotencyKey: "k", ServiceCall: &target.ServiceCall{Method: http.MethodPost, Path: "/", Header: http.Header{}}}
	const sleptBefore, left = time.Hour, time.Minute
	for slept, want := range map[time.Duration]int64{sleptBefore: 1, sleptBefore + left/2: 1, sleptBefore + left: 0, sleptBefore + 2*left: 0} {
		calls.Store(0)
		d := &Director{Targets: target.NewClient(), SuspendedTime: func() time.Duration { return slept }}
		permit := &Permit{ExpiresAt: time.Now().Add(left), SuspendedAtClaim: sleptBefore}
		_, err := d.sendServiceCall(context.Background(), request, permit, placement)
		if calls.Load() != want {
			t.Errorf("%v asleep: %d calls, want %d", slept-sleptBefore, calls.Load(), want)
		}
		if want == 0 && fault.From(err).Kind != fault.NoQuorum {
			t.Errorf("%v asleep: %v", slept-sleptBefore, err)
		}
	}
}
