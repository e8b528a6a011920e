package onplatform

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

func TestCallIsForwardedUnchanged(t *testing.T) {
	f := newFleet(t, 1, 1)
	a := f.newRequest(unsafePath)
	a.Body = "the body"
	got := f.do(a)
	if got.Err != nil || got.Status != 200 || got.Body != "ok" || !got.Signed() || got.Header.Get("X-Request-Id") != a.ID {
		t.Fatalf("unsafe call = %+v, want a signed 200 with body ok and request id %s", got, a.ID)
	}
	calls := f.callsWithID(a.ID)
	if len(calls) != 1 {
		t.Fatalf("targets got %d calls, want 1", len(calls))
	}
	c := calls[0]
	if c.Method != "POST" || c.URI != unsafePath+"x?q=1" || c.Body != a.Body || c.Account() != "a" || c.APIKey() != "" || c.TargetID() != "t1" {
		t.Fatalf("target got %+v, account %q, API key %q, target id %q; want the call unchanged, account a, no API key and target id t1", c, c.Account(), c.APIKey(), c.TargetID())
	}
	if left, err := strconv.Atoi(c.DeadlineMS()); err != nil || left > a.DeadlineMS || left < a.DeadlineMS-1000 {
		t.Fatalf("target got a deadline of %q ms, want at most 1000 ms less than the caller's %d ms", c.DeadlineMS(), a.DeadlineMS)
	}
}

func TestRoutingAndAuthentication(t *testing.T) {
	f := newFleet(t, 1, 1)
	for name, c := range map[string]struct {
		change func(*standin.CallerRequest)
		status int
	}{
		"unknown path": {func(a *standin.CallerRequest) { a.Path = "/nothing/" }, 404},
		"unknown host": {func(a *standin.CallerRequest) { a.Host = "other.example" }, 404},
		"unknown key":  {func(a *standin.CallerRequest) { a.APIKey = "wrong" }, 401},
		"no key":       {func(a *standin.CallerRequest) { a.APIKey = "" }, 401},
		"no auth":      {func(a *standin.CallerRequest) { a.Path, a.APIKey = noAuthPath, "" }, 200},
	} {
		a := f.newRequest(safePath)
		c.change(a)
		if got := f.do(a); got.Status != c.status || got.Signed() != (c.status == 200) {
			t.Errorf("%s: status = %d, signed = %v, want status %d", name, got.Status, got.Signed(), c.status)
		}
	}
}

// TestDaemonWithoutConfigurationAnswers503 checks that a daemon without a configuration is not ready and
// answers 503 with Retry-After. It cannot tell whether the call's API key and path are valid, so that
// the answer must not be 401 or 404.
func TestDaemonWithoutConfigurationAnswers503(t *testing.T) {
	f := &fleet{t: t, store: standin.NewStore(), client: http.DefaultClient, targets: map[string]*standin.Target{}}
	d := f.addDaemon(0)
	var got standin.CallerResponse
	f.eventually("the daemon to answer", func() bool {
		got = f.do(f.newRequest(safePath))
		return got.Err == nil
	})
	if got.Status != 503 || got.Header.Get("Retry-After") == "" || f.ready(d) {
		t.Fatalf("call without a configuration = %+v, want 503 with Retry-After and a daemon that is not ready", got)
	}
}

func TestUnsafeCallIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		script func(http.ResponseWriter, *http.Request, standin.Call)
		status int
		signed bool
	}{
		"closed":                     {standin.CloseConnection, 502, false},
		"500":                        {standin.Answer(500, "no"), 500, true},
		"503 without X-Not-Executed": {standin.Answer(503, "no"), 502, false},
		"429 without X-Not-Executed": {standin.Answer(429, "no"), 502, false},
		"truncated":                  {standin.Truncate, 502, false},
		"unsigned":                   {standin.AnswerUnsigned, 502, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			f.scriptAll(c.script)
			a := f.newRequest(unsafePath)
			got := f.do(a)
			if got.Err != nil || got.Status != c.status || got.Signed() != c.signed {
				t.Errorf("unsafe call = %+v, want status %d, signed %v", got, c.status, c.signed)
			}
			if n := len(f.callsWithID(a.ID)); n != 1 {
				t.Errorf("targets got %d calls, want 1", n)
			}
		})
	}
}

