package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"doorstack.dev/core/rendezvous"
	"doorstack.dev/node/internal/testaddr"
	"doorstack.dev/platform/standin"
)

// The account that all calls but those of floods belong to, its API key and the host name that callers use.
const (
	accountName  = "a"
	apiKeyPrefix = "key-of-"
	apiKey       = apiKeyPrefix + accountName
	callHost     = "calls.example"
)

// The services of the configuration: one of plain services and one of model engines.
const (
	plainService  = "plain"
	engineService = "engines"
)

// Path is a route that each configuration has, and how callers use it. Calls of temporary
// routes, which configurations add and remove, use safePath under another prefix.
type Path struct {
	Prefix, Kind, Service string
	MaxAttempts           int
	Repeatable            bool
	// TokenCounts are the lengths of prompt and answer that callers declare: "prompt,output".
	TokenCounts string
	// Timeout is how long callers wait, LatencyGoal the time within which an answer is on time.
	Timeout, LatencyGoal time.Duration
	// Streaming means that the answer is a stream of events.
	Streaming bool
}

// The paths of the configuration. The prompts of largePath need the memory of several engines.
var (
	safePath   = &Path{Prefix: "/safe/", Kind: "safe", Service: plainService, MaxAttempts: 2, Repeatable: true, Timeout: 3 * time.Second, LatencyGoal: 300 * time.Millisecond}
	unsafePath = &Path{Prefix: "/unsafe/", Kind: "unsafe", Service: plainService, MaxAttempts: 1, Timeout: 3 * time.Second, LatencyGoal: 300 * time.Millisecond}
	streamPath = &Path{Prefix: "/stream/", Kind: "streaming", Service: engineService, MaxAttempts: 2, Repeatable: true, TokenCounts: "2000,100", Timeout: 8 * time.Second, LatencyGoal: 300 * time.Millisecond, Streaming: true}
	largePath  = &Path{Prefix: "/large/", Kind: "streaming", Service: engineService, MaxAttempts: 2, Repeatable: true, TokenCounts: "150000,100", Timeout: 12 * time.Second, LatencyGoal: 3 * time.Second, Streaming: true}
	paths      = []*Path{safePath, unsafePath, streamPath, largePath}
)

// eventCount returns how many events the streamed answer to a call has: 4 to 15, by a hash of
// the call's ID, so that targets and judge expect the same number.
func eventCount(id string) int { return 4 + int(rendezvous.Score("events", id)%12) }

// firstEventID returns the id of the first event of the streamed answer to a call: 0 or 1.
func firstEventID(id string) int { return int(rendezvous.Score("first", id) % 2) }

// eventText returns the text of event i of the answer to a call.
func eventText(id string, i int) string { return fmt.Sprint(id, " piece ", i) }

// Answer returns the complete answer to a call.
func (p *Path) Answer(id string) string {
	if !p.Streaming {
		return "answer to " + id
	}
	text := ""
	for i := firstEventID(id); i <= eventCount(id); i++ {
		text += standin.EventText(i, eventText(id, i))
	}
	return text
}

// backend is a target and the link through which daemons reach it.
type backend struct {
	target     *standin.Target
	service    string
	link       *Link
	executions *executionLog

	mu             sync.Mutex
	injectFailures bool
	// announceDraining and requestBackoff select the notices in the target's answers: that the
	// target drains, and that the daemon is to back off.
	announceDraining, requestBackoff bool
	// unframed makes the target answer without a length and without chunks.
	unframed bool
	// rateLimit is the limit in the target's answers, in calls per second; nil for none.
	rateLimit *float64
}

// executionLog records the calls that reached targets, by call ID.
type executionLog struct {
	mu     sync.Mutex
	byCall map[string][]*Execution
}

// add records an execution; the result is to be changed by update only.
func (l *executionLog) add(r Execution) *Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := &r
	l.byCall[r.ID] = append(l.byCall[r.ID], added)
	return added
}

// update calls change under the lock.
func (l *executionLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// list returns a copy of the executions.
func (l *executionLog) list() map[string][]Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string][]Execution{}
	for id, executions := range l.byCall {
		for _, r := range executions {
			all[id] = append(all[id], *r)
		}
	}
	return all
}

