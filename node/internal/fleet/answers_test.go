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

// TestOpenAIClientLibrary checks that OpenAI's Go client works with a daemon.
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
	completion, err := client.Chat.Completions.New(context.Background(), params)
	if err != nil || completion.Choices[0].Message.Content != want {
		t.Fatalf("Completions.New: %v, %+v; want content %q", err, completion, want)
	}
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if stream.Err() != nil || text.String() != want {
		t.Fatalf("Completions.NewStreaming: %v, text %q; want %q", stream.Err(), text.String(), want)
	}
	models, err := client.Models.List(context.Background())
	if err != nil || len(models.Data) != 3 {
		t.Fatalf("Models.List: %v, %+v; want three models", err, models)
	}
	wrong := openai.NewClient(option.WithBaseURL(f.Daemons[0].URL()+"/v1"), option.WithAPIKey("no"), option.WithMaxRetries(0))
	if _, err := wrong.Chat.Completions.New(context.Background(), params); err == nil {
		t.Fatal("Completions.New with an unknown API key succeeded")
	}
}

// TestMisbehavingEngineDoesNotCorruptAnswer checks that callers get a complete and correct
// answer or an error when an engine reorders, repeats, mixes, truncates or refuses streams.
func TestMisbehavingEngineDoesNotCorruptAnswer(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		faults   standin.Faults
		complete bool
	}{
		"reordered":  {standin.Faults{ReorderChunks: true}, true},
		"duplicated": {standin.Faults{DuplicateChunks: true}, true},
		"foreign":    {standin.Faults{OtherAttemptChunks: true}, true},
		"truncated":  {standin.Faults{TruncateAfter: 5}, true}, // continued by the second engine
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
				if c.complete && r.err != nil {
					t.Fatalf("chat with engine fault %q: error %q, want a complete answer", name, r.err.Message)
				}
			}
			awaitIdleDaemons(t, f)
			awaitMemoryFreed(t, f)
		})
	}
}

// TestAnswerContinuesAfterEngineFailure checks that another engine continues an answer,
// without repeated tokens and long before the deadline, after its engine has failed. The
// engine closes its connections, or keeps them open without answering.
func TestAnswerContinuesAfterEngineFailure(t *testing.T) {
	t.Parallel()
	for name, injectFault := range map[string]func(*Engine){
		"closes its connections": func(e *Engine) { e.Server.Close() },
		"does not answer":        func(e *Engine) { e.SetFaults(standin.Faults{Hanging: true}) },
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
			eventually(t, "the first engine uses memory", func() bool { return f.Engines[0].UsedTokens() > 0 })
			injectFault(f.Engines[0])
			wg.Wait()
			for _, r := range replies {
				checkAnswer(t, r, "long talk", tokens)
				if r.err != nil {
					t.Errorf("error %q, want a complete answer from the two remaining engines", r.err.Message)
				}
			}
			awaitIdleDaemons(t, f)
		})
	}
}

// TestInvalidRequestsAreRejected checks the error that an invalid request gets, and that it
// is neither in flight nor queued afterwards.
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
			t.Errorf("%s: error %+v, request ID %q; want not_run, a remedy and a request ID", name, r.err, r.requestID)
		}
	}
	if got := doCall(t, d, call{method: http.MethodGet, path: "/v1/models", apiKey: deskKey}); got.status != 200 {
		t.Errorf("GET /v1/models: got %s, want 200", describe(got))
	}
	awaitIdleDaemons(t, f)
}

// TestDisconnectFreesEngineMemory checks that a request is ended, and its engine memory is
// freed, after its caller has disconnected.
func TestDisconnectFreesEngineMemory(t *testing.T) {
	t.Parallel()
	o := claraOptions(1, 1)
	o.Cost.FixedStepTime = waitTimeout / 1000 // The answer takes longer than waitTimeout.
	f := startFleet(t, o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil { // A refused request is sent again.
			readUntilCancelled(ctx, f.Daemons[0])
		}
	}()
	eventually(t, "the engine uses memory", func() bool { return f.Engines[0].UsedTokens() > 0 })
	cancel()
	<-done
	awaitIdleDaemons(t, f)
	awaitMemoryFreed(t, f)
}

// readUntilCancelled requests a long answer and reads it until ctx ends.
func readUntilCancelled(ctx context.Context, d *Daemon) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.URL()+"/v1/chat/completions", strings.NewReader(string(chatBody("x", 2000, true))))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+deskKey)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
