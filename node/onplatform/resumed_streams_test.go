package onplatform

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"doorstack.dev/platform/standin"
)

// answerTyped answers with a signed body of a status and a content type.
func answerTyped(status int, contentType, body string) func(http.ResponseWriter, *http.Request, standin.Call) {
	return func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		w.Header().Set("Content-Type", contentType)
		standin.Answer(status, body)(w, r, c)
	}
}

// TestOnlyAStreamContinuesAStream guards against other bytes being appended to a stream that broke off: whatever the
// target that resumes it answers, the caller gets only events of the stream, and no complete answer without all of them.
func TestOnlyAStreamContinuesAStream(t *testing.T) {
	const text = "{\"error\":{\"message\":\"The model does not exist.\",\"code\":404}}\n\n"
	for name, second := range map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"not found":               answerTyped(404, "application/json", text),
		"not found, as a stream":  answerTyped(404, "text/event-stream", text),
		"too large":               answerTyped(413, "application/json", text),
		"moved":                   answerTyped(301, "text/plain", text),
		"partial content":         answerTyped(206, "text/event-stream", eventTexts(6, 8)),
		"no content":              answerTyped(204, "text/event-stream", ""),
		"success, not a stream":   answerTyped(200, "application/json", text),
		"failure":                 answerTyped(500, "application/json", text),
		"stream without a status": standin.AnswerUnsigned,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 3)
			f.scriptFirstCall(standin.AnswerStream(1, 5, true), second)
			got := f.do(f.newRequest(streamPath))
			if got.Err == nil && got.Status == http.StatusOK {
				t.Errorf("the answer looks whole: %q", got.Body)
			}
			if !strings.HasPrefix(eventTexts(1, 8), got.Body) {
				t.Errorf("body %q, want a prefix of the stream", got.Body)
			}
		})
	}
}

// TestStreamGoesOnAfterAnErrorAnswer covers a stream that breaks off, meets a target that answers with an error, and has
// an attempt left.
func TestStreamGoesOnAfterAnErrorAnswer(t *testing.T) {
	f := newFleet(t, 1, 4)
	next := f.config
	next.Version++
	for i := range next.Routes {
		next.Routes[i].MaxAttempts = 3
	}
	f.store.PutConfig(next)
	f.eventually("the new attempts", func() bool { return f.settingsRevision(f.daemons[0]) > 1 })
	f.allowRepeats()
	answerRest := func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		from := 0
		_, _ = fmt.Sscan(c.LastEventID(), &from)
		standin.AnswerStream(from+1, 8, false)(w, r, c)
	}
	var calls atomic.Int64
	f.scriptFirstCall(standin.AnswerStream(1, 5, true), func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		if calls.Add(1) == 1 {
			answerTyped(404, "application/json", "no such model")(w, r, c)
			return
		}
		answerRest(w, r, c)
	})
	if got := f.do(f.newRequest(streamPath)); got.Err != nil || got.Status != http.StatusOK || got.Body != eventTexts(1, 8) {
		t.Errorf("answer = %d %q %v, want the whole stream", got.Status, got.Body, got.Err)
	}
}

// TestStreamFromIDZero covers streams whose first event has the id 0: they are delivered, and resumed after that event.
func TestStreamFromIDZero(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.scriptFirstCall(standin.AnswerStream(0, 0, true), func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		if c.LastEventID() != "0" {
			t.Errorf("resumed after %q, want 0", c.LastEventID())
		}
		standin.AnswerStream(1, 3, false)(w, r, c)
	})
	if got := f.do(f.newRequest(streamPath)); got.Err != nil || got.Status != http.StatusOK || got.Body != eventTexts(0, 3) {
		t.Errorf("answer = %d %q %v, want the whole stream", got.Status, got.Body, got.Err)
	}
}

// TestStreamWithoutIDsIsNotRepeated guards against events that the caller gets twice: a stream of which it has some events
// and no id cannot be resumed.
func TestStreamWithoutIDsIsNotRepeated(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.scriptAll(standin.Unframed("text/event-stream", "data: a\n\ndata: b\n\ndata: c\n\n", standin.EndInside))
	got := f.do(f.newRequest(streamPath))
	if got.Err == nil && got.Status == http.StatusOK || strings.Count(got.Body, "data: a") > 1 {
		t.Errorf("answer = %d %q %v, want a broken stream with each event once", got.Status, got.Body, got.Err)
	}
}

// TestSkippedEventsAreReported guards against a resumed stream that leaves events out without any sign of it.
func TestSkippedEventsAreReported(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.scriptFirstCall(standin.AnswerStream(1, 5, true), standin.AnswerStream(7, 8, false))
	f.do(f.newRequest(streamPath))
	f.eventually("the log line and the metric", func() bool {
		return strings.Contains(f.daemons[0].log.String(), `"sends":2`) && strings.Contains(f.daemons[0].log.String(), `"skipped":1`) &&
			strings.Contains(f.metrics(f.daemons[0]), `doorstack_skipped_events_total{pool="svc"} 1`)
	})
}
