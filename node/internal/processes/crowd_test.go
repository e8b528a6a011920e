package processes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// The machine and the limits of the tests with misbehaving clients, smaller than those of the platform so that a small crowd
// passes them.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 512
	// fileDescriptors is the part of a machine's descriptors that is kept for files; sockets and pipes share the rest.
	fileDescriptors   = 200
	crowdMaxHead      = 8 << 10
	crowdMaxBody      = 64 << 10
	crowdHeadTimeout  = 500 * time.Millisecond
	crowdIdleTimeout  = time.Second
	crowdRouteTimeout = 2 * time.Second
)

// The listeners of a daemon.
const (
	callersListener = "callers"
	readyListener   = "ready"
	peersListener   = "peers"
	adminListener   = "admin"
)

var listeners = []string{callersListener, readyListener, peersListener, adminListener}

// crowd is a number of clients that send the same bytes, each on connections of its own.
type crowd struct {
	clients int
	// connections is how many connections each client opens, one after another.
	connections int
	// begin is what a client sends first, and part what follows again and again, up to limit bytes or until the daemon ends
	// the connection. In begin {n} stands for the number of the connection, in part for the number of the part.
	begin, part string
	limit       int
	// unread keeps the client from reading what the daemon answers.
	unread bool
}

// crowdTest is a daemon on a small machine, with sound targets, and what it took while a crowd was there.
type crowdTest struct {
	t       *testing.T
	env     *testEnv
	store   string // the address of the platform's stand-in
	daemon  *platformDaemon
	release chan struct{}
	ended   sync.WaitGroup
}

// newCrowdTest starts a daemon whose machine has the memory and descriptors of these tests.
func newCrowdTest(t *testing.T, w *testEnv) *crowdTest { return newCrowdTestOn(t, w, crowdDescriptors) }

func newCrowdTestOn(t *testing.T, w *testEnv, descriptors int) *crowdTest {
	t.Helper()
	store := standin.NewStore()
	endpoint := store.OpenEndpoint()
	t.Cleanup(endpoint.Close)
	config := standin.Config{Version: 1, Services: []standin.Service{{Name: "svc"}}, Tenants: []standin.Tenant{{Name: "a", APIKeys: []string{"key"}}}}
	for prefix, kind := range endlessRoutes {
		config.Routes = append(config.Routes, standin.Route{
			Name: "r" + prefix, Host: "h.example", Prefix: prefix, Kind: kind, Service: "svc", MaxAttempts: 2,
			TimeoutMS: int(crowdRouteTimeout.Milliseconds()), TargetLatencyMS: 300, GapGoalMS: 250,
		})
	}
	config.Limits = standin.Limits{
		MaxHeaderBytes: crowdMaxHead, MaxBodyBytes: crowdMaxBody,
		HeaderTimeoutMS: int(crowdHeadTimeout.Milliseconds()), IdleTimeoutMS: int(crowdIdleTimeout.Milliseconds()),
	}
	for i := range 2 {
		target := standin.NewTarget(fmt.Sprint("t", i))
		t.Cleanup(target.Server.Close)
		store.PutTarget(target, "svc", "ready", endlessCallers)
	}
	store.PutConfig(config)
	c := &crowdTest{t: t, release: make(chan struct{}), store: endpoint.Address()}
	c.env = &testEnv{t: t, dir: w.dir, memoryMB: crowdMemoryMB, descriptors: descriptors}
	c.daemon = c.env.startPlatformDaemon(c.store, machine{})
	return c
}

// addDaemon starts another daemon of the fleet and returns the test of that one.
func (c *crowdTest) addDaemon(name string) *crowdTest {
	c.t.Helper()
	c.env.daemonName, c.env.seeds = name, []string{c.daemon.boot.PeerAddress}
	return &crowdTest{t: c.t, release: c.release, store: c.store, env: c.env, daemon: c.env.startPlatformDaemon(c.store, machine{})}
}

// address returns the address of a listener.
func (c *crowdTest) address(listener string) string {
	switch listener {
	case readyListener:
		return c.daemon.boot.ReadyAddress
	case peersListener:
		return c.daemon.boot.PeerAddress
	case adminListener:
		return c.daemon.metricsAddress
	default:
		return c.daemon.boot.CallerAddress
	}
}

// usage is the most that a process took at any time.
type usage struct{ memoryMB, descriptors int }

// play lets a crowd send to a listener and then checks the daemon while the crowd's last connections are still open: it runs,
// stays within the memory and the descriptors of its machine, and answers an ordinary request.
func (c *crowdTest) play(listener string, crowd crowd) {
	c.t.Helper()
	stop, peak := make(chan struct{}), make(chan usage, 1)
	go func() { peak <- c.sample(stop) }()
	c.send(listener, crowd)
	for range roundTrips {
		c.roundTrip(listener)
	}
	c.checkAnswers()
	close(stop)
	c.checkUsage(<-peak)
	close(c.release)
	c.ended.Wait()
}

// roundTrips is how many requests the daemon answers, one after another, before its usage is taken as that beside the crowd: by
// then it has accepted the connections that came before and has read from them.
const roundTrips = 10

