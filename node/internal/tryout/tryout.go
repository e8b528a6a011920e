// Package tryout is "doorstack try": stand-ins and two daemons on loopback, a
// few requests, and what became of them.
package tryout

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"doorstack.dev/examples"
	"doorstack.dev/node/admin"
	"doorstack.dev/node/internal/fleet"
	"doorstack.dev/node/internal/standin"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// fastCostModel is an engine twenty times as fast as a real one, so that a try is short.
func fastCostModel() standin.CostModel {
	c := standin.DefaultCostModel()
	c.FixedStepTime /= 10
	c.PerPromptToken /= 20
	c.ContextPerMillion /= 20
	c.PerStream /= 10
	return c
}

// sampleRequest is a request of the try.
type sampleRequest struct {
	name      string
	apiKey    string
	prompt    string
	maxTokens int
}

const (
	bytesPerToken = 4
	answerTokens  = 24
)

func patientRecord(tokens int) string {
	line := "2026-01-01 08:00 referral entry, blood pressure 120/80, nothing unusual.\n"
	return strings.Repeat(line, tokens*bytesPerToken/len(line)+1)
}

func sampleRequests() []sampleRequest {
	return []sampleRequest{
		{"a slot question", "clara-santa-maria", "Is there a free slot on Tuesday?", answerTokens},
		{"a patient file", "clara-patients", patientRecord(8_000), answerTokens},
		{"a referral file", "clara-cardiology", patientRecord(120_000), answerTokens},
		{"a year of records", "clara-oncology", patientRecord(1_000_000), answerTokens},
	}
}

// Run runs the try and prints what happens to out, log lines to logs.
func Run(ctx context.Context, out, logs io.Writer, withLogs bool) error {
	o := fleet.Options{
		Settings: examples.Clara, Daemons: 2, Engines: 4, Services: 1,
		EnginePool: "llm", ServicePool: "scheduling", Model: "assistant-7b", Cost: fastCostModel(),
	}
	if withLogs {
		o.LogOutput = logs
	}
	printLine(out, "starting a platform, 4 engines, 1 service and 2 daemons on loopback")
	f, err := fleet.Start(o)
	if err != nil {
		return err
	}
	defer f.Close()
	for i, q := range sampleRequests() {
		node := f.Daemons[i%len(f.Daemons)]
		if err := sendChat(ctx, out, node, q); err != nil {
			return errors.Wrap(err, q.name)
		}
	}
	if err := confirmBooking(ctx, out, f); err != nil {
		return errors.Wrap(err, "a booking confirmation")
	}
	return printMemoryInUse(out, f)
}

func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}

// chatRequest is an OpenAI chat request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// streamEvent is the part of a streamed chunk that is looked at.
type streamEvent struct {
	Choices []struct {
		Delta chatMessage `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func sendChat(ctx context.Context, out io.Writer, node *fleet.Daemon, q sampleRequest) error {
	body, err := json.Marshal(chatRequest{Model: "assistant", Messages: []chatMessage{{"user", q.prompt}}, Stream: true, MaxTokens: q.maxTokens})
	if err != nil {
		return err
	}
	start := time.Now()
	resp, err := postWithRetry(ctx, node.URL()+"/v1/chat/completions", q.apiKey, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	first, text, err := readStream(resp, start)
	if err != nil {
		return err
	}
	printLine(out, "\n%s: %d tokens, asked %s", q.name, len(q.prompt)/bytesPerToken, node.Config.Name)
	printLine(out, "  first token after %v, all after %v", first.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	printLine(out, "  answer: %.60s...", strings.TrimSpace(text))
	return printExplanation(ctx, out, node, resp.Header.Get("X-Request-Id"))
}

// How often a refusal for a limit is followed by another try, and the wait before it: on a
// busy host an account's owner may be late to lend a daemon its part of the limit.
const (
	maxAttempts = 20
	retryDelay  = 250 * time.Millisecond
)

// postWithRetry posts, and posts again after refusals for a limit.
func postWithRetry(ctx context.Context, url, key string, body []byte) (*http.Response, error) {
	for try := 1; ; try++ {
		resp, err := post(ctx, url, key, "", body)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests || try == maxAttempts {
			return resp, err
		}
		_ = resp.Body.Close()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(retryDelay):
		}
	}
}

func post(ctx context.Context, url, key, idempotency string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	return http.DefaultClient.Do(req)
}

// readStream reads server-sent events up to the end mark.
func readStream(resp *http.Response, start time.Time) (first time.Duration, text string, err error) {
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return 0, "", errors.New(fmt.Sprintf("%s: %s", resp.Status, body))
	}
	lines := bufio.NewScanner(resp.Body)
	var answer strings.Builder
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return first, answer.String(), nil
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return 0, "", err
		}
		if e.Error != nil {
			return 0, "", errors.New(e.Error.Message)
		}
		if first == 0 {
			first = time.Since(start)
		}
		for _, c := range e.Choices {
			answer.WriteString(c.Delta.Content)
		}
	}
	return 0, "", errors.New("the stream ended without its end mark")
}

// printExplanation asks the other daemon why the request went where it went, so that the
// way between the daemons is shown too.
func printExplanation(ctx context.Context, out io.Writer, node *fleet.Daemon, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Config.Admin+"/v1/explain/"+id+"?replay=1", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var e admin.Explanation
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return err
	}
	for i := range e.Records {
		r := &e.Records[i]
		replay := ""
		if e.Replays[i].Possible {
			replay = fmt.Sprintf(", replays the same: %v", e.Replays[i].Same)
		}
		printLine(out, "  %-8s %s %s %s%s", r.Kind, r.Outcome, r.Target, r.Reason, replay)
	}
	return nil
}

// confirmBooking confirms a slot twice with one key, through both daemons.
func confirmBooking(ctx context.Context, out io.Writer, f *fleet.Fleet) error {
	const key = "clara-santa-maria"
	confirmation := uuid.Must(uuid.NewV7()).String()
	for _, node := range f.Daemons {
		resp, err := post(ctx, node.URL()+"/v1/services/confirm/slots/17", key, confirmation, []byte(`{"slot":17}`))
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		printLine(out, "\na booking confirmation through %s: %s %.80s", node.Config.Name, resp.Status, strings.TrimSpace(string(body)))
	}
	printLine(out, "  the service ran it %d time(s)", f.Services[0].Executions(confirmation))
	return nil
}

func printMemoryInUse(out io.Writer, f *fleet.Fleet) error {
	used := int64(0)
	for _, e := range f.Engines {
		used += e.UsedTokens()
	}
	printLine(out, "\nengine memory in use at the end: %d tokens", used)
	return nil
}
