package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"doorstack.dev/platform/standin"
)

// callLog records the calls of all callers with their outcomes.
type callLog struct {
	mu         sync.Mutex
	calls      []Call
	duplicates []Duplicate
	lastNumber int
}

// newID returns the ID of a new call.
func (l *callLog) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	return fmt.Sprint("call-", l.lastNumber)
}

func (l *callLog) add(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *callLog) addDuplicate(d Duplicate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.duplicates = append(l.duplicates, d)
}

// listDuplicates returns a copy of the duplicates.
func (l *callLog) listDuplicates() []Duplicate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Duplicate(nil), l.duplicates...)
}

// list returns a copy of the calls.
func (l *callLog) list() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}

// newClient returns an HTTP client that keeps connections open, as a caller's does. It never
// repeats a POST request by itself, and callers send no others; see Call.RepeatedAt.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// call sends a daemon one valid request for the path's own route and records the outcome.
func (tb *testbed) call(ctx context.Context, client *http.Client, daemon int, path *Path) Call {
	return tb.send(ctx, client, Call{Daemon: daemon, Path: path, RequestBody: "a body"})
}

// send sends the request of a call, which has the fields that describe it, and records the outcome.
func (tb *testbed) send(ctx context.Context, client *http.Client, c Call) Call {
	c.ID, c.Timeout = tb.calls.newID(), c.Path.Timeout
	if c.Path.Streaming && c.PromptParts == "" {
		c.PromptParts = soundParts(c.ID)
	}
	request := &standin.CallerRequest{
		Daemon: tb.daemons[c.Daemon].frontend.Address(), Host: callHost, Path: c.Path.Prefix + "x", ID: c.ID, APIKey: apiKeyPrefix + c.account(),
		TokenCounts: c.Path.TokenCounts, PromptParts: c.PromptParts, DeadlineMS: int(c.Timeout.Milliseconds()), Body: c.RequestBody, ReadPause: tb.pauseOfCaller(),
	}
	if c.TemporaryRoute > 0 {
		request.Path = temporaryPrefix(c.TemporaryRoute) + "x"
	}
	if !strings.HasPrefix(c.RequestBody, crashBodyPrefix) { // Those are copies of one call, its path included.
		request.Path += pathRests[rand.IntN(len(pathRests))]
	}
	c.URI = request.Path
	c.Sent = time.Now()
	var response standin.CallerResponse
	if c.HalfClosed {
		response = halfClose(ctx, request)
	} else {
		response = request.Do(ctx, client)
	}
	if !c.Path.Repeatable && !c.HalfClosed && response.Status == 0 && ctx.Err() == nil && rand.Float64() < resendShare {
		c.RepeatedAt = time.Now()
		if rand.IntN(2) == 0 {
			request.Daemon = tb.daemons[tb.pickReadyDaemon()].frontend.Address()
		}
		response = request.Do(ctx, client)
	}
	c.Done = time.Now()
	c.Disconnected = ctx.Err() != nil || c.HalfClosed
	c.Unsigned = !response.Signed()
	c.Status, c.Body, c.Complete, c.HasRetryAfter = response.Status, response.Body, response.Err == nil, response.RetryAfter() != ""
	tb.calls.add(c)
	return c
}

// pathRests are ends of paths that are matched and sent byte by byte.
var pathRests = []string{"", "", "", "//y", "/a%2Fb", "/../y", "/%2e%2e/y", "?q=1&r=%zz"}

// halfClose sends a request over a connection of its own, closes the sending side, and reads the answer, if there is one. The
// call counts as one whose caller has left.
func halfClose(ctx context.Context, request *standin.CallerRequest) standin.CallerResponse {
	failed := func(err error) standin.CallerResponse { return standin.CallerResponse{Header: http.Header{}, Err: err} }
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", request.Daemon)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	if err := request.HTTPRequest(ctx).Write(conn); err != nil {
		return failed(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return failed(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return standin.CallerResponse{Status: resp.StatusCode, Header: resp.Header, Body: string(text), Err: err}
}

// The behaviour of callers: some disconnect early; each stays with a daemon for up to maxStay
// and then gets another one in rotation.
const (
	callerCount         = 24
	disconnectShare     = 0.05
	halfCloseShare      = 0.02
	resendShare         = 0.5 // of the calls that may run once and got no answer
	disconnectAfter     = 60 * time.Millisecond
	maxStay             = 2 * time.Second
	maxThinkTime        = 40 * time.Millisecond
	temporaryRouteShare = 0.2
	largeShare          = 0.03
	// giveUpAfter is how long after a call's timeout the caller still waits for the answer.
	giveUpAfter = 3 * time.Second
)

// runCaller makes calls until ctx ends.
func (tb *testbed) runCaller(ctx context.Context) {
	for ctx.Err() == nil {
		client := newClient()
		daemon := tb.pickReadyDaemon()
		stay := time.Now().Add(rand.N(maxStay))
		if tb.herdDaemon.Load() > 0 {
			stay = time.Now()
		}
		for first := true; (first || time.Now().Before(stay)) && ctx.Err() == nil; first = false {
			path, temporaryRoute := tb.pickPath()
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), path.Timeout+giveUpAfter)
			if rand.Float64() < disconnectShare {
				callCtx, cancel = context.WithTimeout(context.WithoutCancel(ctx), disconnectAfter)
			}
			tb.send(callCtx, client, Call{Daemon: daemon, Path: path, TemporaryRoute: temporaryRoute, RequestBody: "a body", HalfClosed: rand.Float64() < halfCloseShare})
			cancel()
			sleep(ctx, rand.N(maxThinkTime))
		}
		client.CloseIdleConnections()
	}
}

// pickPath draws a path and, with the probability temporaryRouteShare, the number of a temporary
// route; the number is 0 otherwise.
func (tb *testbed) pickPath() (*Path, int) {
	switch draw := rand.Float64(); {
	case draw < temporaryRouteShare:
		return safePath, tb.pickTemporaryRoute()
	case draw < temporaryRouteShare+largeShare:
		return largePath, 0
	default:
		return paths[rand.IntN(3)], 0
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
