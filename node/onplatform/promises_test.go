package onplatform

import (
	"net/http"
	"testing"

	"doorstack.dev/platform/standin"
)

// promised tells whether callers take a status as the word that their call has not run and never
// will.
func promised(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// TestNoPromiseAfterARunThatWasLost: a target runs a call to its end and its answer is lost; every
// other target then has no room, wants rest, cannot be reached, or is gone. Whatever ends the second
// attempt, the caller is not told that its call has not run: the work of the first would be done
// again, or lost where the caller believes the word.
func TestNoPromiseAfterARunThatWasLost(t *testing.T) {
	lost := map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"cut":       standin.CloseConnection,
		"truncated": standin.Truncate,
		"unsigned":  standin.AnswerUnsigned,
	}
	then := map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"wants rest":       words(restHeader, "5", standin.Reject),
		"leaves":           words(leavingHeader, "1", standin.Reject),
		"503 without word": standin.Answer(503, "no"),
	}
	try := func(name string, run, refuse func(http.ResponseWriter, *http.Request, standin.Call)) {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			f.scriptOnce(run, refuse)
			a := f.ask(safe)
			got := f.do(a)
			if got.Err == nil && promised(got.Status) {
				t.Errorf("the caller is told %d after %d sends", got.Status, len(f.calls(a.ID)))
			}
			if len(f.calls(a.ID)) < 1 {
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

// TestAPromiseWhereNothingRan: where every target turned the call away the caller is told so, and when
// to come back.
func TestAPromiseWhereNothingRan(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.Reject)
	for _, path := range []string{safe, unsafe} {
		got := f.do(f.ask(path))
		if got.Err != nil || !promised(got.Status) || got.RetryAfter() == "" {
			t.Errorf("%s: %+v", path, got)
		}
	}
}
