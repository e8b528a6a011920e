package onplatform

import (
	"net/http"
	"testing"

	"doorstack.dev/platform/standin"
)

// meansNotExecuted reports whether a status tells callers that their call has not been executed and never
// will be.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// TestExecutedCallIsNotReportedAsNotExecuted covers a target that executes a call and whose answer is
// lost; the second target then rejects the call, asks to wait, drains or answers 503. Whatever ends
// the second attempt, the caller must not be told that its call was not executed: the caller would
// repeat the work of the first attempt, or count it as not done.
func TestExecutedCallIsNotReportedAsNotExecuted(t *testing.T) {
	lost := map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"closed":    standin.CloseConnection,
		"truncated": standin.Truncate,
		"unsigned":  standin.AnswerUnsigned,
	}
	then := map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"asks to wait":               withHeader(retryAfterHeader, "5", standin.Reject),
		"drains":                     withHeader(drainingHeader, "1", standin.Reject),
		"503 without X-Not-Executed": standin.Answer(503, "no"),
	}
	try := func(name string, run, refuse func(http.ResponseWriter, *http.Request, standin.Call)) {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			f.scriptFirstCall(run, refuse)
			a := f.newRequest(safePath)
			got := f.do(a)
			if got.Err == nil && meansNotExecuted(got.Status) {
				t.Errorf("call that was executed = %d after %d sends, want a status that does not mean not executed", got.Status, len(f.callsWithID(a.ID)))
			}
			if len(f.callsWithID(a.ID)) < 1 {
				t.Error("targets got 0 calls, want 1 at least")
			}
		})
	}
	for first, run := range lost {
		try(first+", rejected", run, standin.Reject)
	}
	for second, refuse := range then {
		try("closed, "+second, standin.CloseConnection, refuse)
	}
}

// TestNotExecutedStatusWhenAllTargetsReject checks that if all targets reject a call, its caller gets
// a status that tells that it was not executed, with Retry-After.
func TestNotExecutedStatusWhenAllTargetsReject(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.Reject)
	for _, path := range []string{safePath, unsafePath} {
		got := f.do(f.newRequest(path))
		if got.Err != nil || !meansNotExecuted(got.Status) || got.RetryAfter() == "" {
			t.Errorf("%s: call that all targets rejected = %+v, want a status for not executed with Retry-After", path, got)
		}
	}
}
