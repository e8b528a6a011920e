package fleet

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"doorstack.dev/node/internal/standin"
)

func confirm(t *testing.T, n *Daemon, key string) reply {
	t.Helper()
	return doCall(t, n, call{path: "/v1/services/confirm/slots/17", apiKey: deskKey, idempotencyKey: key, body: []byte(`{"slot":17}`)})
}

// confirmWithRetry asks like confirm and, as callers do, once more after each refusal for a limit.
func confirmWithRetry(t *testing.T, n *Daemon, key string) reply {
	t.Helper()
	var r reply
	eventually(t, "an answer that is no refusal for a limit", func() bool {
		r = confirm(t, n, key)
		return r.status != http.StatusTooManyRequests
	})
	return r
}

// TestDuplicatesAtAllDaemonsRunOnce: one run, and everybody gets its answer, also right after a
// daemon came back to life, when the owners of limits lend nothing for 8 s and each daemon has
// one call of the account's 100.
func TestDuplicatesAtAllDaemonsRunOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(5, 1))
	awaitWitnessAge(t, f)
	for _, d := range f.Daemons {
		d.Board.Shares.DaemonJoined(time.Now())
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
		t.Fatalf("nobody got through: %s", describe(replies[0]))
	}
	for _, r := range replies {
		if r.status != http.StatusOK || r.body != replies[0].body {
			t.Errorf("a duplicate got %s", describe(r))
		}
	}
	late := confirm(t, f.Daemons[3], key)
	if late.status != http.StatusOK {
		t.Errorf("a late duplicate got %s", describe(late))
	}
}

// TestCallWithUnknownOutcomeIsNotRunAgain: the outcome is unknown, and it stays at one run
// however often and wherever the caller asks again.
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
					t.Errorf("got %s, want unknown", describe(r))
				}
			}
		})
	}
}

// TestRefusedCallFreesIdempotencyKey: the service's own word that it did not run
// frees the key.
func TestRefusedCallFreesIdempotencyKey(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(3, 1))
	awaitWitnessAge(t, f)
	f.Services[0].SetFaults(standin.ServiceFaults{Refuse: true})
	key := newKey()
	first := confirm(t, f.Daemons[0], key)
	if first.err == nil || first.err.Execution != "not_run" {
		t.Fatalf("got %s, want not_run", describe(first))
	}
	checkSingleExecution(t, f, key, first)
	f.Services[0].SetFaults(standin.ServiceFaults{})
	eventually(t, "the key is free again", func() bool { return confirm(t, f.Daemons[1], key).status == http.StatusOK })
	checkSingleExecution(t, f, key)
}

// TestDuplicateOfStoppedDaemonsCallIsUnknown: its duplicate elsewhere hears unknown, never a run.
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
		t.Errorf("got %s, want unknown", describe(second))
	}
}

// TestPartitionedDaemonsRunCallAtMostOnce: each side serves what is safe there. The side without a majority of
// a key's witnesses refuses, and never says not_run of a call that ran.
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
				t.Errorf("daemon %d of the smaller side ran a claimed call", i)
			}
		}
		if f.Services[0].Executions(key) != 1 {
			t.Errorf("the larger side did not serve: %s", describe(replies[4]))
		}
	}
	setPartition(f, 2, false)
	eventually(t, "the smaller side serves again", func() bool {
		return confirm(t, f.Daemons[0], newKey()).status == http.StatusOK
	})
}

// setPartition cuts the first n daemons off from the others, or joins them again.
func setPartition(f *Fleet, n int, cut bool) {
	for i, a := range f.Daemons {
		for j, b := range f.Daemons {
			if (i < n) != (j < n) {
				a.Hub().Block(b.Config.Name, cut)
			}
		}
	}
}
