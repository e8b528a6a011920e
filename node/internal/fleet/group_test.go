package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"doorstack.dev/node/internal/standin"
)

func currentTime(*Daemon) time.Time { return time.Now() }

// groupPrompt is a prompt of more than twice an engine's memory.
func groupPrompt() string { return promptText(1_000_000) }

// TestGroupServesLongPrompt is served by a group, and everything is given back.
func TestGroupServesLongPrompt(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(1, 4))
	r := chat(t, f.Daemons[0], triageKey, groupPrompt(), 20)
	if r.err != nil || strings.Count(r.text, " w") != 20 {
		t.Fatalf("%+v %q", r.err, r.text)
	}
	awaitMemoryFreed(t, f)
	if got := chat(t, f.Daemons[0], deskKey, "and now a short one", 5); got.err != nil {
		t.Fatal(got.err.Message)
	}
}

// TestGroupFreesMemoryAfterDisconnect give everything back.
func TestGroupFreesMemoryAfterDisconnect(t *testing.T) {
	t.Parallel()
	o := claraOptions(1, 3)
	o.Cost.PerPromptToken *= 4
	f := startFleet(t, o)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go sendGroupPrompt(ctx, f.Daemons[0])
	eventually(t, "parts are reserved", func() bool { return totalUsedTokens(f) > 450_000 })
	cancel()
	awaitMemoryFreed(t, f)
	awaitIdleDaemons(t, f)
}

// TestGroupAnswersAfterEngineFailure at each part, by dying or by freezing: the caller still gets a whole answer
// from the engines that live, and those hold nothing afterwards.
func TestGroupAnswersAfterEngineFailure(t *testing.T) {
	t.Parallel()
	for i := range 6 {
		victim, freezes := i/2, i%2 == 1
		t.Run(fmt.Sprintf("part %d freezes %v", victim+1, freezes), func(t *testing.T) {
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
			if freezes {
				holders[victim].SetFaults(standin.Faults{Hanging: true})
			} else {
				holders[victim].Server.Close()
			}
			r := <-answer
			r.parseEvents(t)
			if r.err != nil || strings.Count(r.text, " w") != 20 {
				t.Errorf("got %+v %q", r.err, r.text)
			}
			if freezes {
				holders[victim].SetFaults(standin.Faults{})
				awaitMemoryFreed(t, f) // The thawed engine's part included.
			}
			eventually(t, "the living engines hold nothing", func() bool {
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

func sendGroupPrompt(ctx context.Context, n *Daemon) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.URL()+"/v1/chat/completions", strings.NewReader(string(chatBody(groupPrompt(), 20, true))))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+triageKey)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func totalUsedTokens(f *Fleet) int64 {
	sum := int64(0)
	for _, e := range f.Engines {
		sum += e.UsedTokens()
	}
	return sum
}

// TestMemoryReservedByKilledDaemonIsReleased, twice: the others find what it reserved and
// release it.
func TestMemoryReservedByKilledDaemonIsReleased(t *testing.T) {
	t.Parallel()
	o := claraOptions(4, 3)
	o.Cost.PerPromptToken *= 10
	f := startFleet(t, o)
	for _, victim := range f.Daemons[:2] {
		go sendGroupPrompt(context.Background(), victim)
		eventually(t, "parts are reserved", func() bool { return totalUsedTokens(f) > 450_000 })
		// The death is a cut: nothing of the daemon reaches an engine any more.
		victim.Kill()
		awaitMemoryFreed(t, f)
	}
}
