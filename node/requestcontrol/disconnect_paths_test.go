package requestcontrol

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/platform"
)

// The tests in this file cover callers that disconnect, one path of a call each. All work on the
// call must end within disconnectLimit.

const disconnectLimit = 500 * time.Millisecond

// newDisconnectDirector returns a director whose calls a placer places, or this daemon if it is nil.
func newDisconnectDirector(p Placer) *Director {
	board := blackboard.New(blackboard.Identity{Name: "d1", DataCentre: "dc", Region: "r"}, blackboard.DefaultLimits())
	return &Director{
		Board: board, Placer: p, Exchanger: target.NewExchanger(platform.Headers{}, target.NewConnector()), RetryPolicy: DefaultRetryPolicy(),
		Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
	}
}

// newStreamRequest returns a streaming call with a deadline of 10 s.
func newStreamRequest() *Request {
	return &Request{
		ID: "r", Account: &settings.ClientAccount{Path: "/a"}, Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
		Route:   &settings.ResolvedRoute{Pool: mustParse().Pool("svc"), Repeatable: true},
		Path:    &settings.ResolvedPath{Kind: settings.CallStreaming, Goal: 5 * time.Second, GapGoal: 5 * time.Second, MaxAttempts: 3},
		Forward: &forward.Message{ID: "r", Method: "POST", URI: "/a/", Host: "h.example", Header: map[string][]string{}},
	}
}

// discardingAnswerWriter discards the answer.
type discardingAnswerWriter struct{}

func (discardingAnswerWriter) WriteHead(int, http.Header, int64) error { return nil }
func (discardingAnswerWriter) Write([]byte) error                      { return nil }
func (discardingAnswerWriter) Flush(context.Context) error             { return nil }

// addTarget adds a target with one slot to the pool of newStreamRequest.
func addTarget(board *blackboard.Blackboard) {
	board.Settings.Adopt(&blackboard.SettingsView{Tree: mustParse(), Revision: 1})
	board.MergeUpdate(hostlist.Update{Full: true, AsOf: 1, Hosts: []hostlist.Host{{
		ID: "t", Role: hostlist.RoleTarget, Address: "127.0.0.1:1", Pool: "svc", DataCentre: "dc", Region: "r", State: hostlist.Live, Slots: 1, Revision: 1,
	}}}, time.Now())
}

// mustParse returns settings with the pool of newStreamRequest.
func mustParse() *settings.Tree {
	tree, err := settings.Parse([]byte("engine_kinds: {rest: {protocol: service, max_concurrent: 1}}\npools: {svc: {kind: rest}}\ntree: {}\n"))
	if err != nil {
		panic(err)
	}
	return tree
}

// callsCounted returns the calls that a daemon counts at its targets.
func callsCounted(board *blackboard.Blackboard) int {
	n := 0
	for _, s := range board.Targets.Status(time.Now()) {
		n += s.OwnCalls
	}
	return n
}

// TestWaitingCallOfDisconnectedCallerLeavesQueue covers a call that waits in this daemon's own queue.
func TestWaitingCallOfDisconnectedCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDisconnectDirector(nil)
		addTarget(d.Board)
		ctx, disconnect := context.WithCancel(t.Context())
		ended := make(chan *fault.Error)
		go func() { ended <- fault.From(d.Forward(ctx, newStreamRequest(), rejectingAnswerWriter{t})) }()
		synctest.Wait()
		if n := d.Board.Queues.Len("svc"); n != 1 {
			t.Fatalf("%d calls wait before the disconnection, want 1", n)
		}
		began := time.Now()
		disconnect()
		if got := <-ended; got.Kind != fault.Abandoned || got.Execution != fault.NotRun {
			t.Errorf("Forward() = %+v, want kind %v with execution %v", got, fault.Abandoned, fault.NotRun)
		}
		if took := time.Since(began); took != 0 || d.Board.Queues.Len("svc") != 0 {
			t.Errorf("%d calls wait %v after the disconnection, want none at once", d.Board.Queues.Len("svc"), took)
		}
	})
}

