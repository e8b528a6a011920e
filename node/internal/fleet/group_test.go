package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/routing"
	"doorstack.dev/node/internal/standin"
)

// currentTime returns the current time. All daemons of a fleet use the system clock.
func currentTime(*Daemon) time.Time { return time.Now() }

// groupPrompt returns a prompt of more than twice an engine's memory, so that a group of three
// engines must process it, each a part.
func groupPrompt() string { return promptText(1_000_000) }

// TestGroupServesLongPrompt checks that a group of engines answers a prompt beyond the memory
// of one engine, and that the group frees its memory.
func TestGroupServesLongPrompt(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(1, 4))
	r := chat(t, f.Daemons[0], triageKey, groupPrompt(), 20)
	if r.err != nil || strings.Count(r.text, " w") != 20 {
		t.Fatalf("chat: error %+v, text %q; want 20 tokens", r.err, r.text)
	}
	awaitMemoryFreed(t, f)
	if got := chat(t, f.Daemons[0], deskKey, "and now a short one", 5); got.err != nil {
		t.Fatal("chat after the group's answer: ", got.err.Message)
	}
}

// TestGroupWaitsForSilentEngine guards against a prompt being refused for good as too large because an engine that it needs does
// not answer for a while.
func TestGroupWaitsForSilentEngine(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(1, 3))
	f.Engines[2].SetFaults(standin.Faults{Hanging: true})
	eventually(t, "the engine counts as unavailable", func() bool {
		for _, v := range f.Daemons[0].Board.Targets.Views("llm", time.Now()) {
			if v.State == routing.Unavailable {
				return true
			}
		}
		return false
	})
	answer := make(chan reply, 1)
	go func() {
		r, _ := tryCall(f.Daemons[0], call{path: "/v1/chat/completions", apiKey: triageKey, body: chatBody(groupPrompt(), 20, true)})
		answer <- r
	}()
	const silence = 300 * time.Millisecond
	select {
	case r := <-answer:
		t.Fatalf("refused while the engine was silent: status %d, %s", r.status, describe(r))
	case <-time.After(silence):
	}
	f.Engines[2].SetFaults(standin.Faults{})
	r := <-answer
	r.parseEvents(t)
	if r.err != nil || strings.Count(r.text, " w") != 20 {
		t.Errorf("chat: error %+v, text %q; want 20 tokens", r.err, r.text)
	}
}

// TestGroupFreesMemoryAfterDisconnect checks that a group frees its memory when the caller
// disconnects during the prefill.
func TestGroupFreesMemoryAfterDisconnect(t *testing.T) {
	t.Parallel()
	o := claraOptions(1, 3)
	o.Cost.PerPromptToken *= 4
	f := startFleet(t, o)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go sendGroupPrompt(ctx, f.Daemons[0])
	eventually(t, "more memory is reserved than one engine has", func() bool { return totalUsedTokens(f) > 450_000 })
	cancel()
	awaitMemoryFreed(t, f)
	awaitIdleDaemons(t, f)
}

// TestGroupAnswersAfterEngineFailure checks that the caller of a group gets a complete answer
// when any engine of the group fails, by closing its connections or by not answering, and that
// the other engines free their memory afterwards.
func TestGroupAnswersAfterEngineFailure(t *testing.T) {
	t.Parallel()
	for i := range 6 {
		victim, hangs := i/2, i%2 == 1
		t.Run(fmt.Sprintf("engine %d of the group hangs: %v", victim+1, hangs), func(t *testing.T) {
			t.Parallel()
			o := claraOptions(1, 6)
			o.Cost.PerPromptToken *= 4
			f := startFleet(t, o)
			answer := make(chan reply, 1)
			go func() {
				r, _ := tryCall(f.Daemons[0], call{path: "/v1/chat/completions", apiKey: triageKey, body: chatBody(groupPrompt(), 20, true)})
				answer <- r
			}()
			var holders []*Engine
			eventually(t, "all parts are reserved", func() bool {
				holders = holders[:0]
				for _, e := range f.Engines {
					if e.UsedTokens() > 0 {
						holders = append(holders, e)
					}
				}
				return len(holders) == 3
			})
			if hangs {
				holders[victim].SetFaults(standin.Faults{Hanging: true})
			} else {
				holders[victim].Server.Close()
			}
			r := <-answer
			r.parseEvents(t)
			if r.err != nil || strings.Count(r.text, " w") != 20 {
				t.Errorf("chat: error %+v, text %q; want 20 tokens", r.err, r.text)
			}
			if hangs {
				holders[victim].SetFaults(standin.Faults{})
				awaitMemoryFreed(t, f) // This includes the engine that answers again.
			}
			eventually(t, "the other engines use no memory", func() bool {
				for _, e := range f.Engines {
					if e != holders[victim] && e.UsedTokens() != 0 {
						return false
					}
				}
				return true
			})
			awaitIdleDaemons(t, f)
		})
	}
}

// sendGroupPrompt sends a prompt that needs a group and discards the answer.
func sendGroupPrompt(ctx context.Context, d *Daemon) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.URL()+"/v1/chat/completions", strings.NewReader(string(chatBody(groupPrompt(), 20, true))))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+triageKey)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// totalUsedTokens returns the memory that all engines use, in tokens.
func totalUsedTokens(f *Fleet) int64 {
	sum := int64(0)
	for _, e := range f.Engines {
		sum += e.UsedTokens()
	}
	return sum
}

// TestMemoryReservedByKilledDaemonIsReleased checks that the remaining daemons release the
// reservations of a killed daemon, for two daemons one after the other.
func TestMemoryReservedByKilledDaemonIsReleased(t *testing.T) {
	t.Parallel()
	o := claraOptions(4, 3)
	o.Cost.PerPromptToken *= 10
	f := startFleet(t, o)
	for _, victim := range f.Daemons[:2] {
		go sendGroupPrompt(context.Background(), victim)
		eventually(t, "more memory is reserved than one engine has", func() bool { return totalUsedTokens(f) > 450_000 })
		// After Kill no message of the daemon reaches an engine.
		victim.Kill()
		awaitMemoryFreed(t, f)
	}
}
