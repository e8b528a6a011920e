package onplatform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"doorstack.dev/node/target"
	"doorstack.dev/platform/standin"
)

// pathState is the state of a daemon's network path to all targets.
type pathState int

const (
	pathWorks pathState = iota
	// pathRefused resets open connections and refuses new ones.
	pathRefused
	// pathSilent delivers nothing, on open connections and to new ones.
	pathSilent
	// pathClosedToNew refuses new connections; open ones go on.
	pathClosedToNew
)

func (s pathState) String() string {
	return [...]string{"works", "refused", "silent", "closed to new connections"}[s]
}

// The times that the operating system gives a silent path before it reports an error.
const (
	simulatedDialTimeout    = 250 * time.Millisecond
	simulatedUnackedTimeout = time.Second
)

// targetPath is a daemon's network path to all targets, which a test can cut.
type targetPath struct {
	mu    sync.Mutex
	state pathState
	conns map[*pathConn]bool
}

func newTargetPath() *targetPath { return &targetPath{conns: map[*pathConn]bool{}} }

// set changes the state of the path. Connections that were silent stay so.
func (p *targetPath) set(state pathState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	for c := range p.conns {
		switch state {
		case pathRefused:
			c.fail(syscall.ECONNRESET)
		case pathSilent:
			c.silent.Store(true)
		}
	}
}

func (p *targetPath) dial(ctx context.Context, address string) (target.Socket, error) {
	p.mu.Lock()
	state := p.state
	p.mu.Unlock()
	switch state {
	case pathRefused, pathClosedToNew:
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNREFUSED}
	case pathSilent:
		ctx, cancel := context.WithTimeout(ctx, simulatedDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: ctx.Err()}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &pathConn{TCPConn: conn.(*net.TCPConn), path: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return c, nil
}

// pathConn is a connection over a targetPath.
type pathConn struct {
	*net.TCPConn
	path   *targetPath
	silent atomic.Bool
	mu     sync.Mutex
	failed error
}

// fail makes reads and writes fail with err.
func (c *pathConn) fail(err error) {
	c.mu.Lock()
	c.failed = err
	c.mu.Unlock()
	_ = c.SetDeadline(time.Unix(1, 0))
}

func (c *pathConn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

func (c *pathConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if failed := c.failure(); failed != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp4", Err: failed}
		}
		if err == nil && c.silent.Load() {
			continue // The bytes are lost on the way.
		}
		return n, err
	}
}

func (c *pathConn) Write(b []byte) (int, error) {
	if failed := c.failure(); failed != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp4", Err: failed}
	}
	if !c.silent.Load() {
		return c.TCPConn.Write(b)
	}
	time.AfterFunc(simulatedUnackedTimeout, func() { c.fail(syscall.ETIMEDOUT) })
	return len(b), nil
}

func (c *pathConn) Close() error {
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.TCPConn.Close()
}

// cutDetection is the time after the loss of its paths within which a daemon must serve its callers again.
const cutDetection = 3 * time.Second

// newRequestAt returns a request to daemon d.
func (f *fleet) newRequestAt(d *testDaemon, path string) *standin.CallerRequest {
	r := f.newRequest(path)
	r.Daemon = d.boot.CallerAddress
	return r
}

// newPathFleet starts three daemons, three plain targets and three engines, and sends each daemon some calls so
// that it has open connections to targets.
func newPathFleet(t *testing.T) *fleet {
	f := newFleet(t, 3, 3)
	for i := range 3 {
		f.addTarget(fmt.Sprint("e", i+1), engineService, 16).Script(standin.AnswerStream(1, 3, false))
	}
	for _, d := range f.daemons {
		f.waitReady(d)
		for _, path := range []string{safePath, unsafePath, promptPath, safePath, unsafePath, promptPath} {
			if got := f.do(f.newRequestAt(d, path)); got.Status != http.StatusOK {
				t.Fatalf("before the cut: %s at %s: %+v", path, d.boot.Name, got)
			}
		}
	}
	return f
}

// awaitServed sends calls to a daemon until one of each path is served, and fails the test if that takes longer
// than cutDetection.
func (f *fleet) awaitServed(d *testDaemon) {
	f.t.Helper()
	began := time.Now()
	for _, path := range []string{safePath, unsafePath, promptPath} {
		f.eventually(path+" served at "+d.boot.Name, func() bool {
			return f.do(f.newRequestAt(d, path)).Status == http.StatusOK
		})
	}
	if took := time.Since(began); took > cutDetection {
		f.t.Errorf("served at %s after %v, bound %v", d.boot.Name, took, cutDetection)
	}
}