// TestRejectionIsNotHeldUpByItsBody guards against calls that wait for the body of a rejection, whose head says that another
// target may run them.
func TestRejectionIsNotHeldUpByItsBody(t *testing.T) {
	for path, answer := range map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		unsafePath: standin.Succeed("ok"), safePath: standin.Succeed("ok"), streamPath: standin.AnswerStream(1, 3, false),
	} {
		t.Run(path, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			f.scriptFirstCall(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
				w.Header().Set("Content-Length", "100")
				standin.Reject(w, r, c)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}, answer)
			a := f.newRequest(path)
			a.DeadlineMS = 1000 // Less than the time after which a silent target is left.
			if got := f.do(a); got.Status != 200 || len(f.callsWithID(a.ID)) != 2 {
				t.Errorf("%+v after %d calls to targets, want the second target's answer", got, len(f.callsWithID(a.ID)))
			}
		})
	}
}

// TestTargetConnectionsAreReused checks that consecutive calls to a target share one connection.
func TestTargetConnectionsAreReused(t *testing.T) {
	f := newFleet(t, 1, 1)
	var mu sync.Mutex
	from := map[string]bool{}
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		mu.Lock()
		from[r.RemoteAddr] = true
		mu.Unlock()
		if strings.HasPrefix(c.URI, streamPath) {
			standin.AnswerStream(1, 3, false)(w, r, c)
			return
		}
		standin.Succeed("ok")(w, r, c)
	})
	for range 3 {
		for _, path := range []string{safePath, unsafePath, streamPath} {
			if got := f.do(f.newRequest(path)); got.Status != 200 {
				t.Fatalf("call of %s = %+v, want 200", path, got)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(from) != 1 {
		t.Errorf("nine consecutive calls used %d connections, want 1", len(from))
	}
}

func TestSafeCallIsRetriedAtAnotherTarget(t *testing.T) {
	for name, first := range map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"closed": standin.CloseConnection, "500": standin.Answer(500, "no"), "truncated": standin.Truncate,
		"rejected": standin.Reject, "503 without X-Not-Executed": standin.Answer(503, "no"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			f.scriptFirstCall(first, standin.Succeed("second"))
			a := f.newRequest(safePath)
			if got := f.do(a); got.Status != 200 || got.Body != "second" {
				t.Errorf("safe call = %+v, want 200 from the second target", got)
			}
			if calls := f.callsWithID(a.ID); len(calls) != 2 || calls[0].TargetID() == calls[1].TargetID() {
				t.Errorf("targets got %d calls, want one at each of two targets", len(calls))
			}
		})
	}
}

// TestLastTargetFailureIsReturnedUnchanged checks that if all targets fail, the caller gets the answer
// of the last one unchanged.
func TestLastTargetFailureIsReturnedUnchanged(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.Answer(500, "broken"))
	if got := f.do(f.newRequest(safePath)); got.Status != 500 || got.Body != "broken" || !got.Signed() {
		t.Fatalf("safe call = %+v, want the target's signed 500", got)
	}
}

// TestNotExecutedStatusOnlyForUnexecutedCalls checks that a call that all targets rejected is answered
// with 503 and Retry-After, which tell the caller that it was not executed. A call that the first
// target may have executed gets neither 503 nor 429.
func TestNotExecutedStatusOnlyForUnexecutedCalls(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.Reject)
	got := f.do(f.newRequest(unsafePath))
	if got.Status != 503 || got.Signed() || got.Header.Get("Retry-After") == "" {
		t.Fatalf("call that all targets rejected = %+v, want 503 with Retry-After", got)
	}
	g := newFleet(t, 1, 2)
	g.scriptFirstCall(standin.CloseConnection, standin.Reject)
	if got := g.do(g.newRequest(safePath)); got.Status == 503 || got.Status == 429 {
		t.Fatalf("call that may have been executed = %+v, want neither 503 nor 429", got)
	}
}

