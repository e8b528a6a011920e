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

// diary is what callers have seen.
type diary struct {
	mu    sync.Mutex
	calls []Call
	next  int
}

func (d *diary) id() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	return fmt.Sprint("call-", d.next)
}

func (d *diary) add(c Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, c)
}

func (d *diary) list() []Call {
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
func (w *world) call(ctx context.Context, client *http.Client, daemon int, path *Path, route int) Call {
	return w.callOf(ctx, client, daemon, path, route, "a body")
}

func (w *world) callOf(ctx context.Context, client *http.Client, daemon int, path *Path, route int, body string) Call {
	ask := &standin.CallerRequest{
		Daemon: w.daemons[daemon].front.Address(), Host: host, Path: path.Prefix + "x", ID: w.diary.id(), APIKey: key,
		TokenCounts: path.Tokens, DeadlineMS: int(path.Allowed.Milliseconds()), Body: body,
	}
	if route > 0 {
		ask.Path = passing(route) + "x"
	}
	c := Call{ID: ask.ID, Daemon: daemon, Path: path, Route: route, Sent: time.Now(), Allowed: path.Allowed, Asked: body}
	got := ask.Do(ctx, client)
	c.Done = time.Now()
	c.Left = ctx.Err() != nil
	c.Status, c.Body, c.Whole, c.Again = got.Status, got.Body, got.Err == nil, got.RetryAfter() != ""
	w.diary.add(c)
	return c
}

// How callers behave: some leave early, each stays with a daemon for a while, and a
// balancer sends new ones to daemons that were ready when last asked.
const (
	callers     = 24
	leaveShare  = 0.05
	leaveAfter  = 60 * time.Millisecond
	stayLongest = 2 * time.Second
	thinkMost   = 40 * time.Millisecond
	routeShare  = 0.2
	largeShare  = 0.03
	// giveUpAfter is how long past its time a caller listens before it gives up.
	giveUpAfter = 3 * time.Second
)

// run is a caller's life until ctx ends.
func (w *world) caller(ctx context.Context) {
	for ctx.Err() == nil {
		client := newClient()
		daemon := w.pickReady()
		stay := time.Now().Add(rand.N(stayLongest))
		for time.Now().Before(stay) && ctx.Err() == nil {
			path, route := w.pickPath()
			own, cancel := context.WithTimeout(context.WithoutCancel(ctx), path.Allowed+giveUpAfter)
			if rand.Float64() < leaveShare {
				own, cancel = context.WithTimeout(context.WithoutCancel(ctx), leaveAfter)
			}
			w.call(own, client, daemon, path, route)
			cancel()
			pause(ctx, rand.N(thinkMost))
		}
		client.CloseIdleConnections()
	}
}

func (w *world) pickPath() (*Path, int) {
	switch draw := rand.Float64(); {
	case draw < routeShare:
		return safePath, w.pickRoute()
	case draw < routeShare+largeShare:
		return largePath, 0
	default:
		return paths[rand.IntN(3)], 0
	}
}

// pause waits, unless ctx ends first.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
