package telemetry

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestAHeaderThatNothingReadsIsToldOnce: and however many names targets make up, memory is bounded.
func TestAHeaderThatNothingReadsIsToldOnce(t *testing.T) {
	var out bytes.Buffer
	r := &Recorder{Log: slog.New(slog.NewJSONHandler(&out, nil)), Metrics: NewMetrics()}
	for range 3 {
		r.Unread("llm", "t1", []string{"Server-Mood"})
	}
	if n := strings.Count(out.String(), "Server-Mood"); n != 1 {
		t.Errorf("told %d times", n)
	}
	for i := range 10 * mostUnread {
		r.Unread("llm", "t1", []string{fmt.Sprint("X-", i)})
	}
	if n := testutil.ToFloat64(r.Metrics.UnreadHeaders); n != mostUnread {
		t.Errorf("%v names are remembered", n)
	}
}
