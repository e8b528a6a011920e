package fleet

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"doorstack.dev/node/internal/standin"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestOpenAIClientLibrary speaks to a daemon through OpenAI's own client.
func TestOpenAIClientLibrary(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(1, 2))
	client := openai.NewClient(option.WithBaseURL(f.Daemons[0].URL()+"/v1"), option.WithAPIKey(deskKey))
	params := openai.ChatCompletionNewParams{
		Model:     "assistant",
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("is there a slot?")},
	}
	want := standin.Answer("is there a slot?", 12)
	whole, err := client.Chat.Completions.New(context.Background(), params)
	if err != nil || whole.Choices[0].Message.Content != want {
		t.Fatalf("%v: %+v", err, whole)
	}
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if stream.Err() != nil || text.String() != want {
		t.Fatalf("%v: %q, want %q", stream.Err(), text.String(), want)
	}
	models, err := client.Models.List(context.Background())
	if err != nil || len(models.Data) != 3 {
		t.Fatalf("%v: %+v", err, models)
	}
	wrong := openai.NewClient(option.WithBaseURL(f.Daemons[0].URL()+"/v1"), option.WithAPIKey("no"), option.WithMaxRetries(0))
	if _, err := wrong.Chat.Completions.New(context.Background(), params); err == nil {
		t.Fatal("a wrong key is taken")
	}
}

// TestMisbehavingEngineDoesNotCorruptAnswer gives the whole answer or a failure whatever an engine
// does to its stream.
func TestMisbehavingEngineDoesNotCorruptAnswer(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		faults standin.Faults
		whole  bool
	}{
		"reordered":  {standin.Faults{ReorderChunks: true}, true},
		"duplicated": {standin.Faults{DuplicateChunks: true}, true},
		"foreign":    {standin.Faults{OtherAttemptChunks: true}, true},
		"truncated":  {standin.Faults{TruncateAfter: 5}, true}, // the second engine takes over
		"refusing":   {standin.Faults{RefusalCode: "busy"}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, claraOptions(1, 2))
			f.Engines[0].SetFaults(c.faults)
			for range 6 {
				r := chat(t, f.Daemons[0], deskKey, "hello "+name, 20)
				checkAnswer(t, r, "hello "+name, 20)
				if c.whole && r.err != nil {
					t.Fatalf("failed: %s", r.err.Message)
				}
			}
			awaitIdleDaemons(t, f)
			awaitMemoryFreed(t, f)
		})
	}
}

// TestAnswerContinuesAfterEngineFailure, by dying, or by freezing, which answers nothing and
// closes nothing: the answer goes on elsewhere, no token twice, long before its
// deadline.
func TestAnswerContinuesAfterEngineFailure(t *testing.T) {
	t.Parallel()
	for name, harm := range map[string]func(*Engine){
		"dies":    func(e *Engine) { e.Server.Close() },
		"freezes": func(e *Engine) { e.SetFaults(standin.Faults{Hanging: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := claraOptions(1, 3)
			o.Settings = []byte(strings.ReplaceAll(string(o.Settings), "deadline: 30s", "deadline: 10m"))
			o.Cost.FixedStepTime *= 4
			f := startFleet(t, o)
			const tokens = 400
			var wg sync.WaitGroup
			replies := make([]reply, 8)
			for i := range replies {
				wg.Go(func() { replies[i] = chat(t, f.Daemons[0], appKey, "long talk", tokens) })
			}
			eventually(t, "an engine generates", func() bool { return f.Engines[0].UsedTokens() > 0 })
			harm(f.Engines[0])
			wg.Wait()
			for _, r := range replies {
				checkAnswer(t, r, "long talk", tokens)
				if r.err != nil {
					t.Errorf("failed though two engines live: %s", r.err.Message)
				}
			}
			awaitIdleDaemons(t, f)
		})
	}
}

// TestInvalidRequestsAreRejected get a clear error, and hold nothing afterwards.
func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(1, 1))
	d := f.Daemons[0]
	cases := map[string]struct {
		call   call
		status int
		code   string
	}{
		"no json":        {call{path: "/v1/chat/completions", apiKey: deskKey, body: []byte("{")}, 400, "bad_request"},
		"no messages":    {call{path: "/v1/chat/completions", apiKey: deskKey, body: []byte(`{"model":"assistant"}`)}, 400, "bad_request"},
		"an image":       {call{path: "/v1/chat/completions", apiKey: deskKey, body: []byte(`{"model":"assistant","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`)}, 400, "bad_request"},
		"no such route":  {call{path: "/v1/chat/completions", apiKey: deskKey, body: []byte(`{"model":"x","messages":[{"role":"user","content":"a"}]}`)}, 404, "no_route"},
		"service as llm": {call{path: "/v1/completions", apiKey: deskKey, body: []byte(`{"model":"slots","prompt":"a"}`)}, 404, "no_route"},
		"wrong key":      {call{path: "/v1/completions", apiKey: "x", body: []byte(`{}`)}, 401, "unauthenticated"},
		"too many asked": {call{path: "/v1/completions", apiKey: deskKey, body: []byte(`{"model":"assistant","prompt":"a","max_tokens":99999}`)}, 400, "bad_request"},
		"too long":       {call{path: "/v1/chat/completions", apiKey: deskKey, body: chatBody(promptText(1_200_000), 1, false)}, 413, "too_large"},
		"huge":           {call{path: "/v1/chat/completions", apiKey: deskKey, body: make([]byte, 17<<20)}, 413, "too_large"},
		"no endpoint":    {call{path: "/v2/x", apiKey: deskKey}, 404, "no_route"},
	}
	for name, c := range cases {
		r := doCall(t, d, c.call)
		if r.status != c.status || r.err == nil || string(r.err.Code) != c.code {
			t.Errorf("%s: got %s, want %d %s", name, describe(r), c.status, c.code)
			continue
		}
		if r.err.Execution != "not_run" || r.err.Remedy == "" || r.requestID == "" {
			t.Errorf("%s: %+v, id %q", name, r.err, r.requestID)
		}
	}
	if got := doCall(t, d, call{method: http.MethodGet, path: "/v1/models", apiKey: deskKey}); got.status != 200 {
		t.Errorf("models: %s", describe(got))
	}
	awaitIdleDaemons(t, f)
}

// TestDisconnectFreesEngineMemory: a caller that goes away costs nothing more.
func TestDisconnectFreesEngineMemory(t *testing.T) {
	t.Parallel()
	o := claraOptions(1, 1)
	o.Cost.FixedStepTime = waitTimeout / 1000 // The answer takes longer than the test waits.
	f := startFleet(t, o)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil { // A refusal is not what this test is about.
			readUntilCancelled(ctx, f.Daemons[0])
		}
	}()
	eventually(t, "the engine works on it", func() bool { return f.Engines[0].UsedTokens() > 0 })
	cancel()
	<-ended
	awaitIdleDaemons(t, f)
	awaitMemoryFreed(t, f)
}

// readUntilCancelled asks for a long answer and reads it until ctx ends.
func readUntilCancelled(ctx context.Context, n *Daemon) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.URL()+"/v1/chat/completions", strings.NewReader(string(chatBody("x", 2000, true))))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+deskKey)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
