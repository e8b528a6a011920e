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
		t.Fatalf("%+v", got)
	}
	calls := f.callsWithID(a.ID)
	if len(calls) != 1 {
		t.Fatalf("%d calls", len(calls))
	}
	c := calls[0]
	if c.Method != "POST" || c.URI != unsafePath+"x?q=1" || c.Body != a.Body || c.Account() != "a" || c.APIKey() != "" || c.TargetID() != "t1" {
		t.Fatalf("%+v account %q key %q for %q", c, c.Account(), c.APIKey(), c.TargetID())
	}
	if left, err := strconv.Atoi(c.DeadlineMS()); err != nil || left > a.DeadlineMS || left < a.DeadlineMS-1000 {
		t.Fatalf("the target may work for %q ms of %d", c.DeadlineMS(), a.DeadlineMS)
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
		"open route":   {func(a *standin.CallerRequest) { a.Path, a.APIKey = noAuthPath, "" }, 200},
	} {
		a := f.newRequest(safePath)
		c.change(a)
		if got := f.do(a); got.Status != c.status || got.Signed() != (c.status == 200) {
			t.Errorf("%s: %d signed %v, want %d", name, got.Status, got.Signed(), c.status)
		}
	}
}

// TestDaemonWithoutConfigurationAnswers503: a daemon that knows none says that it
// cannot serve, not that the caller is wrong.
func TestDaemonWithoutConfigurationAnswers503(t *testing.T) {
	f := &fleet{t: t, store: standin.NewStore(), client: http.DefaultClient, targets: map[string]*standin.Target{}}
	d := f.addDaemon(0)
	var got standin.CallerResponse
	f.eventually("an answer", func() bool {
		got = f.do(f.newRequest(safePath))
		return got.Err == nil
	})
	if got.Status != 503 || got.Header.Get("Retry-After") == "" || f.ready(d) {
		t.Fatalf("%+v", got)
	}
}

func TestUnsafeCallIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		script func(http.ResponseWriter, *http.Request, standin.Call)
		status int
		signed bool
	}{
		"cut":                {standin.CloseConnection, 502, false},
		"own failure":        {standin.Answer(500, "no"), 500, true},
		"503 without a word": {standin.Answer(503, "no"), 502, false},
		"429 without a word": {standin.Answer(429, "no"), 502, false},
		"truncated":          {standin.Truncate, 502, false},
		"unsigned":           {standin.AnswerUnsigned, 502, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			f.scriptAll(c.script)
			a := f.newRequest(unsafePath)
			got := f.do(a)
			if got.Err != nil || got.Status != c.status || got.Signed() != c.signed {
				t.Errorf("%+v, want %d signed %v", got, c.status, c.signed)
			}
			if n := len(f.callsWithID(a.ID)); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
}

// TestTargetConnectionsAreReused: calls in turn go over one connection.
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
				t.Fatalf("%+v", got)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(from) != 1 {
		t.Errorf("nine calls in turn came over %d connections", len(from))
	}
}

func TestSafeCallIsRetriedAtAnotherTarget(t *testing.T) {
	for name, first := range map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"cut": standin.CloseConnection, "own failure": standin.Answer(500, "no"), "truncated": standin.Truncate,
		"full": standin.Reject, "503 without a word": standin.Answer(503, "no"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			f.scriptFirstCall(first, standin.Succeed("second"))
			a := f.newRequest(safePath)
			if got := f.do(a); got.Status != 200 || got.Body != "second" {
				t.Errorf("%+v", got)
			}
			if calls := f.callsWithID(a.ID); len(calls) != 2 || calls[0].TargetID() == calls[1].TargetID() {
				t.Errorf("%d calls", len(calls))
			}
		})
	}
}

// TestLastTargetFailureIsReturnedUnchanged: where every target fails, the caller gets what the last
// one said, unchanged.
func TestLastTargetFailureIsReturnedUnchanged(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.Answer(500, "broken"))
	if got := f.do(f.newRequest(safePath)); got.Status != 500 || got.Body != "broken" || !got.Signed() {
		t.Fatalf("%+v", got)
	}
}

// TestNotExecutedStatusOnlyForUnexecutedCalls: a call that every target turned away is refused
// with the time to come back; one that may have run at the first is not.
func TestNotExecutedStatusOnlyForUnexecutedCalls(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.Reject)
	got := f.do(f.newRequest(unsafePath))
	if got.Status != 503 || got.Signed() || got.Header.Get("Retry-After") == "" {
		t.Fatalf("turned away by all: %+v", got)
	}
	g := newFleet(t, 1, 2)
	g.scriptFirstCall(standin.CloseConnection, standin.Reject)
	if got := g.do(g.newRequest(safePath)); got.Status == 503 || got.Status == 429 {
		t.Fatalf("it may have run, and the caller is told that it has not: %+v", got)
	}
}

