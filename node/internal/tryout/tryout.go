// Package tryout implements "doorstack try", a trial run of doorstack on loopback. It starts
// stand-ins and two daemons, sends prompts of different lengths and a service call with an
// idempotency key, and prints the answers and the decisions behind them.
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

// fastCostModel returns the costs of an engine that prefills twenty times as fast as a real
// one, so that a trial run is short.
func fastCostModel() standin.CostModel {
	c := standin.DefaultCostModel()
	c.FixedStepTime /= 10
	c.PerPromptToken /= 20
	c.ContextPerMillion /= 20
	c.PerStream /= 10
	return c
}

// sampleRequest is a chat request of the trial run.
type sampleRequest struct {
	name      string
	apiKey    string
	prompt    string
	maxTokens int
}

// bytesPerToken estimates the tokens of a text, as daemons do. answerTokens is the number of
// tokens of each answer.
const (
	bytesPerToken = 4
	answerTokens  = 24
)

// patientRecord returns a text of about the given number of tokens.
func patientRecord(tokens int) string {
	line := "2026-01-01 08:00 referral entry, blood pressure 120/80, nothing unusual.\n"
	return strings.Repeat(line, tokens*bytesPerToken/len(line)+1)
}

// sampleRequests returns the chat requests, the shortest prompt first.
func sampleRequests() []sampleRequest {
	return []sampleRequest{
		{"a slot question", "clara-santa-maria", "Is there a free slot on Tuesday?", answerTokens},
		{"a patient file", "clara-patients", patientRecord(8_000), answerTokens},
		{"a referral file", "clara-cardiology", patientRecord(120_000), answerTokens},
		{"a year of records", "clara-oncology", patientRecord(1_000_000), answerTokens},
	}
}

// Run performs the trial run and prints each step and its result to out. If withLogs is set,
// the daemons write their log lines to logs.
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
	for i, sample := range sampleRequests() {
		d := f.Daemons[i%len(f.Daemons)]
		if err := sendChat(ctx, out, d, sample); err != nil {
			return errors.Wrap(err, sample.name)
		}
	}
	if err := confirmBooking(ctx, out, f); err != nil {
		return errors.Wrap(err, "a booking confirmation")
	}
	return printMemoryInUse(out, f)
}

// printLine writes a formatted line; errors are ignored.
func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}

// chatRequest is the body of a chat completion request in the OpenAI API.
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

// streamEvent has the fields of a streamed event that the trial run uses.
type streamEvent struct {
	Choices []struct {
		Delta chatMessage `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// sendChat sends a request, and prints its times, its answer and its explanation.
func sendChat(ctx context.Context, out io.Writer, d *fleet.Daemon, sample sampleRequest) error {
	body, err := json.Marshal(chatRequest{Model: "assistant", Messages: []chatMessage{{"user", sample.prompt}}, Stream: true, MaxTokens: sample.maxTokens})
	if err != nil {
		return err
	}
	start := time.Now()
	resp, err := postWithRetry(ctx, d.URL()+"/v1/chat/completions", sample.apiKey, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	first, text, err := readStream(resp, start)
	if err != nil {
		return err
	}
	printLine(out, "\n%s: %d tokens, asked %s", sample.name, len(sample.prompt)/bytesPerToken, d.Config.Name)
	printLine(out, "  first token after %v, all after %v", first.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	printLine(out, "  answer: %.60s...", strings.TrimSpace(text))
	return printExplanation(ctx, out, d, resp.Header.Get("X-Request-Id"))
}

// maxAttempts bounds how often postWithRetry sends a request, and retryDelay is the pause
// after a refusal: on a busy host the daemon that divides an account's limit among the daemons
// may be late in granting a share.
const (
	maxAttempts = 20
	retryDelay  = 250 * time.Millisecond
)

// postWithRetry sends a POST request, and repeats it while it is refused with status 429.
func postWithRetry(ctx context.Context, url, apiKey string, body []byte) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		resp, err := post(ctx, url, apiKey, "", body)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests || attempt == maxAttempts {
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

// post sends a POST request, with an idempotency key if it is not empty.
func post(ctx context.Context, url, apiKey, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return http.DefaultClient.Do(req)
}

// readStream reads the server-sent events of an answer up to [DONE]. It returns the time from
// start to the first event, and the text.
func readStream(resp *http.Response, start time.Time) (first time.Duration, text string, err error) {
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return 0, "", errors.New(fmt.Sprintf("%s: %s", resp.Status, body))
	}
	scanner := bufio.NewScanner(resp.Body)
	var answer strings.Builder
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
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
	return 0, "", errors.New("the stream ended without [DONE]")
}

// printExplanation requests the explanation of a request from a daemon and prints its
// decisions, each with the result of its replay if one is possible.
func printExplanation(ctx context.Context, out io.Writer, d *fleet.Daemon, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Config.Admin+"/v1/explain/"+id+"?replay=1", nil)
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

// confirmBooking sends the same booking confirmation, with one idempotency key, through both
// daemons and prints how often the service executed it.
func confirmBooking(ctx context.Context, out io.Writer, f *fleet.Fleet) error {
	const apiKey = "clara-santa-maria"
	confirmation := uuid.Must(uuid.NewV7()).String()
	for _, d := range f.Daemons {
		resp, err := post(ctx, d.URL()+"/v1/services/confirm/slots/17", apiKey, confirmation, []byte(`{"slot":17}`))
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		printLine(out, "\na booking confirmation through %s: %s %.80s", d.Config.Name, resp.Status, strings.TrimSpace(string(body)))
	}
	printLine(out, "  the service ran it %d time(s)", f.Services[0].Executions(confirmation))
	return nil
}

// printMemoryInUse prints the memory in use at all engines.
func printMemoryInUse(out io.Writer, f *fleet.Fleet) error {
	used := int64(0)
	for _, e := range f.Engines {
		used += e.UsedTokens()
	}
	printLine(out, "\nengine memory in use at the end: %d tokens", used)
	return nil
}
