package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/examples"
	"doorstack.dev/node/api"
	"doorstack.dev/node/internal/standin"
	"github.com/google/uuid"
)

// fastCostModel is an engine quick enough that tests wait for little.
func fastCostModel() standin.CostModel {
	c := standin.DefaultCostModel()
	c.FixedStepTime = 500 * time.Microsecond
	c.PerPromptToken = time.Microsecond
	c.ContextPerMillion = time.Microsecond
	c.PerStream = 5 * time.Microsecond
	return c
}

func claraOptions(daemons, engines int) Options {
	// Limits are tested where they are the subject; elsewhere they are out of the way.
	roomy := strings.ReplaceAll(string(examples.Clara), "requests_per_second: 50", "requests_per_second: 50000")
	return Options{
		Settings: []byte(roomy), Daemons: daemons, Engines: engines, Services: 1,
		EnginePool: "llm", ServicePool: "scheduling", Model: "assistant-7b", Cost: fastCostModel(),
		DataCentres: []string{"dc1", "dc2", "dc3"},
	}
}

func startFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	f, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// waitTimeout bounds every wait of a test; it decides nothing but how long a broken
// program is waited for.
const waitTimeout = 60 * time.Second

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.NewTimer(waitTimeout)
	defer deadline.Stop()
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for !condition() {
		select {
		case <-look.C:
		case <-deadline.C:
			t.Fatalf("waited %v in vain until %s", waitTimeout, what)
		}
	}
}

// Keys of accounts in the example settings.
const (
	deskKey   = "clara-santa-maria"
	triageKey = "clara-oncology"
	appKey    = "clara-patients"
)

// reply is an answer as a caller sees it.
type reply struct {
	status    int
	requestID string
	text      string // of a whole answer
	body      string
	err       *api.ErrorDetail
}

type call struct {
	method, path, apiKey, idempotencyKey string
	body                                 []byte
}

func doCall(t *testing.T, n *Daemon, c call) reply {
	t.Helper()
	r, err := tryCall(n, c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// tryCall makes a call; the error is one of the connection.
func tryCall(n *Daemon, c call) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if c.method == "" {
		c.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, c.method, n.URL()+c.path, bytes.NewReader(c.body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+c.apiKey)
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, requestID: resp.Header.Get(api.HeaderRequestID), body: string(data)}
	if resp.StatusCode >= 400 {
		var e api.ErrorBody
		if json.Unmarshal(data, &e) == nil {
			r.err = &e.Error
		}
	}
	return r, err
}

func chatBody(prompt string, tokens int, stream bool) []byte {
	body, err := json.Marshal(map[string]any{
		"model": "assistant", "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// chat asks for a streamed answer and returns its text, or the error in it.
func chat(t *testing.T, n *Daemon, key, prompt string, tokens int) reply {
	t.Helper()
	r := doCall(t, n, call{path: "/v1/chat/completions", apiKey: key, body: chatBody(prompt, tokens, true)})
	r.parseEvents(t)
	return r
}

// chatWithRetry asks like chat and, as callers do, once more after each refusal for a limit.
// On a busy host an account's owner may be late to lend a daemon its part of the limit;
// what the tests that use it are about is served all the same.
func chatWithRetry(t *testing.T, n *Daemon, key, prompt string, tokens int) reply {
	t.Helper()
	var r reply
	eventually(t, "an answer that is no refusal for a limit", func() bool {
		r = chat(t, n, key, prompt, tokens)
		return r.status != http.StatusTooManyRequests
	})
	return r
}

// read parses server-sent events.
func (r *reply) parseEvents(t *testing.T) {
	t.Helper()
	if r.status != http.StatusOK {
		return
	}
	done := false
	lines := bufio.NewScanner(strings.NewReader(r.body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var e struct {
			Choices []struct {
				Delta struct{ Content string }
			}
			Error *api.ErrorDetail
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			t.Fatalf("a garbled event %q: %v", data, err)
		}
		if e.Error != nil {
			r.err = e.Error
		}
		for _, c := range e.Choices {
			r.text += c.Delta.Content
		}
	}
	if done == (r.err != nil) {
		t.Fatalf("end mark %v, error %v: an answer must have one of the two", done, r.err)
	}
}

// The eight properties of the brief, as checks that the failure tests share.

// checkAnswer: a caller has its own whole answer or an error, never a part.
func checkAnswer(t *testing.T, r reply, prompt string, tokens int64) {
	t.Helper()
	want := standin.Answer(prompt, tokens)
	if r.err == nil && r.text != want {
		t.Fatalf("a wrong answer was given as whole: %.80q, want %.80q", r.text, want)
	}
	if r.err != nil && !strings.HasPrefix(want, r.text) {
		t.Fatalf("the part before a failure is wrong: %.80q", r.text)
	}
}

// awaitMemoryFreed: no engine holds memory when nothing runs.
func awaitMemoryFreed(t *testing.T, f *Fleet) {
	t.Helper()
	eventually(t, "all engine memory is free", func() bool {
		for _, e := range f.Engines {
			if e.UsedTokens() != 0 {
				return false
			}
		}
		return true
	})
}

// checkSingleExecution: the service ran a key once at most, and not at all if a caller was
// told so.
func checkSingleExecution(t *testing.T, f *Fleet, key string, replies ...reply) {
	t.Helper()
	ran := 0
	for _, s := range f.Services {
		ran += s.Executions(key)
	}
	if ran > 1 {
		t.Fatalf("the call with key %s ran %d times", key, ran)
	}
	for _, r := range replies {
		if r.err != nil && r.err.Execution == "not_run" && ran > 0 {
			t.Fatalf("a caller was told not_run (%s), but the call ran", r.err.Message)
		}
	}
}

// awaitIdleDaemons: no daemon holds a body, a request or a waiting place.
func awaitIdleDaemons(t *testing.T, f *Fleet) {
	t.Helper()
	eventually(t, "no daemon holds anything", func() bool {
		for _, d := range f.Daemons {
			if d.Board.InFlight() != 0 || d.Board.Queues.Len("llm") != 0 {
				return false
			}
		}
		return true
	})
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// awaitWitnessAge waits until keys made from now on are younger than all witnesses. That a key
// is granted is not enough: three of five do that, while the others may be young.
func awaitWitnessAge(t *testing.T, f *Fleet) {
	t.Helper()
	running := time.Now() // All daemons have started by now.
	eventually(t, "all witnesses are older than a key by the skew of clocks", func() bool { return time.Since(running) > claim.MaxClockSkew })
	for _, d := range f.Daemons {
		eventually(t, "a fresh key is granted through "+d.Config.Name, func() bool {
			r, err := tryCall(d, call{path: "/v1/services/confirm/warm-up", apiKey: deskKey, idempotencyKey: newKey()})
			return err == nil && r.status == http.StatusOK
		})
	}
}

func promptText(tokens int) string { return strings.Repeat("kiln", tokens) }

func describe(r reply) string { return fmt.Sprintf("%d %.200s", r.status, r.body) }
