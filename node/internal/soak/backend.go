package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"doorstack.dev/core/rendezvous"
	"doorstack.dev/node/internal/testaddr"
	"doorstack.dev/platform/standin"
)

// The account of all callers, and its key.
const (
	account = "a"
	key     = "key-of-a"
	host    = "calls.example"
)

// The services of the test configuration.
const (
	plain   = "plain"
	engines = "engines"
)

// Path is a route as callers use it.
type Path struct {
	Prefix, Kind, Service string
	Attempts              int
	Repeatable            bool
	// Tokens are the lengths of prompt and answer that callers state.
	Tokens string
	// Allowed is how long callers wait, Goal the time within which an answer is on time.
	Allowed, Goal time.Duration
	// Streams tells that the answer is a stream of events.
	Streams bool
}

// The routes. Answers of large have their prompts' memory spread over several engines.
var (
	safePath   = &Path{Prefix: "/safe/", Kind: "safe", Service: plain, Attempts: 2, Repeatable: true, Allowed: 3 * time.Second, Goal: 300 * time.Millisecond}
	unsafePath = &Path{Prefix: "/unsafe/", Kind: "unsafe", Service: plain, Attempts: 1, Allowed: 3 * time.Second, Goal: 300 * time.Millisecond}
	streamPath = &Path{Prefix: "/stream/", Kind: "streaming", Service: engines, Attempts: 2, Repeatable: true, Tokens: "2000,100", Allowed: 8 * time.Second, Goal: 300 * time.Millisecond, Streams: true}
	largePath  = &Path{Prefix: "/large/", Kind: "streaming", Service: engines, Attempts: 2, Repeatable: true, Tokens: "150000,100", Allowed: 12 * time.Second, Goal: 3 * time.Second, Streams: true}
	paths      = []*Path{safePath, unsafePath, streamPath, largePath}
)

// events is how many events the answer to a call has.
func events(id string) int { return 4 + int(rendezvous.Score("events", id)%12) }

func eventText(id string, i int) string { return fmt.Sprint(id, " piece ", i) }

// Answer is the whole answer to a call.
func (p *Path) Answer(id string) string {
	if !p.Streams {
		return "answer to " + id
	}
	text := ""
	for i := 1; i <= events(id); i++ {
		text += standin.EventText(i, eventText(id, i))
	}
	return text
}

// backend is a target with the link before it.
type backend struct {
	target  *standin.Target
	service string
	link    *Link
	seen    *ledger

	mu    sync.Mutex
	fails bool
	// leaves and rests are what the target says of itself in its answers.
	leaves, rests bool
	// limit is the limit that it names; nil where it names none.
	limit *float64
}

// ledger is what targets have seen.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]*Run
}

func (l *ledger) begin(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &r
	l.runs[r.ID] = append(l.runs[r.ID], run)
	return run
}

func (l *ledger) note(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// list copies the runs.
func (l *ledger) list() map[string][]Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string][]Run{}
	for id, runs := range l.runs {
		for _, r := range runs {
			all[id] = append(all[id], *r)
		}
	}
	return all
}

func newBackend(id, service string, seen *ledger) (*backend, error) {
	address, err := testaddr.Find()
	if err != nil {
		return nil, err
	}
	b := &backend{target: standin.NewTarget(id), service: service, seen: seen}
	b.target.Script(b.serve)
	b.link, err = NewLink(address, b.target.Address())
	return b, err
}

func (b *backend) setFails(fails bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fails = fails
}

func (b *backend) failing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fails
}

// How an answer is made: a plain one takes workMost at most, events come eventEvery.
const (
	workMost   = 60 * time.Millisecond
	eventEvery = 15 * time.Millisecond
)

// serve answers a call, or fails in one of the ways in which targets do.
func (b *backend) serve(w http.ResponseWriter, r *http.Request, c standin.Call) {
	run := b.seen.begin(Run{ID: c.ID, Target: b.target.ID, Service: b.service, Account: c.Account(), Key: c.APIKey(), At: time.Now(), After: c.LastEventID()})
	defer b.seen.note(func() { run.Ended = time.Now() })
	if strings.HasPrefix(c.Body, crashBody) {
		b.seen.note(func() { run.Crashed = true })
		b.crash(w, r, c)
		return
	}
	if b.speak(w, run) {
		standin.Reject(w, r, c)
		return
	}
	way := 1.0
	if b.failing() {
		way = rand.Float64()
	}
	switch {
	case way < 0.15:
		b.seen.note(func() { run.TurnedAway = true })
		standin.Reject(w, r, c)
	case way < 0.3:
		standin.Answer(http.StatusInternalServerError, "broken")(w, r, c)
	case way < 0.5:
		standin.CloseConnection(w, r, c)
	case way < 0.6:
		<-r.Context().Done() // It hangs.
	case b.service == engines:
		b.stream(w, r, c, way < 0.8)
	default:
		select {
		case <-time.After(rand.N(workMost)):
		case <-r.Context().Done():
			return
		}
		standin.Succeed(safePath.Answer(c.ID))(w, r, c)
	}
}

func (b *backend) stream(w http.ResponseWriter, r *http.Request, c standin.Call, breaks bool) {
	s := standin.EventStream{From: 1, To: events(c.ID), Interval: eventEvery, Text: func(i int) string { return eventText(c.ID, i) }}
	if after := c.LastEventID(); after != "" {
		if _, err := fmt.Sscan(after, &s.From); err != nil {
			panic(http.ErrAbortHandler) // A daemon that asks for no event gets no answer.
		}
		s.From++
	}
	if breaks && s.From < s.To {
		s.To, s.Truncated = s.From+rand.IntN(s.To-s.From), true
	}
	s.Serve(w, r, c)
}

func (b *backend) close() {
	b.link.Close()
	b.target.Server.CloseClientConnections()
	b.target.Server.Close()
}
