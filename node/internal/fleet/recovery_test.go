package fleet

import (
	"net/http"
	"sync"
	"testing"

	"doorstack.dev/node/internal/standin"
)

// TestDataCentreFailure checks that the remaining data centres complete their requests in
// flight and serve new ones after all hosts of one data centre failed at once. A second data
// centre then fails too. Calls with an idempotency key are served after the first failure;
// after the second they run at most once.
func TestDataCentreFailure(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(6, 6))
	awaitWitnessAge(t, f)
	const tokens = 300
	var wg sync.WaitGroup
	replies := make([]reply, 8)
	for i := range replies {
		wg.Go(func() { replies[i] = chatWithRetry(t, f.Daemons[1+3*(i%2)], appKey, "through a death", tokens) })
	}
	eventually(t, "all requests are in flight", func() bool { return f.Daemons[1].Board.InFlight()+f.Daemons[4].Board.InFlight() == 8 })
	for _, i := range []int{0, 3} { // the hosts of data centre dc1
		f.Engines[i].Server.Close()
		f.Daemons[i].Kill()
	}
	wg.Wait()
	for _, r := range replies {
		checkAnswer(t, r, "through a death", tokens)
		if r.err != nil {
			t.Errorf("request in flight: error %q, want a complete answer", r.err.Message)
		}
	}
	key := newKey()
	first := confirm(t, f.Daemons[1], key)
	if first.status != http.StatusOK {
		t.Errorf("call after the failure of two of six daemons: got %s, want 200", describe(first))
	}
	checkSingleExecution(t, f, key, first, confirm(t, f.Daemons[2], key))
	// Two of six daemons remain: chats are served, calls with an idempotency key refused.
	for _, i := range []int{1, 4} {
		f.Engines[i].Server.Close()
		f.Daemons[i].Kill()
	}
	if r := chatWithRetry(t, f.Daemons[2], appKey, "after two deaths", 5); r.err != nil {
		t.Errorf("chat after the failure of four of six daemons: %s", r.err.Message)
	}
	key = newKey()
	checkSingleExecution(t, f, key, confirm(t, f.Daemons[2], key), confirm(t, f.Daemons[5], key))
}

// TestCallIsNotRunAgainAfterAllDaemonsRestart checks that a call that ran does not run again
// after all daemons have restarted without state, and that chats are served immediately. The
// daemons restart twice.
func TestCallIsNotRunAgainAfterAllDaemonsRestart(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(3, 1))
	awaitWitnessAge(t, f)
	f.Services[0].SetFaults(standin.ServiceFaults{AbortAfterRun: true})
	key := newKey()
	replies := []reply{confirm(t, f.Daemons[0], key)}
	f.Services[0].SetFaults(standin.ServiceFaults{})
	for range 2 {
		for _, d := range f.Daemons {
			d.Kill()
		}
		for i := range f.Daemons {
			if _, err := f.Recreate(i); err != nil {
				t.Fatal(err)
			}
		}
		f.PublishHosts()
		for _, d := range f.Daemons {
			d.Start()
		}
		for _, d := range f.Daemons {
			if err := d.WaitReady(); err != nil {
				t.Fatal(err)
			}
			replies = append(replies, confirm(t, d, key))
		}
		if r := chat(t, f.Daemons[0], deskKey, "good morning", 5); r.err != nil {
			t.Fatalf("chat after the restart: %s", r.err.Message)
		}
		awaitWitnessAge(t, f)
	}
	checkSingleExecution(t, f, key, replies...)
	if f.Services[0].Executions(key) != 1 {
		t.Fatalf("the service executed the call %d times, want once", f.Services[0].Executions(key))
	}
}
