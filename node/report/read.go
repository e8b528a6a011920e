// Package report summarizes the log lines of a fleet's daemons in an HTML page for operators: how
// many calls were in time by length of prompt, how late the others were, which filters made calls
// wait, how accurate predicted times were, and how fast daemons started.
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

// logLine holds the fields of the log lines about decisions and start stages, as node/telemetry
// writes them.
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

// Call is a request as described by the log lines of all daemons that handled it.
type Call struct {
	// Ended is when the answer ended. It is zero if the log has no end.
	Ended        time.Time
	PromptTokens int64
	// Complete reports whether the caller received the complete answer.
	Complete bool
	// FirstEvent is the time from arrival to the first event, or to the complete answer if it
	// has no events. FirstEventGoal is the route's goal for it, zero if there is none.
	FirstEvent, FirstEventGoal time.Duration
	// LongestGap is the longest time between two events, and LongestGapGoal the route's goal
	// for it, zero if there is none.
	LongestGap     time.Duration
	LongestGapGoal time.Duration
	// Waited is the time from arrival to the placement, and PredictedFirstEvent the time from
	// arrival to the first event that the placement predicted, zero if it predicted none.
	Waited, PredictedFirstEvent time.Duration
	// Refused reports whether a decision refused the request. Rejections are the numbers of
	// targets that each filter rejected in the last decision to wait or to refuse.
	Refused    bool
	Rejections map[string]int
}

// InTime reports whether the caller received the complete answer within the goals.
func (c *Call) InTime() bool {
	return c.Complete && (c.FirstEventGoal <= 0 || c.FirstEvent <= c.FirstEventGoal) && (c.LongestGapGoal <= 0 || c.LongestGap <= c.LongestGapGoal)
}

// maxLineSize is the longest log line, in bytes.
const maxLineSize = 1 << 20

// Log collects calls from the log lines of several daemons.
type Log struct {
	calls map[string]*Call
	// starts are the times from process start to each start stage, in seconds, by stage.
	starts map[string][]float64
	// Skipped counts lines that are not valid JSON.
	Skipped int
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{calls: map[string]*Call{}, starts: map[string][]float64{}} }

// Read adds the log lines from r. Text before a line's JSON object, such as a log collector's
// prefix, is ignored.
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

// addDecision adds a decision to its call.
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

// addPlacement adds a placement decision. The first one that predicts a time to the first event
// sets the prediction.
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

// addAnswer adds the end of the answer.
func (c *Call) addAnswer(entry *logLine) {
	c.Ended = entry.Time
	c.Complete = entry.Outcome == decision.OutcomeComplete
	c.FirstEvent, c.FirstEventGoal = milliseconds(entry.FirstEventMS), milliseconds(entry.FirstEventGoalMS)
	if entry.Events == 0 {
		c.FirstEvent = milliseconds(entry.TotalMS)
	}
	c.LongestGap, c.LongestGapGoal = milliseconds(entry.LongestGapMS), milliseconds(entry.LongestGapGoalMS)
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// milliseconds converts milliseconds to a duration.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