// checkServed sends calls of each path to a daemon and requires that each is served, at one target only.
func (f *fleet) checkServed(d *testDaemon, rounds int) {
	f.t.Helper()
	served, sent := 0, 0
	for range rounds {
		for _, path := range []string{safePath, unsafePath, promptPath} {
			r := f.newRequestAt(d, path)
			sent++
			got := f.do(r)
			if got.Status == http.StatusOK {
				served++
			} else {
				f.t.Logf("%s at %s: status %d %s", path, d.boot.Name, got.Status, got.Body)
			}
			if n := len(f.callsWithID(r.ID)); path == unsafePath && n > 1 {
				f.t.Errorf("%s ran at %d targets", path, n)
			}
		}
	}
	if served < sent {
		f.t.Errorf("%s served %d of %d calls", d.boot.Name, served, sent)
	}
}

func TestHostWithoutPathToTargetsServesItsCallers(t *testing.T) {
	for _, state := range []pathState{pathRefused, pathSilent, pathClosedToNew} {
		t.Run(state.String(), func(t *testing.T) {
			f := newPathFleet(t)
			cut := f.daemons[0]
			cut.path.set(state)
			f.awaitServed(cut)
			f.checkServed(cut, 10)
		})
	}
}
func TestTargetsStayInUseWhileOtherHostsLoseTheirPaths(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint("daemon ", i+1), func(t *testing.T) {
			f := newPathFleet(t)
			cut := f.daemons[i]
			cut.path.set(pathRefused)
			for range 4 { // Failures of the daemon that was cut off.
				for _, path := range []string{safePath, unsafePath, promptPath} {
					f.do(f.newRequestAt(cut, path))
				}
			}
			for j, d := range f.daemons {
				if j != i {
					f.checkServed(d, 5)
				}
			}
		})
	}
}

// breakCallsInProgress sends copies of a sound call to a daemon and resets its path to the targets, which have
// them all by then.
func (f *fleet) breakCallsInProgress(cut *testDaemon, copies int) {
	release := make(chan struct{})
	var arrived atomic.Int64
	f.scriptAll(func(_ http.ResponseWriter, r *http.Request, _ standin.Call) {
		arrived.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	var callers sync.WaitGroup
	for range copies {
		a := f.newRequestTo(cut, unsafePath, soundBody)
		callers.Go(func() { f.do(a) })
	}
	f.eventually("all copies at targets", func() bool { return int(arrived.Load()) == copies })
	cut.path.set(pathRefused)
	callers.Wait()
	close(release)
	for id, target := range f.targets {
		target.Script(standin.Succeed("ok"))
		if id[0] == 'e' {
			target.Script(standin.AnswerStream(1, 3, false))
		}
	}
}

// The reset of a path breaks all calls on it at once. The targets have not failed, and the calls have not crashed
// them: other daemons must go on using both.
func TestCallsBrokenByLostPathSayNothingOfTargets(t *testing.T) {
	const copies = 9 // three for each target
	f := newPathFleet(t)
	f.awaitMembership()
	cut := f.daemons[0]
	for range 2 {
		f.breakCallsInProgress(cut, copies)
		f.checkServed(f.daemons[1], 1)
		cut.path.set(pathWorks)
		f.eventually("a direct connection", func() bool { return cut.TargetPaths().Lost == 0 })
	}
	f.eventually("the ends of all calls", func() bool {
		calls := 0
		for _, d := range f.daemons {
			for _, target := range d.Board.Targets.Status(time.Now()) {
				calls += target.OwnCalls
			}
		}
		return calls == 0
	})
	for _, d := range f.daemons {
		for _, target := range d.Board.Targets.Status(time.Now()) {
			if target.Failures > 0 {
				t.Errorf("%s counts %d failures of %s", d.boot.Name, target.Failures, target.Address)
			}
		}
		if !d.Board.Poison.Empty() {
			t.Errorf("%s counts a sound call as crashing", d.boot.Name)
		}
	}
}

// A relay that leaves finishes the calls that it relays, and gets no further ones.
func TestRelayedCallSurvivesLeavingRelay(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.awaitMembership()
	cut, relay := f.daemons[0], f.daemons[1]
	release := make(chan struct{})
	var arrived atomic.Bool
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		arrived.Store(true)
		<-release
		standin.Succeed("whole")(w, r, c)
	})
	cut.path.set(pathRefused)
	a := f.newRequestAt(cut, unsafePath)
	answer := make(chan standin.CallerResponse, 1)
	go func() { answer <- f.do(a) }()
	f.eventually("the call at the target", arrived.Load)
	relay.Drain()
	f.eventually("the relay known to be leaving", func() bool { return cut.Board.Members.DaemonCount() == 1 })
	close(release)
	if got := <-answer; got.Status != http.StatusOK || got.Body != "whole" {
		t.Errorf("relayed call: status %d %q", got.Status, got.Body)
	}
	if got := f.do(f.newRequestAt(cut, unsafePath)); got.Status != http.StatusServiceUnavailable {
		t.Errorf("call without any path: status %d %q, want a refusal", got.Status, got.Body)
	}
}
