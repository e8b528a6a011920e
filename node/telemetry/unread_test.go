package telemetry

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestUnknownHeaderIsLoggedOnce: and however many names targets make up, memory is bounded.
func TestUnknownHeaderIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	r := &Recorder{Log: slog.New(slog.NewJSONHandler(&out, nil)), Metrics: NewMetrics()}
	for range 3 {
		r.RecordUnknownHeaders("llm", "t1", []string{"Server-Mood"})
	}
	if n := strings.Count(out.String(), "Server-Mood"); n != 1 {
		t.Errorf("told %d times", n)
	}
	for i := range 10 * maxUnknownHeaders {
		r.RecordUnknownHeaders("llm", "t1", []string{fmt.Sprint("X-", i)})
	}
	if n := testutil.ToFloat64(r.Metrics.UnknownHeaders); n != maxUnknownHeaders {
		t.Errorf("%v names are remembered", n)
	}
}
