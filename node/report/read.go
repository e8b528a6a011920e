// Package report turns the log lines of a fleet into a page that a person can look at:
// what was in time, how late the rest was by length of prompt, who waited for what, and
// how well times were foreseen.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/routing"
	"github.com/go-faster/errors"
)

// logLine is what is read of a line of the decision log; node/telemetry writes it.
type logLine struct {
	Time                       time.Time      `json:"time"`
	Message                    string         `json:"msg"`
	Kind                       decision.Kind  `json:"kind"`
	Outcome                    string         `json:"outcome"`
	Request                    string         `json:"request"`
	Pool                       string         `json:"pool"`
	Reason                     string         `json:"reason"`
	PromptTokens               int64          `json:"prompt_tokens"`
	WaitedSeconds              float64        `json:"waited_s"`
	PredictedFirstEventSeconds float64        `json:"foreseen_s"`
	Rejections                 map[string]int `json:"rejections"`
	Events                     int            `json:"events"`
	FirstEventMS               int64          `json:"first_ms"`
	LongestGapMS               int64          `json:"gap_ms"`
	TotalMS                    int64          `json:"took_ms"`
	FirstEventGoalMS           int64          `json:"goal_ms"`
	LongestGapGoalMS           int64          `json:"gap_goal_ms"`
	Stage                      string         `json:"stage"`
	AfterMS                    int64          `json:"after_ms"`
}

// Call is what the log tells of one request.
type Call struct {
	Ended        time.Time
	PromptTokens int64
	// Whole is true if the caller has the whole answer.
	Complete bool
	// First is the time from arrival to the first event, or to the whole answer where it
	// has no events. Goal is what the route asks of it; zero asks nothing.
	FirstEvent, FirstEventGoal time.Duration
	LongestGap                 time.Duration
	LongestGapGoal             time.Duration
	// Waited is how long the placement took, and Foreseen the time to the first event
	// that it told; zero where none was foreseen.
	Waited, PredictedFirstEvent time.Duration
	// Refused is true if a decision refused the request, and Filters are what the last
	// one to wait or refuse found wrong with the targets.
	Refused    bool
	Rejections map[string]int
}

// InTime tells whether the caller has the whole answer and had it in time.
func (c *Call) InTime() bool {
	return c.Complete && (c.FirstEventGoal <= 0 || c.FirstEvent <= c.FirstEventGoal) && (c.LongestGapGoal <= 0 || c.LongestGap <= c.LongestGapGoal)
}

// maxLineSize bounds a log line, in bytes.
const maxLineSize = 1 << 20

// Log collects the calls of the lines of several daemons.
type Log struct {
	calls map[string]*Call
	// starts are the times, in seconds, after which daemons came to each stage of their starts.
	starts map[string][]float64
	// Skipped counts lines that are no JSON.
	Skipped int
}

// NewLog returns a log without calls.
func NewLog() *Log { return &Log{calls: map[string]*Call{}, starts: map[string][]float64{}} }

// Read takes the lines of one source in. What a log collector puts before a line's
// object is passed over.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var entry logLine
		if err := json.Unmarshal(text[start:], &entry); err != nil {
			l.Skipped++
			continue
		}
		switch {
		case entry.Message == "decision" && entry.Request != "":
			l.addDecision(&entry)
		case entry.Message == startMessage:
			l.starts[entry.Stage] = append(l.starts[entry.Stage], milliseconds(entry.AfterMS).Seconds())
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read the log")
	}
	return nil
}

func (l *Log) addDecision(entry *logLine) {
	c := l.calls[entry.Request]
	if c == nil {
		c = &Call{}
		l.calls[entry.Request] = c
	}
	switch entry.Kind {
	case decision.KindRoute, decision.KindPlace:
		c.addPlacement(entry)
	case decision.KindAnswer:
		c.addAnswer(entry)
	}
}

func (c *Call) addPlacement(entry *logLine) {
	c.PromptTokens = max(c.PromptTokens, entry.PromptTokens)
	if entry.Outcome != string(routing.Place) {
		c.Refused = c.Refused || entry.Outcome == string(routing.Refuse)
		c.Rejections = entry.Rejections
		return
	}
	if c.PredictedFirstEvent == 0 {
		c.PredictedFirstEvent = seconds(entry.PredictedFirstEventSeconds)
		c.Waited = seconds(entry.WaitedSeconds)
	}
}

func (c *Call) addAnswer(entry *logLine) {
	c.Ended = entry.Time
	c.Complete = entry.Outcome == decision.OutcomeComplete
	c.FirstEvent, c.FirstEventGoal = milliseconds(entry.FirstEventMS), milliseconds(entry.FirstEventGoalMS)
	if entry.Events == 0 {
		c.FirstEvent = milliseconds(entry.TotalMS)
	}
	c.LongestGap, c.LongestGapGoal = milliseconds(entry.LongestGapMS), milliseconds(entry.LongestGapGoalMS)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
