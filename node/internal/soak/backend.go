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
	accountName = "a"
	apiKey      = "key-of-a"
	callHost    = "calls.example"
)

// The services of the test configuration.
const (
	plainService  = "plain"
	engineService = "engines"
)

// Path is a route as callers use it.
type Path struct {
	Prefix, Kind, Service string
	MaxAttempts           int
	Repeatable            bool
	// Tokens are the lengths of prompt and answer that callers state.
	TokenCounts string
	// Allowed is how long callers wait, Goal the time within which an answer is on time.
	Timeout, LatencyGoal time.Duration
	// Streams tells that the answer is a stream of events.
	Streaming bool
}

// The routes. Answers of large have their prompts' memory spread over several engines.
var (
	safePath   = &Path{Prefix: "/safe/", Kind: "safe", Service: plainService, MaxAttempts: 2, Repeatable: true, Timeout: 3 * time.Second, LatencyGoal: 300 * time.Millisecond}
	unsafePath = &Path{Prefix: "/unsafe/", Kind: "unsafe", Service: plainService, MaxAttempts: 1, Timeout: 3 * time.Second, LatencyGoal: 300 * time.Millisecond}
	streamPath = &Path{Prefix: "/stream/", Kind: "streaming", Service: engineService, MaxAttempts: 2, Repeatable: true, TokenCounts: "2000,100", Timeout: 8 * time.Second, LatencyGoal: 300 * time.Millisecond, Streaming: true}
	largePath  = &Path{Prefix: "/large/", Kind: "streaming", Service: engineService, MaxAttempts: 2, Repeatable: true, TokenCounts: "150000,100", Timeout: 12 * time.Second, LatencyGoal: 3 * time.Second, Streaming: true}
	paths      = []*Path{safePath, unsafePath, streamPath, largePath}
)

// eventCount is how many events the answer to a call has.
func eventCount(id string) int { return 4 + int(rendezvous.Score("events", id)%12) }

func eventText(id string, i int) string { return fmt.Sprint(id, " piece ", i) }

// Answer is the whole answer to a call.
func (p *Path) Answer(id string) string {
	if !p.Streaming {
		return "answer to " + id
	}
	text := ""
	for i := 1; i <= eventCount(id); i++ {
		text += standin.EventText(i, eventText(id, i))
	}
	return text
}

// backend is a target with the link before it.
type backend struct {
	target     *standin.Target
	service    string
	link       *Link
	executions *executionLog

	mu             sync.Mutex
	injectFailures bool
	// leaves and rests are what the target says of itself in its answers.
	announceDraining, requestBackoff bool
	// limit is the limit that it names; nil where it names none.
	rateLimit *float64
}

// executionLog is what targets have seen.
type executionLog struct {
	mu     sync.Mutex
	byCall map[string][]*Execution
}

func (l *executionLog) add(r Execution) *Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &r
	l.byCall[r.ID] = append(l.byCall[r.ID], run)
	return run
}

func (l *executionLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// list copies the runs.
func (l *executionLog) list() map[string][]Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string][]Execution{}
	for id, runs := range l.byCall {
		for _, r := range runs {
			all[id] = append(all[id], *r)
		}
	}
	return all
}

func newBackend(id, service string, seen *executionLog) (*backend, error) {
	address, err := testaddr.Find()
	if err != nil {
		return nil, err
	}
	b := &backend{target: standin.NewTarget(id), service: service, executions: seen}
	b.target.Script(b.serve)
	b.link, err = NewLink(address, b.target.Address())
	return b, err
}

func (b *backend) setInjectFailures(fails bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.injectFailures = fails
}

func (b *backend) injectsFailures() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.injectFailures
}

// How an answer is made: a plain one takes maxWorkTime at most, events come eventInterval.
const (
	maxWorkTime   = 60 * time.Millisecond
	eventInterval = 15 * time.Millisecond
)

// serve answers a call, or fails in one of the ways in which targets do.
func (b *backend) serve(w http.ResponseWriter, r *http.Request, c standin.Call) {
	run := b.executions.add(Execution{ID: c.ID, Target: b.target.ID, Service: b.service, Account: c.Account(), APIKey: c.APIKey(), Started: time.Now(), LastEvent: c.LastEventID()})
	defer b.executions.update(func() { run.Ended = time.Now() })
	if strings.HasPrefix(c.Body, crashBodyPrefix) {
		b.executions.update(func() { run.Crashed = true })
		b.crash(w, r, c)
		return
	}
	if b.writeNotices(w, run) {
		standin.Reject(w, r, c)
		return
	}
	way := 1.0
	if b.injectsFailures() {
		way = rand.Float64()
	}
	switch {
	case way < 0.15:
		b.executions.update(func() { run.Rejected = true })
		standin.Reject(w, r, c)
	case way < 0.3:
		standin.Answer(http.StatusInternalServerError, "broken")(w, r, c)
	case way < 0.5:
		standin.CloseConnection(w, r, c)
	case way < 0.6:
		<-r.Context().Done() // It hangs.
	case b.service == engineService:
		b.stream(w, r, c, way < 0.8)
	default:
		select {
		case <-time.After(rand.N(maxWorkTime)):
		case <-r.Context().Done():
			return
		}
		standin.Succeed(safePath.Answer(c.ID))(w, r, c)
	}
}

func (b *backend) stream(w http.ResponseWriter, r *http.Request, c standin.Call, breaks bool) {
	s := standin.EventStream{From: 1, To: eventCount(c.ID), Interval: eventInterval, Text: func(i int) string { return eventText(c.ID, i) }}
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
