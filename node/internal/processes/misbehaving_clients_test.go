package processes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// requestHead is the beginning of a request to each listener, without the end of its head.
const requestHead = "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Credential: key\r\nX-Request-Id: crowd-{n}\r\nX-Deadline-Ms: 2000\r\n"

// headsOverTheLimit are crowds whose heads exceed the limit of the settings; most stay below the one of net/http.
var headsOverTheLimit = map[string]crowd{
	"lines":       {clients: 40, begin: requestHead, part: "k{n}:\r\n", limit: 900 << 10},
	"equal lines": {clients: 40, begin: requestHead, part: "k:\r\n", limit: 900 << 10},
	"value":       {clients: 80, begin: requestHead + "Value: ", part: "x", limit: 900 << 10},
	"folded line": {clients: 200, begin: requestHead + "Value: x", part: "\r\n x", limit: 900 << 10},
	"path":        {clients: 160, begin: "GET /", part: "x", limit: 900 << 10},
	"no end":      {clients: 20, connections: 3, begin: requestHead, part: "k{n}: v\r\n", limit: 16 << 20},
}

// TestHeadsOverTheLimitStayWithinTheMemory guards against heads over the limit, or without end, that a daemon holds until it
// exceeds the memory of its machine.
func TestHeadsOverTheLimitStayWithinTheMemory(t *testing.T) {
	w := buildPrograms(t)
	for _, listener := range listeners {
		for name, crowd := range headsOverTheLimit {
			t.Run(listener+"/"+name, func(t *testing.T) { newCrowdTest(t, w).play(listener, crowd) })
		}
	}
}

// TestUnfinishedHeadsStayWithinTheMemory guards against heads within the limit, whose ends do not come, on so many connections
// that together they exceed the memory of the machine.
func TestUnfinishedHeadsStayWithinTheMemory(t *testing.T) {
	w := buildPrograms(t)
	for _, listener := range listeners {
		t.Run(listener, func(t *testing.T) {
			newCrowdTestOn(t, w, 4200).play(listener, crowd{clients: 1500, begin: requestHead, part: "k{n}:\r\n", limit: crowdMaxHead - 16})
		})
	}
}

// TestEmptyLinesBeforeARequestStayWithinTheMemory guards against empty lines without end, before the first request of a
// connection or the next.
func TestEmptyLinesBeforeARequestStayWithinTheMemory(t *testing.T) {
	w := buildPrograms(t)
	request := requestHead + "Content-Length: 1\r\n\r\nx"
	for _, listener := range listeners {
		t.Run(listener+"/first", func(t *testing.T) {
			newCrowdTest(t, w).play(listener, crowd{clients: 40, connections: 3, part: "\r\n", limit: 4 << 20})
		})
		t.Run(listener+"/next", func(t *testing.T) {
			newCrowdTest(t, w).play(listener, crowd{clients: 40, connections: 3, begin: request, part: "\r\n", limit: 4 << 20})
		})
	}
}

// TestConnectionsStayWithinTheDescriptors guards against connections without a request, or with a part of one, that take the
// descriptors of the machine: there are none left for ordinary callers, targets and the store.
func TestConnectionsStayWithinTheDescriptors(t *testing.T) {
	w := buildPrograms(t)
	for _, listener := range listeners {
		t.Run(listener+"/silent", func(t *testing.T) { newCrowdTest(t, w).play(listener, crowd{clients: 600}) })
		t.Run(listener+"/unfinished", func(t *testing.T) { newCrowdTest(t, w).play(listener, crowd{clients: 600, begin: requestHead}) })
	}
}

// TestConnectionsOfAllListenersStayWithinTheDescriptors is the same for a crowd at each listener at once.
func TestConnectionsOfAllListenersStayWithinTheDescriptors(t *testing.T) {
	c := newCrowdTest(t, buildPrograms(t))
	for _, listener := range listeners[1:] {
		c.send(listener, crowd{clients: 200})
	}
	c.play(callersListener, crowd{clients: 200})
}