func TestBrokenStreamResumesAtAnotherTarget(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptFirstCall(standin.AnswerStream(1, 3, true), standin.AnswerStream(4, 6, false))
	a := f.newRequest(streamPath)
	got := f.do(a)
	if got.Err != nil || got.Status != 200 || got.Body != eventTexts(1, 6) || got.Signature() != "sign from 1" {
		t.Fatalf("stream = %+v, want events 1 to 6 with the first target's signature", got)
	}
	calls := f.callsWithID(a.ID)
	if len(calls) != 2 || calls[0].LastEventID()+calls[1].LastEventID() != "3" {
		t.Fatalf("targets got %d calls with Last-Event-Id %q and %q, want 2 calls, the second one after event 3", len(calls), calls[0].LastEventID(), calls[1].LastEventID())
	}
}

// TestNonResumableStreamEndsWithError checks that a stream that must not be resumed, and breaks, ends
// for the caller with a transport error, after a whole event.
func TestNonResumableStreamEndsWithError(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.AnswerStream(1, 3, true))
	a := f.newRequest(nonResumablePath)
	got := f.do(a)
	if got.Err == nil || got.Body != eventTexts(1, 3) {
		t.Fatalf("broken stream: err = %v, body = %q, want an error after events 1 to 3", got.Err, got.Body)
	}
	if n := len(f.callsWithID(a.ID)); n != 1 {
		t.Fatalf("targets got %d calls, want 1", n)
	}
}

// TestRestartedStreamIsNotAppended covers a second target that does not resume a broken stream but
// starts again from the first event: its events are not appended to the first target's, so that the
// caller gets no event twice.
func TestRestartedStreamIsNotAppended(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptFirstCall(standin.AnswerStream(1, 3, true), standin.AnswerStream(1, 6, false))
	got := f.do(f.newRequest(streamPath))
	if got.Err == nil || got.Body != eventTexts(1, 3) {
		t.Fatalf("broken stream: err = %v, body = %q, want an error after events 1 to 3", got.Err, got.Body)
	}
}

func TestLastEventIDIsForwarded(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.scriptAll(standin.AnswerStream(8, 9, false))
	a := f.newRequest(streamPath)
	a.LastEventID = "7"
	got := f.do(a)
	if calls := f.callsWithID(a.ID); got.Body != eventTexts(8, 9) || len(calls) != 1 || calls[0].LastEventID() != "7" {
		t.Fatalf("stream after event 7 = %+v, want events 8 and 9 from one call with Last-Event-Id 7", got)
	}
}

// startRawTarget starts a target that writes, for each call, the bytes that answer returns. Its arguments
// are the call's request id and its number among the target's calls, starting at 1.
func startRawTarget(t *testing.T, f *fleet, id string, answer func(requestID string, n int) string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		var calls atomic.Int64
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(conn)
			go func() {
				defer func() { _ = conn.Close() }()
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(conn, answer(standin.RequestID(r), int(calls.Add(1))))
				}
			}()
		}
	}()
	f.store.PutAddress(id, listener.Addr().String(), plainService, 6)
	f.eventually("the daemon to know the raw target", func() bool { return len(f.daemons[0].Board.Targets.Addresses()) == len(f.targets)+1 })
}

// TestAnswersToOtherCallsAreSkipped covers a target that writes extra answers on a connection, before or
// after the answer to the call. The daemon returns only the answer with the call's request id.
func TestAnswersToOtherCallsAreSkipped(t *testing.T) {
	f := newFleet(t, 1, 0)
	startRawTarget(t, f, "raw", func(id string, n int) string {
		if n == 2 {
			return standin.RawAnswer("somebody-else", "not yours") + standin.RawAnswer(id, "right")
		}
		return standin.RawAnswer(id, "right") + standin.RawAnswer(id, "again")
	})
	for range 4 {
		if got := f.do(f.newRequest(unsafePath)); got.Err != nil || got.Status != 200 || got.Body != "right" {
			t.Fatalf("unsafe call = %+v, want 200 with body right", got)
		}
	}
}

// TestCallTimesOutWithoutAnswer checks that a call whose target never answers ends at its deadline
// with 504.
func TestCallTimesOutWithoutAnswer(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.scriptAll(func(_ http.ResponseWriter, r *http.Request, _ standin.Call) { <-r.Context().Done() })
	a := f.newRequest(unsafePath)
	a.DeadlineMS = 300
	began := time.Now()
	got := f.do(a)
	if took := time.Since(began); got.Status != 504 || took > 2*time.Second {
		t.Fatalf("call with a deadline of 300 ms = %+v after %v, want 504 within 2 s", got, took)
	}
}

