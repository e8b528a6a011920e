package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/platform/standin"
)

// callLog records the calls of all callers with their outcomes.
type callLog struct {
	mu         sync.Mutex
	calls      []Call
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

// list returns a copy of the calls.
func (l *callLog) list() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}

// newClient returns an HTTP client that keeps connections open, as a caller's does. It never
// repeats a POST request, and callers send no others.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// call sends a daemon one valid request and records the outcome. The request is for the path's
// own route or, with a temporaryRoute above 0, for the temporary route of that number.
func (tb *testbed) call(ctx context.Context, client *http.Client, daemon int, path *Path, temporaryRoute int) Call {
	return tb.send(ctx, client, Call{Daemon: daemon, Path: path, TemporaryRoute: temporaryRoute, RequestBody: "a body"})
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
	c.Sent = time.Now()
	response := request.Do(ctx, client)
	c.Done = time.Now()
	c.Disconnected = ctx.Err() != nil
	c.Status, c.Body, c.Complete, c.HasRetryAfter = response.Status, response.Body, response.Err == nil, response.RetryAfter() != ""
	tb.calls.add(c)
	return c
}

// The behaviour of callers: some disconnect early; each stays with a daemon for up to maxStay
// and then gets another one in rotation.
const (
	callerCount         = 24
	disconnectShare     = 0.05
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
			tb.call(callCtx, client, daemon, path, temporaryRoute)
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
