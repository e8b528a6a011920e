package onplatform

import (
	"net/http"
	"testing"

	"doorstack.dev/platform/standin"
)

// meansNotExecuted tells whether callers take a status as the word that their call has not run and never
// will.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// TestNoNotExecutedStatusAfterLostAnswer: a target runs a call to its end and its answer is lost; every
// other target then has no room, wants rest, cannot be reached, or is gone. Whatever ends the second
// attempt, the caller is not told that its call has not run: the work of the first would be done
// again, or lost where the caller believes the word.
func TestNoNotExecutedStatusAfterLostAnswer(t *testing.T) {
	lost := map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"cut":       standin.CloseConnection,
		"truncated": standin.Truncate,
		"unsigned":  standin.AnswerUnsigned,
	}
	then := map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"wants rest":       withHeader(retryAfterHeader, "5", standin.Reject),
		"leaves":           withHeader(drainingHeader, "1", standin.Reject),
		"503 without word": standin.Answer(503, "no"),
	}
	try := func(name string, run, refuse func(http.ResponseWriter, *http.Request, standin.Call)) {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			f.scriptFirstCall(run, refuse)
			a := f.newRequest(safePath)
			got := f.do(a)
			if got.Err == nil && meansNotExecuted(got.Status) {
				t.Errorf("the caller is told %d after %d sends", got.Status, len(f.callsWithID(a.ID)))
			}
			if len(f.callsWithID(a.ID)) < 1 {
				t.Error("no target got the call")
			}
		})
	}
	for first, run := range lost {
		try(first+", turned away", run, standin.Reject)
	}
	for second, refuse := range then {
		try("cut, "+second, standin.CloseConnection, refuse)
	}
}

// TestNotExecutedStatusWhenAllTargetsReject: where every target turned the call away the caller is told so, and when
// to come back.
func TestNotExecutedStatusWhenAllTargetsReject(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.Reject)
	for _, path := range []string{safePath, unsafePath} {
		got := f.do(f.newRequest(path))
		if got.Err != nil || !meansNotExecuted(got.Status) || got.RetryAfter() == "" {
			t.Errorf("%s: %+v", path, got)
		}
	}
}
