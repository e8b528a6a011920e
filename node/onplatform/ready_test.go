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

// acceptTimeout is how soon a daemon that says it is ready has to take a new connection.
const acceptTimeout = 4 * time.Second

// TestReadyDaemonAcceptsNewConnections: while it says that it is ready a daemon takes and answers new
// connections, though all its targets are mute under a hundred calls, and a hundred callers have
// opened a connection and sent half a request.
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
		t.Fatal("the daemon is not ready")
	}
	for range fresh {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: acceptTimeout}
		a := f.newRequest("/nothing/")
		got := a.Do(t.Context(), client)
		if got.Err != nil || got.Status != http.StatusNotFound {
			t.Errorf("a new connection: status %d, %v", got.Status, got.Err)
		}
	}
	close(release)
	callers.Wait()
}

// TestCallsAvoidDeadAndSilentTargets: of a plain service's three targets one is dead and one takes calls and
// says nothing. Every call that may be repeated is answered by the third; one that may not runs once
// at most, and its caller is never told that it has not run where it reached the mute one.
func TestCallsAvoidDeadAndSilentTargets(t *testing.T) {
	const calls = 12
	f := newFleet(t, 2, 3)
	f.targets["t1"].Server.Close()
	f.targets["t2"].Script(func(_ http.ResponseWriter, r *http.Request, _ standin.Call) { <-r.Context().Done() })
	for i := range calls {
		if got := f.do(f.newRequestTo(f.daemons[i%2], safePath, soundBody)); got.Err != nil || got.Status != http.StatusOK {
			t.Errorf("a call that may be repeated: status %d, %v", got.Status, got.Err)
		}
	}
	for i := range calls {
		a := f.newRequestTo(f.daemons[i%2], unsafePath, soundBody)
		a.DeadlineMS = 1000
		got := f.do(a)
		runs := f.callsWithID(a.ID)
		if len(runs) > 1 {
			t.Errorf("a call that may not be repeated reached %d targets", len(runs))
		}
		if len(runs) == 1 && got.Err == nil && meansNotExecuted(got.Status) {
			t.Errorf("it reached a target, and its caller was told %d", got.Status)
		}
	}
}
