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

// callLog is what callers have seen.
type callLog struct {
	mu         sync.Mutex
	calls      []Call
	lastNumber int
}

func (d *callLog) newID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastNumber++
	return fmt.Sprint("call-", d.lastNumber)
}

func (d *callLog) add(c Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, c)
}

func (d *callLog) list() []Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Call(nil), d.calls...)
}

// newClient keeps connections open like a caller's. POST requests, which are all that it
// sends, it never repeats by itself.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// call makes one sound request to a daemon and writes it down.
func (w *testbed) call(ctx context.Context, client *http.Client, daemon int, path *Path, route int) Call {
	return w.callWithBody(ctx, client, daemon, path, route, "a body")
}

func (w *testbed) callWithBody(ctx context.Context, client *http.Client, daemon int, path *Path, route int, body string) Call {
	ask := &standin.CallerRequest{
		Daemon: w.daemons[daemon].frontend.Address(), Host: callHost, Path: path.Prefix + "x", ID: w.calls.newID(), APIKey: apiKey,
		TokenCounts: path.TokenCounts, DeadlineMS: int(path.Timeout.Milliseconds()), Body: body,
	}
	if route > 0 {
		ask.Path = temporaryPrefix(route) + "x"
	}
	c := Call{ID: ask.ID, Daemon: daemon, Path: path, Route: route, Sent: time.Now(), Timeout: path.Timeout, RequestBody: body}
	got := ask.Do(ctx, client)
	c.Done = time.Now()
	c.Disconnected = ctx.Err() != nil
	c.Status, c.Body, c.Complete, c.HasRetryAfter = got.Status, got.Body, got.Err == nil, got.RetryAfter() != ""
	w.calls.add(c)
	return c
}

// How callers behave: some leave early, each stays with a daemon for a while, and a
// balancer sends new ones to daemons that were ready when last asked.
const (
	callerCount         = 24
	disconnectShare     = 0.05
	disconnectAfter     = 60 * time.Millisecond
	maxStay             = 2 * time.Second
	maxThinkTime        = 40 * time.Millisecond
	temporaryRouteShare = 0.2
	largeShare          = 0.03
	// giveUpAfter is how long past its time a caller listens before it gives up.
	giveUpAfter = 3 * time.Second
)

// run is a caller's life until ctx ends.
func (w *testbed) runCaller(ctx context.Context) {
	for ctx.Err() == nil {
		client := newClient()
		daemon := w.pickReadyDaemon()
		stay := time.Now().Add(rand.N(maxStay))
		for time.Now().Before(stay) && ctx.Err() == nil {
			path, route := w.pickPath()
			own, cancel := context.WithTimeout(context.WithoutCancel(ctx), path.Timeout+giveUpAfter)
			if rand.Float64() < disconnectShare {
				own, cancel = context.WithTimeout(context.WithoutCancel(ctx), disconnectAfter)
			}
			w.call(own, client, daemon, path, route)
			cancel()
			sleep(ctx, rand.N(maxThinkTime))
		}
		client.CloseIdleConnections()
	}
}

func (w *testbed) pickPath() (*Path, int) {
	switch draw := rand.Float64(); {
	case draw < temporaryRouteShare:
		return safePath, w.pickTemporaryRoute()
	case draw < temporaryRouteShare+largeShare:
		return largePath, 0
	default:
		return paths[rand.IntN(3)], 0
	}
}

// sleep waits, unless ctx ends first.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
