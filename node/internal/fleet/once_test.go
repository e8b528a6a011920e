package fleet

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"doorstack.dev/node/internal/standin"
)

// confirm calls the service with an idempotency key.
func confirm(t *testing.T, d *Daemon, key string) reply {
	t.Helper()
	return doCall(t, d, call{path: "/v1/services/confirm/slots/17", apiKey: deskKey, idempotencyKey: key, body: []byte(`{"slot":17}`)})
}

// confirmWithRetry is like confirm, but repeats the call while it is refused with status 429,
// as callers do.
func confirmWithRetry(t *testing.T, d *Daemon, key string) reply {
	t.Helper()
	var r reply
	eventually(t, "the answer is not a refusal with status 429", func() bool {
		r = confirm(t, d, key)
		return r.status != http.StatusTooManyRequests
	})
	return r
}

// TestDuplicatesAtAllDaemonsRunOnce checks that duplicates sent to all daemons run once and all
// get the same answer. It runs in the state after a daemon has joined that does not report its leases: for 8 s no daemon's
// share of an account's limit is raised, so that of the 100 calls that the account may run at
// the same time, each daemon may run one.
func TestDuplicatesAtAllDaemonsRunOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(5, 1))
	awaitWitnessAge(t, f)
	for _, d := range f.Daemons {
		d.Board.Shares.LeasesUnreported("joined", time.Now())
	}
	key := newKey()
	replies := make([]reply, 20)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i] = confirmWithRetry(t, f.Daemons[i%5], key) })
	}
	wg.Wait()
	checkSingleExecution(t, f, key, replies...)
	if f.Services[0].Executions(key) != 1 {
		t.Fatalf("the service executed the call %d times, want once; first reply: %s", f.Services[0].Executions(key), describe(replies[0]))
	}
	for _, r := range replies {
		if r.status != http.StatusOK || r.body != replies[0].body {
			t.Errorf("duplicate: got %s, want 200 and the same body as %s", describe(r), describe(replies[0]))
		}
	}
	late := confirm(t, f.Daemons[3], key)
	if late.status != http.StatusOK {
		t.Errorf("late duplicate: got %s, want 200", describe(late))
	}
}

// TestCallWithUnknownOutcomeIsNotRunAgain checks retries of a call that the service executed,
// closing the connection before or within its answer. Whichever daemon gets a retry must not
// run the call again and must answer that the outcome is unknown.
func TestCallWithUnknownOutcomeIsNotRunAgain(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]standin.ServiceFaults{
		"before its answer": {AbortAfterRun: true},
		"in its answer":     {AbortMidAnswer: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, claraOptions(3, 1))
			awaitWitnessAge(t, f)
			f.Services[0].SetFaults(faults)
			key := newKey()
			first := confirm(t, f.Daemons[0], key)
			f.Services[0].SetFaults(standin.ServiceFaults{})
			replies := []reply{first, confirm(t, f.Daemons[0], key), confirm(t, f.Daemons[1], key), confirm(t, f.Daemons[2], key)}
			checkSingleExecution(t, f, key, replies...)
			for _, r := range replies {
				if r.err == nil || r.err.Execution != "unknown" {
					t.Errorf("call or retry: got %s, want execution unknown", describe(r))
				}
			}
		})
	}
}

// TestRefusedCallFreesIdempotencyKey checks that a call can be sent again with its key after
// the service has refused it without running it.
func TestRefusedCallFreesIdempotencyKey(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(3, 1))
	awaitWitnessAge(t, f)
	f.Services[0].SetFaults(standin.ServiceFaults{Refuse: true})
	key := newKey()
	first := confirm(t, f.Daemons[0], key)
	if first.err == nil || first.err.Execution != "not_run" {
		t.Fatalf("call refused by the service: got %s, want execution not_run", describe(first))
	}
	checkSingleExecution(t, f, key, first)
	f.Services[0].SetFaults(standin.ServiceFaults{})
	eventually(t, "a call with the same key succeeds", func() bool { return confirm(t, f.Daemons[1], key).status == http.StatusOK })
	checkSingleExecution(t, f, key)
}