func TestBrokenStreamResumesAtAnotherTarget(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptFirstCall(standin.AnswerStream(1, 3, true), standin.AnswerStream(4, 6, false))
	a := f.newRequest(streamPath)
	got := f.do(a)
	if got.Err != nil || got.Status != 200 || got.Body != eventTexts(1, 6) || got.Signature() != "sign from 1" {
		t.Fatalf("%+v", got)
	}
	calls := f.callsWithID(a.ID)
	if len(calls) != 2 || calls[0].LastEventID()+calls[1].LastEventID() != "3" {
		t.Fatalf("%d calls, asked to go on after %q and %q", len(calls), calls[0].LastEventID(), calls[1].LastEventID())
	}
}

// TestNonResumableStreamEndsWithError: one that may not be resumed ends without its end, and
// never in the middle of an event.
func TestNonResumableStreamEndsWithError(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.AnswerStream(1, 3, true))
	a := f.newRequest(nonResumablePath)
	got := f.do(a)
	if got.Err == nil || got.Body != eventTexts(1, 3) {
		t.Fatalf("err %v, body %q", got.Err, got.Body)
	}
	if n := len(f.callsWithID(a.ID)); n != 1 {
		t.Fatalf("%d runs", n)
	}
}

// TestRestartedStreamIsNotJoined: a target that begins again from the first event
// does not make the caller get events twice.
func TestRestartedStreamIsNotJoined(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptFirstCall(standin.AnswerStream(1, 3, true), standin.AnswerStream(1, 6, false))
	got := f.do(f.newRequest(streamPath))
	if got.Err == nil || got.Body != eventTexts(1, 3) {
		t.Fatalf("err %v, body %q", got.Err, got.Body)
	}
}

func TestLastEventIDIsForwarded(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.scriptAll(standin.AnswerStream(8, 9, false))
	a := f.newRequest(streamPath)
	a.LastEventID = "7"
	got := f.do(a)
	if calls := f.callsWithID(a.ID); got.Body != eventTexts(8, 9) || len(calls) != 1 || calls[0].LastEventID() != "7" {
		t.Fatalf("%+v", got)
	}
}

// startRawTarget answers each call on a connection with fixed bytes.
func startRawTarget(t *testing.T, f *fleet, id string, answer func(call string, n int) string) {
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
	f.eventually("the raw target", func() bool { return len(f.daemons[0].Board.Targets.Addresses()) == len(f.targets)+1 })
}

// TestAnswersToOtherCallsAreSkipped: an extra answer after a whole one belongs to nobody,
// before the right one and behind it.
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
			t.Fatalf("%+v", got)
		}
	}
}

// TestCallTimesOutWithoutAnswer: the route's timeout ends a stalled answer, and a
// caller that waits for the first byte hears of it.
func TestCallTimesOutWithoutAnswer(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.scriptAll(func(_ http.ResponseWriter, r *http.Request, _ standin.Call) { <-r.Context().Done() })
	a := f.newRequest(unsafePath)
	a.DeadlineMS = 300
	began := time.Now()
	got := f.do(a)
	if took := time.Since(began); got.Status != 504 || took > 2*time.Second {
		t.Fatalf("%+v after %v", got, took)
	}
}

func TestWrongTargetAtAddress(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.targets["t1"].ID = "somebody-else"
	for range 4 {
		if got := f.do(f.newRequest(unsafePath)); got.Status != 200 {
			t.Fatalf("%+v", got)
		}
	}
}

// TestLargePromptReservesAndReleasesMemory: a prompt over one engine's memory is read by
// several; what it sets aside is given back.
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
		t.Fatalf("%+v", got)
	}
	calls := f.callsWithID(a.ID)
	if len(calls) != 1 || !strings.Contains(calls[0].Helpers(), "/") {
		t.Fatalf("%d calls, helpers %q", len(calls), calls[0].Helpers())
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
	f.eventually("as many releases as targets with a reservation", func() bool { return count("release") > 0 })
	if count("reserve") < count("release") {
		t.Fatalf("%d reservations, %d releases", count("reserve"), count("release"))
	}
}

// hangAfter reads a call and says nothing until its caller leaves; after says what is written
// first.
func hangAfter(after func(http.ResponseWriter, *http.Request, standin.Call)) func(http.ResponseWriter, *http.Request, standin.Call) {
	return func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		if after != nil {
			after(w, r, c)
		}
		<-r.Context().Done()
	}
}

// TestRepeatableCallLeavesSilentTarget: a call goes to another target when the first has said nothing
// for much longer than the route's goal, if it may run twice; the wait for one that may
// not goes on.
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
				t.Errorf("%+v", got)
			}
			if got.Status == 503 || got.Status == 429 {
				t.Errorf("a call that may have run is said not to have: %+v", got)
			}
			if n := len(f.callsWithID(a.ID)); n != c.sends {
				t.Errorf("%d sends, want %d", n, c.sends)
			}
		})
	}
}
