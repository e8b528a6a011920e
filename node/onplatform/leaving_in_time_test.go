package onplatform

import (
	"context"
	"net/http"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// TestDrainEndsWithinShutdownGrace: by itself, though a target still works on a call; its caller
// gets no answer that looks whole.
func TestDrainEndsWithinShutdownGrace(t *testing.T) {
	const grace = 4 * time.Second // The steps of leaving take 3 s.
	f := newFleet(t, 1, 1)
	d := f.daemons[0]
	d.UpdatePlatformSettings(d.boot.Seeds, repeatLimitOf(d.boot), grace)
	arrived := make(chan struct{}, 1)
	f.targets["t1"].Script(func(w http.ResponseWriter, r *http.Request, _ standin.Call) {
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	answers := make(chan standin.CallerResponse, 1)
	a := f.newRequest(unsafePath)
	a.DeadlineMS = 60_000
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		answers <- a.Do(ctx, f.client)
	}()
	<-arrived
	began := time.Now()
	d.Drain()
	<-d.exited
	if took := time.Since(began); took > grace {
		t.Errorf("it ended after %v, and is killed after %v", took, grace)
	}
	if got := <-answers; got.Status == http.StatusOK || got.Status == http.StatusServiceUnavailable {
		t.Errorf("%+v", got)
	}
}