// TestCallPlacedAsItsCallerDisconnectsIsNotCounted covers a call that leaves the queue with a
// placement when its caller disconnects. Which of the two the director sees first is a matter of
// chance, hence the repetitions.
func TestCallPlacedAsItsCallerDisconnectsIsNotCounted(t *testing.T) {
	for range 40 {
		synctest.Test(t, func(t *testing.T) {
			d := newDisconnectDirector(nil)
			addTarget(d.Board)
			ctx, disconnect := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- d.Forward(ctx, newStreamRequest(), rejectingAnswerWriter{t}) }()
			synctest.Wait()
			disconnect()
			d.Board.Queues.Dispatch("svc", d.Board.Targets, time.Now())
			if got := fault.From(<-ended); got.Kind != fault.Abandoned {
				t.Errorf("Forward() = %+v, want kind %v", got, fault.Abandoned)
			}
			if n := callsCounted(d.Board) + d.Board.Queues.Len("svc"); n != 0 {
				t.Errorf("%d calls are counted after the disconnection, want none", n)
			}
		})
	}
}

// streamTarget is a target that holds each call until its connection closes. Its channels receive a
// value when a call has arrived, and when its connection has closed.
type streamTarget struct {
	*httptest.Server
	started, stopped chan struct{}
}

// newStreamTarget starts a target that first sends the given part of an answer.
func newStreamTarget(t *testing.T, part string) *streamTarget {
	s := &streamTarget{started: make(chan struct{}, 1), stopped: make(chan struct{}, 1)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if part != "" {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Server-Signature", "sign")
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
		}
		s.started <- struct{}{}
		<-r.Context().Done()
		s.stopped <- struct{}{}
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *streamTarget) address() string { return strings.TrimPrefix(s.URL, "http://") }

// groupPlacer places calls at a target with memory reserved at helpers.
type groupPlacer struct {
	singleTargetPlacer
	helpers []blackboard.TargetAddress
}

func (p *groupPlacer) Place(ctx context.Context, t *blackboard.Ticket) (blackboard.Placement, bool) {
	placement, ok := p.singleTargetPlacer.Place(ctx, t)
	placement.Helpers = p.helpers
	for _, h := range p.helpers {
		placement.Decision.Helpers = append(placement.Decision.Helpers, h.ID)
		placement.Decision.Reservations = append(placement.Decision.Reservations, routing.MemoryReservation{Target: h.ID, Tokens: 10})
	}
	return placement, ok
}

// checkWithinLimit waits for an event and fails the test if it comes later than disconnectLimit
// after began.
func checkWithinLimit(t *testing.T, event <-chan struct{}, began time.Time, what string) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: not within 10 s of the disconnection", what)
	}
	if took := time.Since(began); took > disconnectLimit {
		t.Errorf("%s: %v after the disconnection, want at most %v", what, took, disconnectLimit)
	}
}

// TestSentCallEndsWhenCallerDisconnects covers a call that was sent, before the first event, in the
// middle of its stream and as the resumption of an earlier stream: the target's connection closes
// and the coordinator hears of the end.
func TestSentCallEndsWhenCallerDisconnects(t *testing.T) {
	const event = "id: 5\ndata: x\n\n"
	for name, c := range map[string]struct{ part, lastEventID string }{
		"before the first event": {}, "in the middle of the stream": {part: event}, "resumed": {lastEventID: "4"}, "resumed, with an event": {event, "4"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStreamTarget(t, c.part)
			placer := &singleTargetPlacer{address: s.address()}
			d := newDisconnectDirector(placer)
			ctx, disconnect := context.WithCancel(t.Context())
			r := newStreamRequest()
			r.LastEventID = c.lastEventID
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if got := fault.From(d.Forward(ctx, r, discardingAnswerWriter{})); got.Kind != fault.Abandoned {
					t.Errorf("Forward() = %+v, want kind %v", got, fault.Abandoned)
				}
			}()
			<-s.started
			began := time.Now()
			disconnect()
			checkWithinLimit(t, s.stopped, began, "the target's connection closes")
			checkWithinLimit(t, ended, began, "the call ends")
			if placer.placements != 1 || len(placer.results) != 1 || placer.results[0] != blackboard.CallCancelled {
				t.Errorf("%d placements with results %v, want 1 with result %v", placer.placements, placer.results, blackboard.CallCancelled)
			}
		})
	}
}

// helper is a target at which memory is reserved.
type helper struct {
	*httptest.Server
	// reserving receives a value when a reserve message arrives, and released when a release message was
	// carried out.
	reserving, released chan struct{}

	mu       sync.Mutex
	reserved bool
}