// TestWrongTargetAtAddress covers an address at which another target answers than the one that is
// published for it. Calls still succeed.
func TestWrongTargetAtAddress(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.targets["t1"].ID = "somebody-else"
	for range 4 {
		if got := f.do(f.newRequest(unsafePath)); got.Status != 200 {
			t.Fatalf("unsafe call = %+v, want 200", got)
		}
	}
}

// TestLargePromptReservesAndReleasesMemory checks that a prompt larger than one engine's memory is
// prefilled by several engines; the memory reserved for it is released afterwards.
func TestLargePromptReservesAndReleasesMemory(t *testing.T) {
	f := newFleet(t, 1, 0)
	for i := range 4 {
		f.addTarget(fmt.Sprint("e", i+1), engineService, 16)
	}
	f.waitReady(f.daemons[0])
	f.scriptAll(standin.AnswerStream(1, 3, false))
	a := f.newRequest(promptPath)
	a.TokenCounts = "150000,50"
	if got := f.do(a); got.Status != 200 || got.Body != eventTexts(1, 3) {
		t.Fatalf("call with a prompt of 150,000 tokens = %+v, want events 1 to 3", got)
	}
	calls := f.callsWithID(a.ID)
	if len(calls) != 1 || !strings.Contains(calls[0].Helpers(), "/") {
		t.Fatalf("targets got %d calls with helpers %q, want one call with helpers", len(calls), calls[0].Helpers())
	}
	count := func(op string) (n int) {
		for _, target := range f.targets {
			for _, c := range target.Calls() {
				if strings.Contains(c.Body, `"op":"`+op+`"`) {
					n++
				}
			}
		}
		return n
	}
	f.eventually("a release of reserved memory", func() bool { return count("release") > 0 })
	if count("reserve") < count("release") {
		t.Fatalf("targets got %d reservations and %d releases, want no more releases than reservations", count("reserve"), count("release"))
	}
}

// hangAfter returns a script that runs another script, unless that is nil, and then writes nothing until
// the daemon closes the connection.
func hangAfter(script func(http.ResponseWriter, *http.Request, standin.Call)) func(http.ResponseWriter, *http.Request, standin.Call) {
	return func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		if script != nil {
			script(w, r, c)
		}
		<-r.Context().Done()
	}
}

// TestRepeatableCallLeavesSilentTarget covers a target that writes nothing for much longer than the
// route's latency goal. A call that may be executed twice is sent to another target; any other call
// keeps waiting.
func TestRepeatableCallLeavesSilentTarget(t *testing.T) {
	for name, c := range map[string]struct {
		path        string
		first, then func(http.ResponseWriter, *http.Request, standin.Call)
		body        string
		sends       int
	}{
		"plain":         {safePath, hangAfter(nil), standin.Succeed("second"), "second", 2},
		"before events": {streamPath, hangAfter(nil), standin.AnswerStream(1, 3, false), eventTexts(1, 3), 2},
		"after events":  {streamPath, hangAfter(standin.AnswerStream(1, 3, false)), standin.AnswerStream(4, 6, false), eventTexts(1, 6), 2},
		"unsafe":        {unsafePath, hangAfter(nil), standin.Succeed("second"), "", 1},
		"not resumable": {nonResumablePath, hangAfter(nil), standin.AnswerStream(1, 3, false), "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			f.scriptFirstCall(c.first, c.then)
			a := f.newRequest(c.path)
			got := f.do(a)
			if served := got.Err == nil && got.Status == 200 && got.Body == c.body; served != (c.sends == 2) {
				t.Errorf("call of %s = %+v, is a 200 with body %q: %v, want %v", c.path, got, c.body, served, c.sends == 2)
			}
			if got.Status == 503 || got.Status == 429 {
				t.Errorf("call that may have been executed = %+v, want neither 503 nor 429", got)
			}
			if n := len(f.callsWithID(a.ID)); n != c.sends {
				t.Errorf("targets got %d calls, want %d", n, c.sends)
			}
		})
	}
}
