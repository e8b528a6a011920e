package onplatform

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"doorstack.dev/platform/standin"
)

// badPart is the id of a prompt part that crashes each engine which begins to answer a prompt with it.
const badPart = "bad0"

// promptParts returns the header value of a prompt with the given shared parts and a part of its own.
func (f *fleet) promptParts(shared ...string) string {
	f.lastID++
	return strings.Join(append(shared, fmt.Sprintf("%x", f.lastID)), ":100,") + ":100"
}

// newPromptTo returns a request to daemon d for a prompt with the given shared parts and a body of its own.
func (f *fleet) newPromptTo(d *testDaemon, shared ...string) *standin.CallerRequest {
	a := f.newRequestTo(d, promptPath, "")
	a.PromptParts, a.TokenCounts = f.promptParts(shared...), "400,100"
	a.Body = "prompt " + a.PromptParts
	return a
}

// TestFailedAttemptNamesPartsAndEvents checks that the log tells which prompts an engine had when it crashed:
// by the ids of their shared parts, and how far their answers had come.
func TestFailedAttemptNamesPartsAndEvents(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.addTarget("e1", engineService, 8)
	f.waitReady(f.daemons[0])
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		standin.AnswerStream(1, 2, true)(w, r, c)
	})
	a := f.newPromptTo(f.daemons[0], "aa", badPart)
	a.DeadlineMS = 500 // There is no second engine to resume at.
	f.do(a)
	f.eventually("the line of the failed attempt", func() bool {
		for line := range strings.Lines(f.daemons[0].log.String()) {
			if strings.Contains(line, `"kind":"attempt"`) && strings.Contains(line, `"shared_parts":["aa","bad0"]`) && strings.Contains(line, `"events_received":2`) {
				return true
			}
		}
		return false
	})
}