// roundTrip sends a request to a listener, on a connection of its own, and waits for the answer or the end of the connection.
func (c *crowdTest) roundTrip(listener string) {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + c.address(listener) + "/ready")
	if err != nil {
		return // checkAnswers finds out whether the daemon serves.
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// send returns once each client has sent everything on its last connection, or the daemon has ended that.
func (c *crowdTest) send(listener string, crowd crowd) {
	var sent sync.WaitGroup
	for client := range crowd.clients {
		sent.Add(1)
		c.ended.Go(func() { c.client(listener, crowd, client, sent.Done) })
	}
	sent.Wait()
}

// client opens the connections of one client. The last stays open until the end of the test or of the connection.
func (c *crowdTest) client(listener string, crowd crowd, client int, sent func()) {
	var last net.Conn
	for n := range max(1, crowd.connections) {
		if last != nil {
			_ = last.Close()
		}
		conn, err := net.DialTimeout("tcp", c.address(listener), waitTimeout)
		if err != nil {
			last = nil
			continue // The daemon is still there; checkAnswers finds out otherwise.
		}
		last = conn
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		if !crowd.unread {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
		crowd.write(conn, client*max(1, crowd.connections)+n)
	}
	sent()
	if last == nil {
		return
	}
	<-c.release
	_ = last.Close()
}

// tryDial connects to a listener and reads what the daemon sends; ended is closed at the end of the connection. It returns nil if it
// cannot connect.
func (c *crowdTest) tryDial(listener string) (conn net.Conn, ended <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", c.address(listener), waitTimeout)
	if err != nil {
		return nil, nil
	}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	end := make(chan struct{})
	go func() {
		defer close(end)
		_, _ = io.Copy(io.Discard, conn)
	}()
	return conn, end
}

// write sends a client's bytes on a connection.
func (c *crowd) write(conn net.Conn, number int) {
	total, err := io.WriteString(conn, strings.ReplaceAll(c.begin, "{n}", fmt.Sprint(number)))
	if c.part == "" {
		return
	}
	for part := 0; err == nil && total < c.limit; {
		var block string
		block, part = c.block(part, c.limit-total)
		var n int
		n, err = io.WriteString(conn, block)
		total += n
	}
}

// blockSize is how much a client writes at a time, in bytes.
const blockSize = 4 << 10

// block returns some parts, from the one with the given number on, in about as many bytes as are left, and the number of the next.
func (c *crowd) block(part, left int) (block string, next int) {
	size := min(blockSize, left)
	if !strings.Contains(c.part, "{n}") {
		return strings.Repeat(c.part, (size+len(c.part)-1)/len(c.part)), part
	}
	var b strings.Builder
	for b.Len() < size {
		b.WriteString(strings.ReplaceAll(c.part, "{n}", fmt.Sprintf("%06x", part)))
		part++
	}
	return b.String(), part
}

// sample returns the most that the daemon took until stop is closed.
func (c *crowdTest) sample(stop <-chan struct{}) usage {
	var most usage
	for {
		kb, err := statusValue(c.daemon.Process.Pid, "RssAnon")
		if err != nil {
			c.t.Errorf("the daemon has ended: %v", err)
			<-stop
			return most
		}
		most.memoryMB = max(most.memoryMB, kb>>10)
		most.descriptors = max(most.descriptors, c.descriptors())
		select {
		case <-stop:
			return most
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// descriptors returns how many descriptors the daemon has open.
func (c *crowdTest) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.daemon.Process.Pid))
	if err != nil {
		return 0 // sample reports that the process has ended.
	}
	return len(entries)
}

func (c *crowdTest) checkUsage(used usage) {
	c.t.Helper()
	c.t.Logf("peak of %d MB and %d descriptors", used.memoryMB, used.descriptors)
	if used.memoryMB >= crowdMemoryMB {
		c.t.Errorf("the daemon took %d MB, want less than %d", used.memoryMB, crowdMemoryMB)
	}
	if limit := c.daemon.boot.MaxDescriptors - fileDescriptors; used.descriptors >= limit {
		c.t.Errorf("the daemon had %d descriptors open, want less than %d", used.descriptors, limit)
	}
}

// checkAnswers checks that the daemon is ready and answers an ordinary request.
func (c *crowdTest) checkAnswers() {
	c.t.Helper()
	if !c.daemon.ready() {
		c.t.Fatalf("the daemon is not ready; it wrote: %.300s", c.daemon.errors.String())
	}
	got := c.ordinary(&standin.CallerRequest{Path: "/safe/x", ID: "ordinary", Body: "a question"})
	for deadline := time.Now().Add(waitTimeout); got.Status == http.StatusServiceUnavailable && time.Now().Before(deadline); {
		// A daemon that is behind with its work may refuse a request, and says when to come back.
		seconds, err := strconv.ParseFloat(got.RetryAfter(), 64)
		if err != nil {
			break
		}
		<-time.After(time.Duration(seconds * float64(time.Second)))
		got = c.ordinary(&standin.CallerRequest{Path: "/safe/x", ID: "ordinary", Body: "a question"})
	}
	if got.Status != http.StatusOK || got.Body != "ok" || got.Err != nil {
		c.t.Errorf("an ordinary request got %d %.200q, %v, want 200 \"ok\"", got.Status, got.Body, got.Err)
	}
}

// ordinary sends a request of a client that behaves, on a connection of its own.
func (c *crowdTest) ordinary(request *standin.CallerRequest) standin.CallerResponse {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	request.Daemon, request.Host, request.APIKey = c.daemon.boot.CallerAddress, "h.example", "key"
	if request.DeadlineMS == 0 {
		request.DeadlineMS = int(crowdRouteTimeout.Milliseconds())
	}
	return request.Do(c.t.Context(), client)
}

// awaitEnd waits until the daemon has ended a connection, whatever it sends before, and reports whether it did.
func awaitEnd(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err := io.Copy(io.Discard, conn)
	netErr, ok := err.(net.Error)
	return !ok || !netErr.Timeout()
}
