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

// fastCostModel returns the costs of an engine fast enough for short tests.
func fastCostModel() standin.CostModel {
	c := standin.DefaultCostModel()
	c.FixedStepTime = 500 * time.Microsecond
	c.PerPromptToken = time.Microsecond
	c.ContextPerMillion = time.Microsecond
	c.PerStream = 5 * time.Microsecond
	return c
}

// claraOptions returns the options of a fleet with the example settings and one service. The
// hosts are distributed over three data centres.
func claraOptions(daemons, engines int) Options {
	// The rate limit is raised so that it affects only the tests about limits.
	settings := strings.ReplaceAll(string(examples.Clara), "requests_per_second: 50", "requests_per_second: 50000")
	return Options{
		Settings: []byte(settings), Daemons: daemons, Engines: engines, Services: 1,
		EnginePool: "llm", ServicePool: "scheduling", Model: "assistant-7b", Cost: fastCostModel(),
		DataCentres: []string{"dc1", "dc2", "dc3"},
	}
}

// startFleet starts a fleet that is closed at the end of the test.
func startFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	f, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// waitTimeout bounds each wait of a test. No result depends on it, except how long a test
// waits before it fails.
const waitTimeout = 60 * time.Second

// eventually waits until a condition holds and fails the test after waitTimeout. The
// argument what states the condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.NewTimer(waitTimeout)
	defer deadline.Stop()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline.C:
			t.Fatalf("condition not met within %v: %s", waitTimeout, what)
		}
	}
}

// API keys of client accounts in the example settings.
const (
	deskKey   = "clara-santa-maria"
	triageKey = "clara-oncology"
	appKey    = "clara-patients"
)

// reply is an answer as received by the caller. parseEvents sets the text.
type reply struct {
	status    int
	requestID string
	text      string // of a streamed answer
	body      string
	err       *api.ErrorDetail
}

// call is a request of a caller; the method is POST if it is empty.
type call struct {
	method, path, apiKey, idempotencyKey string
	body                                 []byte
}

// doCall makes a call and fails the test if no answer can be read.
func doCall(t *testing.T, d *Daemon, c call) reply {
	t.Helper()
	r, err := tryCall(d, c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// tryCall makes a call. An error means that the connection failed; an error answer is part
// of the reply.
func tryCall(d *Daemon, c call) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if c.method == "" {
		c.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, c.method, d.URL()+c.path, bytes.NewReader(c.body))
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

// chatBody returns the body of a chat completion request.
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

// chat requests a streamed answer and returns its text, or the error sent in it.
func chat(t *testing.T, d *Daemon, key, prompt string, tokens int) reply {
	t.Helper()
	r := doCall(t, d, call{path: "/v1/chat/completions", apiKey: key, body: chatBody(prompt, tokens, true)})
	r.parseEvents(t)
	return r
}

// chatWithRetry is like chat, but repeats the request while it is refused with status 429, as
// callers do. On a busy host the daemon that divides an account's limit among the daemons may
// be late in granting a share, which is not what the tests that use chatWithRetry check.
func chatWithRetry(t *testing.T, d *Daemon, key, prompt string, tokens int) reply {
	t.Helper()
	var r reply
	eventually(t, "the answer is not a refusal with status 429", func() bool {
		r = chat(t, d, key, prompt, tokens)
		return r.status != http.StatusTooManyRequests
	})
	return r
}

// parseEvents reads the text or the error from the server-sent events of an answer with
// status 200.
func (r *reply) parseEvents(t *testing.T) {
	t.Helper()
	if r.status != http.StatusOK {
		return
	}
	done := false
	scanner := bufio.NewScanner(strings.NewReader(r.body))
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
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
			t.Fatalf("Unmarshal of event %q: %v", data, err)
		}
		if e.Error != nil {
			r.err = e.Error
		}
		for _, c := range e.Choices {
			r.text += c.Delta.Content
		}
	}
	if done == (r.err != nil) {
		t.Fatalf("stream has [DONE]: %v, error: %v; want exactly one of them", done, r.err)
	}
}

// Checks that the failure tests share.

// checkAnswer checks that the caller got its complete answer, or an error after a correct
// beginning of the answer.
func checkAnswer(t *testing.T, r reply, prompt string, tokens int64) {
	t.Helper()
	want := standin.Answer(prompt, tokens)
	if r.err == nil && r.text != want {
		t.Fatalf("answer without an error is %.80q, want %.80q", r.text, want)
	}
	if r.err != nil && !strings.HasPrefix(want, r.text) {
		t.Fatalf("text before the error is %.80q, want a prefix of %.80q", r.text, want)
	}
}

// awaitMemoryFreed waits until no engine uses memory. No request may be running.
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

// checkSingleExecution checks that the services executed the call with an idempotency key at
// most once, and not at all if one of the replies says not_run.
func checkSingleExecution(t *testing.T, f *Fleet, key string, replies ...reply) {
	t.Helper()
	ran := 0
	for _, s := range f.Services {
		ran += s.Executions(key)
	}
	if ran > 1 {
		t.Fatalf("the call with key %s was executed %d times, want at most once", key, ran)
	}
	for _, r := range replies {
		if r.err != nil && r.err.Execution == "not_run" && ran > 0 {
			t.Fatalf("a reply says not_run (%s), but the call was executed", r.err.Message)
		}
	}
}

// awaitIdleDaemons waits until no daemon has a request in flight or queued for an engine.
func awaitIdleDaemons(t *testing.T, f *Fleet) {
	t.Helper()
	eventually(t, "no daemon has a request in flight or queued", func() bool {
		for _, d := range f.Daemons {
			if d.Board.InFlight() != 0 || d.Board.Queues.Len("llm") != 0 {
				return false
			}
		}
		return true
	})
}

// newKey returns a new idempotency key that carries its creation time.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// awaitWitnessAge waits until every daemon, as a witness of idempotency keys, has run long
// enough to grant a key created now. A successful call does not show this: it needs the grants
// of only three of five witnesses, while the others may not have run long enough.
func awaitWitnessAge(t *testing.T, f *Fleet) {
	t.Helper()
	running := time.Now() // All daemons have started by now.
	eventually(t, "all witnesses have run for longer than MaxClockSkew", func() bool { return time.Since(running) > claim.MaxClockSkew })
	for _, d := range f.Daemons {
		eventually(t, "a new key is granted through "+d.Config.Name, func() bool {
			r, err := tryCall(d, call{path: "/v1/services/confirm/warm-up", apiKey: deskKey, idempotencyKey: newKey()})
			return err == nil && r.status == http.StatusOK
		})
	}
}

// promptText returns a prompt of the given number of tokens, at four bytes per token.
func promptText(tokens int) string { return strings.Repeat("kiln", tokens) }

// describe formats a reply for test failures.
func describe(r reply) string { return fmt.Sprintf("%d %.200s", r.status, r.body) }