// TestBodiesThatDoNotArriveStayWithinTheMemory guards against buffers for bodies of which little or nothing arrives.
func TestBodiesThatDoNotArriveStayWithinTheMemory(t *testing.T) {
	w := buildPrograms(t)
	for name, body := range map[string]crowd{
		"nothing":               {begin: "Content-Length: 60000\r\n\r\n"},
		"all but the last byte": {begin: "Content-Length: 60000\r\n\r\n", part: "x", limit: 60000},
		"chunks":                {begin: "Transfer-Encoding: chunked\r\n\r\n", part: "1\r\nx\r\n", limit: 300 << 10},
	} {
		body.clients, body.begin = 1500, requestHead+body.begin
		t.Run(name, func(t *testing.T) { newCrowdTestOn(t, w, 4200).play(callersListener, body) })
	}
}

// TestTrailersAndChunksWithoutEndStayWithinTheMemory guards against a body in chunks whose framing has no end.
func TestTrailersAndChunksWithoutEndStayWithinTheMemory(t *testing.T) {
	w := buildPrograms(t)
	chunked := requestHead + "Transfer-Encoding: chunked\r\n\r\n"
	for name, crowd := range map[string]crowd{
		"trailer":         {clients: 60, begin: chunked + "0\r\n", part: "k{n}:\r\n", limit: 4 << 20},
		"chunk extension": {clients: 60, begin: chunked + "1;", part: "x", limit: 4 << 20},
		"small chunks":    {clients: 60, begin: chunked, part: "1\r\nx\r\n", limit: 4 << 20},
		"chunk size":      {clients: 60, begin: chunked, part: "0", limit: 4 << 20},
	} {
		t.Run(name, func(t *testing.T) { newCrowdTest(t, w).play(callersListener, crowd) })
	}
}

// TestUnreadRequestBodyDoesNotHoldTheConnection guards against a connection that is held for as long as its client likes,
// because the rest of a body is awaited after the request has been answered.
func TestUnreadRequestBodyDoesNotHoldTheConnection(t *testing.T) {
	c := newCrowdTest(t, buildPrograms(t))
	c.checkConnectionsEnd(map[string][]string{
		callersListener: {"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Credential: unknown\r\nContent-Length: 1000\r\n\r\n"},
		readyListener:   {"GET /ready HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\n"},
		peersListener:   {"GET / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\n"},
		adminListener:   {"GET /metrics HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\n\r\n"},
	})
}

// TestUnreadAnswersDoNotHoldTheConnection guards against a connection that is held by a client that sends requests and reads
// none of the answers.
func TestUnreadAnswersDoNotHoldTheConnection(t *testing.T) {
	c := newCrowdTest(t, buildPrograms(t))
	var clients sync.WaitGroup
	for _, listener := range listeners {
		conn, requests := c.dial(listener), strings.Repeat("GET /ready HTTP/1.1\r\nHost: h.example\r\n\r\n", 100)
		// The daemon stops to read once its own answers are not read.
		_ = conn.SetWriteDeadline(time.Now().Add(waitTimeout))
		clients.Go(func() {
			err := error(nil)
			for err == nil {
				_, err = io.WriteString(conn, requests)
			}
			if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
				t.Errorf("%s: the daemon holds the connection for over %v", listener, waitTimeout)
			}
		})
	}
	clients.Wait()
	c.checkAnswers()
}

// TestSilentConnectionsEnd guards against connections that are held for as long as their clients like.
func TestSilentConnectionsEnd(t *testing.T) {
	c := newCrowdTest(t, buildPrograms(t))
	all := map[string][]string{}
	for _, listener := range listeners {
		all[listener] = []string{"", "GET /ready HTTP/1.1\r\nHost: h.example\r\n\r\n", requestHead}
	}
	c.checkConnectionsEnd(all)
}

