package fleet

import (
	"net/http"
	"sync"
	"testing"

	"doorstack.dev/node/internal/standin"
)

// TestDataCentreFailure, twice: its daemons and engines go at once. What the others
// have in flight ends whole, and they go on serving, claims included.
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
	eventually(t, "all run", func() bool { return f.Daemons[1].Board.InFlight()+f.Daemons[4].Board.InFlight() == 8 })
	for _, i := range []int{0, 3} { // the hosts of the first data centre
		f.Engines[i].Server.Close()
		f.Daemons[i].Kill()
	}
	wg.Wait()
	for _, r := range replies {
		checkAnswer(t, r, "through a death", tokens)
		if r.err != nil {
			t.Errorf("failed: %s", r.err.Message)
		}
	}
	key := newKey()
	first := confirm(t, f.Daemons[1], key)
	if first.status != http.StatusOK {
		t.Errorf("a claim with two of six hosts gone: %s", describe(first))
	}
	checkSingleExecution(t, f, key, first, confirm(t, f.Daemons[2], key))
	// The second death leaves two of six: chats go on, claims are refused.
	for _, i := range []int{1, 4} {
		f.Engines[i].Server.Close()
		f.Daemons[i].Kill()
	}
	if r := chatWithRetry(t, f.Daemons[2], appKey, "after two deaths", 5); r.err != nil {
		t.Errorf("failed: %s", r.err.Message)
	}
	key = newKey()
	checkSingleExecution(t, f, key, confirm(t, f.Daemons[2], key), confirm(t, f.Daemons[5], key))
}

// TestCallIsNotRunAgainAfterAllDaemonsRestart, twice: what ran before does not run again, though
// nobody remembers it, and fresh keys are served at once.
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
			t.Fatalf("a cold start does not serve: %s", r.err.Message)
		}
		awaitWitnessAge(t, f)
	}
	checkSingleExecution(t, f, key, replies...)
	if f.Services[0].Executions(key) != 1 {
		t.Fatal("the first call did not run")
	}
}
