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

func nowFor(*Node) time.Time { return time.Now() }

// year is a prompt of more than twice an engine's memory.
func year() string { return text(1_000_000) }

// TestAYearOfRecords is served by a group, and everything is given back.
func TestAYearOfRecords(t *testing.T) {
	t.Parallel()
	f := start(t, claraOptions(1, 4))
	r := chat(t, f.Daemons[0], triageKey, year(), 20)
	if r.err != nil || strings.Count(r.text, " w") != 20 {
		t.Fatalf("%+v %q", r.err, r.text)
	}
	memoryBack(t, f)
	if got := chat(t, f.Daemons[0], deskKey, "and now a short one", 5); got.err != nil {
		t.Fatal(got.err.Message)
	}
}

// TestGroupsWhoseCallerGoes give everything back.
func TestGroupsWhoseCallerGoes(t *testing.T) {
	t.Parallel()
	o := claraOptions(1, 3)
	o.Cost.Prefill *= 4
	f := start(t, o)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go ask(ctx, f.Daemons[0])
	eventually(t, "parts are reserved", func() bool { return reservedTokens(f) > 450_000 })
	cancel()
	memoryBack(t, f)
	nothingHeld(t, f)
}

// TestGroupsWhoseEngineFails at each part, by dying or by freezing: the caller still gets a whole answer
// from the engines that live, and those hold nothing afterwards.
func TestGroupsWhoseEngineFails(t *testing.T) {
	t.Parallel()
	for i := range 6 {
		victim, freezes := i/2, i%2 == 1
		t.Run(fmt.Sprintf("part %d freezes %v", victim+1, freezes), func(t *testing.T) {
			t.Parallel()
			o := claraOptions(1, 6)
			o.Cost.Prefill *= 4
			f := start(t, o)
			answer := make(chan reply, 1)
			go func() {
				r, _ := try(f.Daemons[0], call{path: "/v1/chat/completions", key: triageKey, body: chatBody(year(), 20, true)})
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
				holders[victim].SetFaults(standin.Faults{Frozen: true})
			} else {
				holders[victim].Server.Close()
			}
			r := <-answer
			r.read(t)
			if r.err != nil || strings.Count(r.text, " w") != 20 {
				t.Errorf("got %+v %q", r.err, r.text)
			}
			if freezes {
				holders[victim].SetFaults(standin.Faults{})
				memoryBack(t, f) // The thawed engine's part included.
			}
			eventually(t, "the living engines hold nothing", func() bool {
				for _, e := range f.Engines {
					if e != holders[victim] && e.UsedTokens() != 0 {
						return false
					}
				}
				return true
			})
			nothingHeld(t, f)
		})
	}
}

func ask(ctx context.Context, n *Node) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.URL()+"/v1/chat/completions", strings.NewReader(string(chatBody(year(), 20, true))))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+triageKey)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func reservedTokens(f *Fleet) int64 {
	sum := int64(0)
	for _, e := range f.Engines {
		sum += e.UsedTokens()
	}
	return sum
}

// TestDaemonDiesInTheMiddleOfAnAudit, twice: the others find what it reserved and
// release it.
func TestDaemonDiesInTheMiddleOfAnAudit(t *testing.T) {
	t.Parallel()
	o := claraOptions(4, 3)
	o.Cost.Prefill *= 10
	f := start(t, o)
	for _, victim := range f.Daemons[:2] {
		go ask(context.Background(), victim)
		eventually(t, "parts are reserved", func() bool { return reservedTokens(f) > 450_000 })
		// The death is a cut: nothing of the daemon reaches an engine any more.
		victim.Kill()
		memoryBack(t, f)
	}
}