// TestLargeMessagesBeforeThePeersProofStayWithinTheMemory guards against messages of clients that have not proved to be daemons
// and are held whole.
func TestLargeMessagesBeforeThePeersProofStayWithinTheMemory(t *testing.T) {
	upgrade := "GET / HTTP/1.1\r\nHost: h.example\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	const size = 2 << 20
	frame := string([]byte{0x82, 0xff, 0, 0, 0, 0, size >> 24, size >> 16 & 0xff, size >> 8 & 0xff, size & 0xff, 0, 0, 0, 0})
	c := newCrowdTest(t, buildPrograms(t))
	c.play(peersListener, crowd{clients: 200, begin: upgrade + frame, part: "x", limit: size - 1024})
}

// TestRequestIDsAreNotLoggedAtLength guards against request ids, which clients choose, that fill logs and the lines that wait to
// be written: with a slow reader of the log they exceed the memory of the machine.
func TestRequestIDsAreNotLoggedAtLength(t *testing.T) {
	c := newCrowdTest(t, buildPrograms(t))
	if err := c.daemon.stdout.SetReadDeadline(time.Now()); err != nil { // Nobody reads the log.
		t.Fatal(err)
	}
	id := strings.Repeat("\xff", crowdMaxHead-1024)
	request := "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Credential: key\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	c.play(callersListener, crowd{clients: 20, begin: request, part: request, limit: 4 << 20})
}

// TestRequestsAtTheLimits checks that a request with the largest head or body that the limits allow is served, also beside others
// like it, and that one byte more is refused.
func TestRequestsAtTheLimits(t *testing.T) {
	c := newCrowdTest(t, buildPrograms(t))
	conn := c.dial(callersListener)
	head := strings.ReplaceAll(requestHead, "{n}", "1") + "Content-Length: 2\r\nPadding: "
	for _, over := range []int{0, 0, 1} {
		padding := strings.Repeat("p", crowdMaxHead-len(head)-len("\r\n\r\n")+over)
		if over > 0 { // The head's limit holds for its lines after the first.
			padding += strings.Repeat("p", strings.Index(head, "\n")+1)
		}
		status := c.rawStatus(conn, head+padding+"\r\n\r\nhi")
		if want := map[int]int{0: http.StatusOK, 1: http.StatusRequestHeaderFieldsTooLarge}[over]; status != want {
			t.Errorf("a head of %d bytes over the limit got %d, want %d", over, status, want)
		}
	}
	for over, want := range map[int]int{0: http.StatusOK, 1: http.StatusRequestEntityTooLarge} {
		got := c.ordinary(&standin.CallerRequest{Path: "/safe/x", ID: fmt.Sprint("body-", over), Body: strings.Repeat("b", crowdMaxBody+over)})
		if got.Status != want || got.Err != nil {
			t.Errorf("a body of %d bytes over the limit got %d, %v, want %d", over, got.Status, got.Err, want)
		}
	}
	c.checkAnswers()
}

// dial connects to a listener.
func (c *crowdTest) dial(listener string) net.Conn {
	c.t.Helper()
	conn, err := net.DialTimeout("tcp", c.address(listener), waitTimeout)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// checkConnectionsEnd sends bytes on a connection each, by listener, and checks that the daemon ends the connections.
func (c *crowdTest) checkConnectionsEnd(byListener map[string][]string) {
	c.t.Helper()
	var clients sync.WaitGroup
	for listener, list := range byListener {
		for _, bytes := range list {
			conn := c.dial(listener)
			clients.Go(func() {
				if _, err := io.WriteString(conn, bytes); err != nil || !awaitEnd(conn) {
					c.t.Errorf("%s: the daemon holds a connection for over %v after %.60q; %v", listener, waitTimeout, bytes, err)
				}
			})
		}
	}
	clients.Wait()
	c.checkAnswers()
}

// rawStatus sends a request as it is and returns the status of its answer, or 0 if there is none.
func (c *crowdTest) rawStatus(conn net.Conn, request string) int {
	c.t.Helper()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.t.Error(err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
