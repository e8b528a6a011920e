package onplatform

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// TestCallerDisconnectCancelsTargetCall: the target's connection ends with the caller's.
func TestCallerDisconnectCancelsTargetCall(t *testing.T) {
	f := newFleet(t, 1, 1)
	started, stopped := make(chan struct{}), make(chan struct{})
	f.scriptAll(func(_ http.ResponseWriter, r *http.Request, _ standin.Call) {
		close(started)
		<-r.Context().Done()
		close(stopped)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	if got := f.newRequest(safePath).Do(ctx, f.client); got.Err == nil {
		t.Fatal("the caller had left")
	}
	select {
	case <-stopped:
	case <-time.After(waitTimeout):
		t.Fatal("the target still works")
	}
}

// TestQueuedCallOfDisconnectedCallerIsNotSent: a caller leaves while its call waits for a slot, here
// or at the coordinator. When the slot comes free the call is not sent, and whoever came
// after it is.
func TestQueuedCallOfDisconnectedCallerIsNotSent(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.awaitAllMembers()
	target := f.addTarget("one", engineService, 1)
	for _, d := range f.daemons {
		f.waitReady(d)
	}
	for _, d := range f.daemons {
		started, release := make(chan struct{}), make(chan struct{})
		target.Script(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
			if c.Body == "first" {
				close(started)
				<-release
			}
			standin.AnswerStream(1, 2, false)(w, r, c)
		})
		ask := func(ctx context.Context, body string) (*standin.CallerRequest, chan standin.CallerResponse) {
			a := f.newRequest(promptPath)
			a.Daemon, a.Body, a.TokenCounts = d.boot.CallerAddress, body, "1000,50"
			got := make(chan standin.CallerResponse, 1)
			go func() { got <- a.Do(ctx, f.client) }()
			return a, got
		}
		waits := func(n int) func() bool {
			return func() bool {
				waiting := 0
				for _, other := range f.daemons {
					waiting += other.Board.Queues.Len(engineService)
				}
				return waiting == n
			}
		}
		_, first := ask(context.Background(), "first")
		<-started
		ctx, leave := context.WithCancel(context.Background())
		left, leftGot := ask(ctx, "leaves")
		f.eventually("the call waits", waits(1))
		_, last := ask(context.Background(), "last")
		f.eventually("both wait", waits(2))
		leave()
		if got := <-leftGot; got.Err == nil {
			t.Errorf("the caller had left: %+v", got)
		}
		f.eventually("the call is forgotten", waits(1))
		close(release)
		if got := <-first; got.Status != 200 {
			t.Errorf("%+v", got)
		}
		if got := <-last; got.Status != 200 {
			t.Errorf("%+v", got)
		}
		if calls := f.callsWithID(left.ID); len(calls) != 0 {
			t.Errorf("through %s: sent %d times for a caller that had left", d.boot.Name, len(calls))
		}
	}
}

// TestCallerDisconnectCancelsStream: in the middle of a stream, and before its first event.
func TestCallerDisconnectCancelsStream(t *testing.T) {
	f := newFleet(t, 1, 1)
	for _, before := range []func(http.ResponseWriter, *http.Request, standin.Call){
		nil,
		func(w http.ResponseWriter, _ *http.Request, _ standin.Call) {
			w.Header().Set("X-Server-Signature", "sign")
			_, _ = io.WriteString(w, standin.EventText(1, "piece 1"))
			w.(http.Flusher).Flush()
		},
	} {
		started, stopped := make(chan struct{}), make(chan struct{})
		f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
			if before != nil {
				before(w, r, c)
			}
			close(started)
			<-r.Context().Done()
			close(stopped)
		})
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			<-started
			leave()
		}()
		a := f.newRequest(streamPath)
		if got := a.Do(ctx, f.client); got.Err == nil {
			t.Error("the caller had left")
		}
		select {
		case <-stopped:
		case <-time.After(waitTimeout):
			t.Fatal("the target still works")
		}
		if calls := f.callsWithID(a.ID); len(calls) != 1 {
			t.Errorf("sent %d times", len(calls))
		}
	}
}
