package telemetry

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestUnknownHeaderIsLoggedOnce checks that a name is logged once, and that the number of names kept is
// bounded however many targets send.
func TestUnknownHeaderIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	r := &Recorder{Log: slog.New(slog.NewJSONHandler(&out, nil)), Metrics: NewMetrics()}
	for range 3 {
		r.RecordUnknownHeaders("llm", "t1", []string{"Server-Mood"})
	}
	if n := strings.Count(out.String(), "Server-Mood"); n != 1 {
		t.Errorf("logged the header %d times, want 1", n)
	}
	for i := range 10 * maxUnknownHeaders {
		r.RecordUnknownHeaders("llm", "t1", []string{fmt.Sprint("X-", i)})
	}
	if n := testutil.ToFloat64(r.Metrics.UnknownHeaders); n != maxUnknownHeaders {
		t.Errorf("UnknownHeaders = %v, want maxUnknownHeaders", n)
	}
}
