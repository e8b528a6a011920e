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

// TestPermitExpiresWhileHostIsSuspended: the monotonic clock stops while a host is suspended. The
// key's witnesses (see Permit) grant it to another daemon once the permit has expired by their own
// clocks, so the suspended host must not send the call after it resumes.
func TestPermitExpiresWhileHostIsSuspended(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	placement := blackboard.Placement{Address: strings.TrimPrefix(server.URL, "http://")}
	request := &Request{IdempotencyKey: "k", ServiceCall: &target.ServiceCall{Method: http.MethodPost, Path: "/", Header: http.Header{}}}
	const atClaim, validity = time.Hour, time.Minute
	for suspended, want := range map[time.Duration]int64{atClaim: 1, atClaim + validity/2: 1, atClaim + validity: 0, atClaim + 2*validity: 0} {
		calls.Store(0)
		d := &Director{Targets: target.NewClient(), SuspendedTime: func() time.Duration { return suspended }}
		permit := &Permit{ExpiresAt: time.Now().Add(validity), SuspendedAtClaim: atClaim}
		_, err := d.sendServiceCall(context.Background(), request, permit, placement)
		if calls.Load() != want {
			t.Errorf("suspended for %v: %d calls sent, want %d", suspended-atClaim, calls.Load(), want)
		}
		if want == 0 && fault.From(err).Kind != fault.NoQuorum {
			t.Errorf("suspended for %v: sendServiceCall() = %v, want kind %v", suspended-atClaim, err, fault.NoQuorum)
		}
	}
}