// newBackend starts a target of a service, and a link to it.
func newBackend(id, service string, executions *executionLog) (*backend, error) {
	address, err := testaddr.Find()
	if err != nil {
		return nil, err
	}
	b := &backend{target: standin.NewTarget(id), service: service, executions: executions}
	b.target.Script(b.serve)
	b.link, err = NewLink(address, b.target.Address())
	return b, err
}

// setInjectFailures sets whether calls fail at random.
func (b *backend) setInjectFailures(fails bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.injectFailures = fails
}

// injectsFailures reports whether calls fail at random.
func (b *backend) injectsFailures() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.injectFailures
}

// The timing of answers: those of the plain service take up to maxWorkTime; the events of a
// stream are eventInterval apart.
const (
	maxWorkTime   = 60 * time.Millisecond
	eventInterval = 15 * time.Millisecond
)

// serve answers a call, with the target's notices. A call with a crashing body restarts the
// target. With injected failures serve may reject the call, return an error, close the
// connection, hang or truncate a stream instead.
func (b *backend) serve(w http.ResponseWriter, r *http.Request, c standin.Call) {
	execution := b.executions.add(Execution{ID: c.ID, Target: b.target.ID, Service: b.service, Account: c.Account(), APIKey: c.APIKey(), Started: time.Now(), LastEvent: c.LastEventID(), URI: c.URI})
	defer b.executions.update(func() { execution.Ended = time.Now() })
	if strings.HasPrefix(c.Body, crashBodyPrefix) || strings.Contains(c.Header.Get("X-Prompt-Prefix"), badPartPrefix) {
		b.executions.update(func() { execution.Crashed = true })
		b.crash(w, r, c)
		return
	}
	if b.writeNotices(w, execution) {
		standin.Reject(w, r, c)
		return
	}
	outcome := 1.0 // Success. Injected failures draw a number; the bounds below choose the failure.
	if b.injectsFailures() {
		outcome = rand.Float64()
	}
	switch {
	case outcome < 0.15:
		b.executions.update(func() { execution.Rejected = true })
		standin.Reject(w, r, c)
	case outcome < 0.3:
		standin.Answer(http.StatusInternalServerError, "broken")(w, r, c)
	case outcome < 0.5:
		standin.CloseConnection(w, r, c)
	case outcome < 0.55:
		<-r.Context().Done() // The target hangs.
	case outcome < 0.6:
		b.answerWithoutEnd(w, r, c, execution)
	case outcome < 0.8 && c.LastEventID() != "":
		standin.Answer(http.StatusNotFound, "no such model")(w, r, c) // What a stream must not be continued with.
	case b.answersUnframed():
		b.serveUnframed(w, c)
	case b.service == engineService:
		b.stream(w, r, c, outcome < 0.8)
	default:
		select {
		case <-time.After(rand.N(maxWorkTime)):
		case <-r.Context().Done():
			return
		}
		standin.Succeed(safePath.Answer(c.ID))(w, r, c) // All plain paths have the same answer.
	}
}

// answerWithoutEnd answers with bytes of some kind until the daemon closes the connection.
func (b *backend) answerWithoutEnd(w http.ResponseWriter, r *http.Request, c standin.Call, execution *Execution) {
	kinds := standin.EndlessAnswers()
	names := slices.Sorted(maps.Keys(kinds))
	endless := kinds[names[rand.IntN(len(names))]]
	b.executions.update(func() { execution.Rejected = endless.Rejects() })
	endless.Serve(w, r, c)
}

func (b *backend) answersUnframed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unframed
}

// firstEvent returns the number of the first event that a call asks for.
func firstEvent(c standin.Call) int {
	after := c.LastEventID()
	if after == "" {
		return firstEventID(c.ID)
	}
	last := 0
	if _, err := fmt.Sscan(after, &last); err != nil {
		panic(http.ErrAbortHandler) // The daemon sent a last event that is not a number.
	}
	return last + 1
}

// stream answers with a stream of events. A resumed call gets the events after the one that its
// Last-Event-ID header names.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, c standin.Call, truncate bool) {
	s := standin.EventStream{From: firstEvent(c), To: eventCount(c.ID), Interval: eventInterval, Text: func(i int) string { return eventText(c.ID, i) }}
	if truncate && s.From < s.To {
		s.To, s.Truncated = s.From+rand.IntN(s.To-s.From), true
	}
	s.Serve(w, r, c)
}

// close stops the target and its link.
func (b *backend) close() {
	b.link.Close()
	b.target.Server.CloseClientConnections()
	b.target.Server.Close()
}
