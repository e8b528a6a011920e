package main

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/routing"
	"doorstack.dev/node/admin"
	"github.com/go-faster/errors"
)

// explainCommand shows the recorded decisions about a request.
type explainCommand struct {
	adminFlags
	Request string `arg:"" help:"The request id, as in X-Request-Id."`
	Replay  bool   `help:"Compute each decision again from its record and compare."`
}

// Run implements the command.
func (c *explainCommand) Run() error {
	query := ""
	if c.Replay {
		query = "?replay=1"
	}
	var e admin.Explanation
	if err := c.getJSON("/v1/explain/"+url.PathEscape(c.Request)+query, &e, true); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e)
	}
	printExplanation(os.Stdout, &e)
	if len(e.Records) == 0 {
		return errors.New("there is no record of request " + c.Request)
	}
	return replayError(&e)
}

// replayError returns an error if the replay of a decision gave another result.
func replayError(e *admin.Explanation) error {
	for i := range e.Replays {
		if e.Replays[i].Possible && !e.Replays[i].Same {
			return errors.New("the replay of a decision gave another result; this is a bug, please report it with the output of --json")
		}
	}
	return nil
}

// printExplanation writes the records of a request and the results of their replays.
func printExplanation(out io.Writer, e *admin.Explanation) {
	if e.Note != "" {
		_, _ = fmt.Fprintln(out, "note:", e.Note)
	}
	for i := range e.Records {
		r := &e.Records[i]
		_, _ = fmt.Fprintf(out, "%s  %s  %s  %s\n", r.At.Format(time.StampMilli), r.Daemon, r.Kind, recordSummary(r))
		if r.Routing != nil {
			printRouting(out, r.Routing)
		}
		if i < len(e.Replays) && e.Replays[i].Possible {
			_, _ = fmt.Fprintf(out, "    replay: %s, same: %v\n", e.Replays[i].Outcome, e.Replays[i].Same)
		}
	}
}

// recordSummary returns the outcome of a decision in one line.
func recordSummary(r *decision.Record) string {
	words := []string{r.Outcome}
	if r.Target != "" {
		words = append(words, "target "+r.Target)
	}
	if r.Reason != "" {
		words = append(words, "("+r.Reason+")")
	}
	if r.Status != 0 {
		words = append(words, fmt.Sprintf("status %d, ended by its %s", r.Status, r.Framing))
	}
	if r.Limit != nil && r.Limit.Limit != "" {
		words = append(words, "limit "+string(r.Limit.Limit))
	}
	if c := r.Claim; c != nil {
		words = append(words, fmt.Sprintf("granted %d of %d needed, denied %d, silent %d", c.Granted, c.Needed, c.Denied, c.Unanswered))
	}
	return strings.Join(words, " ")
}

// printRouting writes the candidates with their filter results and scores.
func printRouting(out io.Writer, d *routing.Decision) {
	_, _ = fmt.Fprintf(out, "    prompt %d tokens, %d targets considered, rejected: %s\n", d.Request.PromptTokens, d.Considered, formatRejections(&d.Rejections))
	t := newTable(out, "    TARGET", "RESULT", "TOTAL", "PREFILL", "BACKLOG", "BATCH", "MEMORY", "LONG", "REMOTE", "SAVED", "USED", "REPORT AGE")
	for i := range d.Candidates {
		c := &d.Candidates[i]
		result := "candidate"
		if c.Rejected != "" {
			result = "rejected: " + string(c.Rejected)
		} else if c.Target.ID == d.Chosen {
			result = "chosen"
		}
		s := &c.Scores
		t.addRow("    "+c.Target.ID, result, formatMilliseconds(s.Total()), formatMilliseconds(s.Prefill), formatMilliseconds(s.Backlog), formatMilliseconds(s.Batch), formatMilliseconds(s.Memory), formatMilliseconds(s.Interference), formatMilliseconds(s.Locality), formatMilliseconds(s.PrefixSaved),
			fmt.Sprintf("%d/%d", c.Target.Load.MemoryTokens, c.Target.MemoryTokens), c.Target.ReportAge.Round(time.Millisecond))
	}
	t.flush()
}

// formatMilliseconds formats a time given in seconds.
func formatMilliseconds(seconds float64) string { return fmt.Sprintf("%.1fms", seconds*1000) }

// formatRejections lists how many targets each filter rejected.
func formatRejections(r *routing.Rejections) string {
	var parts []string
	for _, n := range r.Counts() {
		if n.Count > 0 {
			parts = append(parts, fmt.Sprintf("%d by %s", n.Count, n.Filter))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