// TestCallWithExpiredPermitIsClaimedAgain guards against a call being refused because its permit expired before it was sent, on a
// host that was suspended or short of processor time, though the caller has time left.
func TestCallWithExpiredPermitIsClaimedAgain(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(3, 1))
	var reads atomic.Int64
	var armed atomic.Bool
	d, err := f.Join(f.PlatformServer.Address, func(joining *Daemon) {
		joining.SetSuspendedTime(func() time.Duration { // The host is suspended for an hour after its first claim.
			if !armed.Load() || reads.Add(1) == 1 {
				return 0
			}
			return time.Hour
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitReady(); err != nil {
		t.Fatal(err)
	}
	awaitWitnessAge(t, f)
	armed.Store(true)
	key := newKey()
	got := confirm(t, d, key)
	checkSingleExecution(t, f, key, got)
	if got.status != http.StatusOK || reads.Load() != 4 {
		t.Errorf("got %s after %d looks at the suspended time, want status 200 after 4", describe(got), reads.Load())
	}
}

// TestDuplicateOfStoppedDaemonsCallIsUnknown checks that another daemon answers a duplicate
// with an unknown outcome, and does not run it, after the daemon that sent the call stopped.
func TestDuplicateOfStoppedDaemonsCallIsUnknown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(3, 1))
	awaitWitnessAge(t, f)
	f.Services[0].SetFaults(standin.ServiceFaults{AbortAfterRun: true})
	key := newKey()
	first := confirm(t, f.Daemons[0], key)
	f.Daemons[0].Stop()
	f.Services[0].SetFaults(standin.ServiceFaults{})
	second := confirm(t, f.Daemons[1], key)
	checkSingleExecution(t, f, key, first, second)
	if second.err == nil || second.err.Execution != "unknown" {
		t.Errorf("duplicate at another daemon: got %s, want execution unknown", describe(second))
	}
}

// TestPartitionedDaemonsRunCallAtMostOnce checks that during a network partition of two and
// three daemons only the larger side runs calls with an idempotency key. The side without a
// majority of a key's witnesses refuses, and must not say not_run of a call that ran.
func TestPartitionedDaemonsRunCallAtMostOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(5, 1))
	awaitWitnessAge(t, f)
	setPartition(f, 2, true)
	for range 10 {
		key := newKey()
		replies := make([]reply, 5)
		var wg sync.WaitGroup
		for i := range replies {
			wg.Go(func() { replies[i] = confirm(t, f.Daemons[i], key) })
		}
		wg.Wait()
		checkSingleExecution(t, f, key, replies...)
		for i, r := range replies[:2] {
			if r.status == http.StatusOK {
				t.Errorf("daemon %d of the smaller side: got status 200, want a refusal", i)
			}
		}
		if f.Services[0].Executions(key) != 1 {
			t.Errorf("the service executed the call %d times, want once; a reply of the larger side: %s", f.Services[0].Executions(key), describe(replies[4]))
		}
	}
	setPartition(f, 2, false)
	eventually(t, "the smaller side answers with status 200", func() bool {
		return confirm(t, f.Daemons[0], newKey()).status == http.StatusOK
	})
}

// setPartition blocks or restores the links between the first n daemons and the others.
func setPartition(f *Fleet, n int, block bool) {
	for i, a := range f.Daemons {
		for j, b := range f.Daemons {
			if (i < n) != (j < n) {
				a.Hub().Block(b.Config.Name, block)
			}
		}
	}
}

// TestOverlongIdempotencyKeyIsRejected guards against keys of any length, which all witnesses of a claim would hold.
func TestOverlongIdempotencyKeyIsRejected(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(1, 1))
	if r := confirm(t, f.Daemons[0], strings.Repeat("k", 256)); r.status != http.StatusBadRequest {
		t.Errorf("a key of 256 bytes: got %s, want 400", describe(r))
	}
}