func (h *helper) setReserved(reserved bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserved = reserved
}

func (h *helper) address() string { return strings.TrimPrefix(h.URL, "http://") }

// startHelper starts a helper that takes the given time to carry out a reserve message. It does not
// answer release messages while hung is open.
func startHelper(t *testing.T, reserveTime time.Duration, hung <-chan struct{}) *helper {
	h := &helper{reserving: make(chan struct{}, 16), released: make(chan struct{}, 16)}
	h.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var order struct {
			Op string `json:"op"`
		}
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			t.Errorf("order is not valid JSON: %v", err)
		}
		if order.Op != "release" {
			h.reserving <- struct{}{}
			<-time.After(reserveTime)
			h.setReserved(true)
			return
		}
		if hung != nil {
			<-hung
		}
		h.setReserved(false)
		h.released <- struct{}{}
	}))
	t.Cleanup(h.Close)
	return h
}

// TestReservationsEndWhenCallerDisconnects covers a call whose target prefills with two helpers, of
// which the first stops answering: the other helper's memory was released only after all attempts
// at the first had failed, 1.5 s after the disconnection.
func TestReservationsEndWhenCallerDisconnects(t *testing.T) {
	s := newStreamTarget(t, "")
	hung := make(chan struct{})
	silent, working := startHelper(t, 0, hung), startHelper(t, 0, nil)
	defer close(hung)
	placer := &groupPlacer{
		singleTargetPlacer: singleTargetPlacer{address: s.address()},
		helpers:            []blackboard.TargetAddress{{ID: "silent", Address: silent.address()}, {ID: "working", Address: working.address()}},
	}
	d := newDisconnectDirector(placer)
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Forward(ctx, newStreamRequest(), discardingAnswerWriter{})
	}()
	<-s.started
	began := time.Now()
	disconnect()
	checkWithinLimit(t, s.stopped, began, "the target's connection closes")
	checkWithinLimit(t, ended, began, "the call ends")
	checkWithinLimit(t, working.released, began, "the memory of the working helper is released")
}

// TestReservationInProgressIsReleased covers a caller that disconnects while a helper, which takes
// 200 ms, reserves memory: the message was cut off and the release overtook it, so that the memory
// was held until it expired.
func TestReservationInProgressIsReleased(t *testing.T) {
	const reserveTime = 200 * time.Millisecond
	h := startHelper(t, reserveTime, nil)
	placer := &groupPlacer{
		singleTargetPlacer: singleTargetPlacer{address: "127.0.0.1:1"},
		helpers:            []blackboard.TargetAddress{{ID: "a", Address: h.address()}},
	}
	d := newDisconnectDirector(placer)
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Forward(ctx, newStreamRequest(), rejectingAnswerWriter{t})
	}()
	<-h.reserving
	began := time.Now()
	disconnect()
	checkWithinLimit(t, ended, began, "the call ends")
	checkWithinLimit(t, h.released, began, "the memory is released")
	h.Close() // Waits until all messages have been carried out.
	if h.reserved {
		t.Error("the helper holds the memory after the release, want it released")
	}
	if len(placer.results) != 1 || placer.results[0] != blackboard.CallCancelled {
		t.Errorf("results = %v, want one %v", placer.results, blackboard.CallCancelled)
	}
}

// TestReleaseDoesNotOvertakeSlowReservation covers a helper that answers the message to reserve memory only after
// reservationCallTimeout: the message was cut off, and the release was carried out before it, so that the helper held
// memory that nobody used.
func TestReleaseDoesNotOvertakeSlowReservation(t *testing.T) {
	h := startHelper(t, reservationCallTimeout+reservationCallTimeout/2, nil)
	placer := &groupPlacer{
		singleTargetPlacer: singleTargetPlacer{address: "127.0.0.1:1"},
		helpers:            []blackboard.TargetAddress{{ID: "a", Address: h.address()}},
	}
	d := newDisconnectDirector(placer)
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Forward(ctx, newStreamRequest(), rejectingAnswerWriter{t})
	}()
	<-h.reserving
	disconnect()
	<-ended
	<-h.released
	h.Close() // Waits until all messages have been carried out.
	if h.reserved {
		t.Error("the helper holds the memory after the release, want it released")
	}
}
