package onplatform

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"doorstack.dev/platform/standin"
)

// TestMain lets the program of the tests also serve as a target process.
func TestMain(m *testing.M) {
	standin.ServeIfProcess()
	os.Exit(m.Run())
}

// startTargets starts target processes that answer alike, and a daemon that knows them.
func (f *fleet) startTargets(n int, plan standin.ProcessPlan) {
	f.t.Helper()
	for i := range n {
		plan.ID = fmt.Sprint("p", i+1)
		process, err := standin.StartProcess(&plan)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(process.Stop)
		f.store.PutAddress(plan.ID, process.Address, plainService, 6)
	}
	d := f.addDaemon(0)
	f.eventually("the daemon to be ready and to know the targets", func() bool {
		return f.ready(d) && len(d.Board.Targets.Addresses()) == n
	})
}

// endedAnswer is an answer that its target ends before it is whole.
type endedAnswer struct {
	path, framing, end string
	after              int
	inside             bool
}

// endedAnswers returns each combination of a route's kind, a framing, a way to end and a place in the answer.
func endedAnswers() map[string]endedAnswer {
	all := map[string]endedAnswer{}
	for _, path := range []string{safePath, unsafePath, streamPath, nonResumablePath} {
		for _, framing := range []string{standin.ByLength, standin.ByChunks, standin.ByConnection} {
			for _, end := range []string{standin.Killed, standin.Exits, standin.Restarts, standin.Resets} {
				for place, at := range map[string]endedAnswer{"begin": {}, "between": {after: 5}, "inside": {after: 5, inside: true}} {
					at.path, at.framing, at.end = path, framing, end
					all[strings.Join([]string{strings.Trim(path, "/"), framing, end, place}, " ")] = at
				}
			}
		}
	}
	return all
}

// TestAnswerOfEndedTargetIsNotWhole guards against the end of a target's process being taken for the end of its answer.
func TestAnswerOfEndedTargetIsNotWhole(t *testing.T) {
	const pieces = 8
	for name, c := range endedAnswers() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0, 0)
			plan := standin.ProcessPlan{Once: filepath.Join(t.TempDir(), "once"), Framing: c.framing, Stream: c.path == streamPath || c.path == nonResumablePath, End: c.end, After: c.after, Inside: c.inside}
			for i := range pieces {
				text := fmt.Sprintf("part %d of the answer. ", i+1)
				if plan.Stream {
					text = standin.EventText(i+1, fmt.Sprint("piece ", i+1))
				}
				plan.Pieces = append(plan.Pieces, text)
			}
			f.startTargets(2, plan)
			got := f.do(f.newRequest(c.path))
			whole := got.Err == nil && got.Status == http.StatusOK
			switch want := strings.Join(plan.Pieces, ""); {
			case whole && got.Body != want:
				t.Errorf("the answer looks whole: %q", got.Body)
			case c.path == streamPath && !whole:
				t.Errorf("answer = %d %q %v, want the whole stream, resumed at the other target", got.Status, got.Body, got.Err)
			case got.Status == http.StatusOK && !strings.HasPrefix(want, got.Body):
				t.Errorf("body %q, want the beginning of %q", got.Body, want)
			}
		})
	}
}

// TestUnconfirmedStreamGoesOnAtItsTarget guards against a sound stream without a length being broken off where its end cannot be
// confirmed and there is no other target: the target has nothing left to send.
func TestUnconfirmedStreamGoesOnAtItsTarget(t *testing.T) {
	f := newFleet(t, 0, 1)
	for i := range f.config.Services {
		f.config.Services[i].HealthPath = ""
	}
	f.store.PutConfig(f.config)
	f.waitReady(f.addDaemon(0))
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		standin.Unframed(eventStreamType, eventsAfter(c.LastEventID()), standin.EndWhole)(w, r, c)
	})
	if got := f.do(f.newRequest(streamPath)); got.Err != nil || got.Status != http.StatusOK || got.Body != eventTexts(1, 8) {
		t.Errorf("answer = %d %q %v, want the whole stream", got.Status, got.Body, got.Err)
	}
}

// TestUnframedStreamThroughRelayIsWhole covers streams without a length over a relay, whose end a daemon may see late, where the
// target closes the connection after each report and no health check names it.
func TestUnframedStreamThroughRelayIsWhole(t *testing.T) {
	f := newFleet(t, 0, 1)
	for i := range f.config.Services {
		f.config.Services[i].HealthPath = ""
	}
	f.store.PutConfig(f.config)
	for i := range 2 {
		f.addDaemon(i)
	}
	for _, d := range f.daemons {
		f.waitReady(d)
	}
	f.awaitMembership()
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		standin.Unframed(eventStreamType, eventsAfter(c.LastEventID()), standin.EndWhole)(w, r, c)
	})
	f.daemons[0].path.set(pathRefused)
	for range 3 {
		if got := f.do(f.newRequest(streamPath)); got.Err != nil || got.Status != http.StatusOK || got.Body != eventTexts(1, 8) {
			t.Errorf("answer = %d %q %v, want the whole stream", got.Status, got.Body, got.Err)
		}
	}
	if t.Failed() {
		for l := range strings.Lines(f.daemons[0].log.String()) {
			if strings.Contains(l, "decision") {
				t.Log(l)
			}
		}
	}
}
