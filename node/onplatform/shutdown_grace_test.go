package onplatform

import (
	"context"
	"net/http"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// TestDrainEndsWithinShutdownGrace checks that a draining daemon exits by itself within the shutdown
// grace period, although a target still executes a call. The caller of that call gets neither a
// success nor the status of a call that was not executed.
func TestDrainEndsWithinShutdownGrace(t *testing.T) {
	const grace = 4 * time.Second // The steps of the shutdown take 3 s.
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
		t.Errorf("daemon exited %v after Drain, want %v at most", took, grace)
	}
	if got := <-answers; got.Status == http.StatusOK || got.Status == http.StatusServiceUnavailable {
		t.Errorf("call in progress = %+v, want neither 200 nor 503", got)
	}
}
