package onplatform

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// acceptTimeout is the time within which a ready daemon must answer a call on a new connection.
const acceptTimeout = 4 * time.Second

// TestReadyDaemonAcceptsNewConnections checks that a ready daemon accepts new connections and answers
// calls on them, although a hundred calls wait for targets that do not answer, and a hundred callers
// have sent half a request on their connections.
func TestReadyDaemonAcceptsNewConnections(t *testing.T) {
	const busy, stalled, fresh = 100, 100, 20
	f := newFleet(t, 1, 2)
	d := f.daemons[0]
	release := make(chan struct{})
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		standin.Succeed("ok")(w, r, c)
	})
	var callers sync.WaitGroup
	for range busy {
		a := f.newRequest(safePath)
		callers.Go(func() { f.do(a) })
	}
	for range stalled {
		conn, err := net.Dial("tcp", d.boot.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := fmt.Fprintf(conn, "GET %sx HTTP/1.1\r\nHost: %s\r\n", safePath, routeHost); err != nil {
			t.Fatal(err)
		}
	}
	if !f.ready(d) {
		t.Fatal("daemon under load: ready = false, want true")
	}
	for range fresh {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: acceptTimeout}
		a := f.newRequest("/nothing/")
		got := a.Do(t.Context(), client)
		if got.Err != nil || got.Status != http.StatusNotFound {
			t.Errorf("call of an unknown path on a new connection = status %d, error %v, want 404", got.Status, got.Err)
		}
	}
	close(release)
	callers.Wait()
}

// TestCallsAvoidDeadAndSilentTargets covers a service with three targets, of which one is down and one
// accepts calls but never answers. Each repeatable call is answered by the third one. A call that must
// not be repeated reaches at most one target, and if it reached one, its caller is not told that it
// was not executed.
func TestCallsAvoidDeadAndSilentTargets(t *testing.T) {
	const calls = 12
	f := newFleet(t, 2, 3)
	f.targets["t1"].Server.Close()
	f.targets["t2"].Script(func(_ http.ResponseWriter, r *http.Request, _ standin.Call) { <-r.Context().Done() })
	for i := range calls {
		if got := f.do(f.newRequestTo(f.daemons[i%2], safePath, soundBody)); got.Err != nil || got.Status != http.StatusOK {
			t.Errorf("repeatable call = status %d, error %v, want 200", got.Status, got.Err)
		}
	}
	for i := range calls {
		a := f.newRequestTo(f.daemons[i%2], unsafePath, soundBody)
		a.DeadlineMS = 1000
		got := f.do(a)
		runs := f.callsWithID(a.ID)
		if len(runs) > 1 {
			t.Errorf("call that must not be repeated reached targets %d times, want once at most", len(runs))
		}
		if len(runs) == 1 && got.Err == nil && meansNotExecuted(got.Status) {
			t.Errorf("call that reached a target = %d, want a status that does not mean not executed", got.Status)
		}
	}
}
