package requestcontrol

import (
	"io"
	"time"

	"doorstack.dev/core/eventstream"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// maxEvent bounds an event of a stream; relayBuffer is what is read at once.
const (
	maxEvent    = 1 << 20
	relayBuffer = 4 << 10
)

// relay gives a stream's events to the caller as they come, whole ones only. It
// returns nil when the stream has come to its end.
func (f *forwarding) relay(reply *target.Reply, p *blackboard.Placement) error {
	splitter := eventstream.Splitter{MaxEvent: maxEvent}
	splitter.ResumeAfter(f.lastEvent)
	give := func(e eventstream.Event) error { return f.giveEvent(e, reply, p) }
	buffer := make([]byte, relayBuffer)
	for {
		n, err := reply.Body.Read(buffer)
		if pushErr := splitter.Push(buffer[:n], give); pushErr != nil {
			return pushErr
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return brokenOff(err)
		}
		if splitter.Partial() {
			return brokenOff(errors.Wrap(io.ErrUnexpectedEOF, "in the middle of an event"))
		}
		f.begin(reply)
		return nil
	}
}

// begin sends the head of the first run's answer, once.
func (f *forwarding) begin(reply *target.Reply) {
	if f.progress.AnswerStarted {
		return
	}
	f.progress.AnswerStarted = true
	f.out.Begin(reply.Status, reply.Header, -1)
}

func (f *forwarding) giveEvent(e eventstream.Event, reply *target.Reply, p *blackboard.Placement) error {
	f.watched.heard()
	f.clock(time.Now())
	f.promptRead(p)
	f.begin(reply)
	if err := f.out.Write(e.Raw); err != nil {
		return errors.Wrap(errSink, err.Error())
	}
	f.events++
	if e.ID != "" {
		f.lastEvent = e.ID
	}
	return nil
}

// clock takes the time of an event.
func (f *forwarding) clock(now time.Time) {
	if f.events == 0 {
		r := f.request
		f.first = now.Sub(r.Arrived)
		f.director.Record.Metrics.FirstToken.WithLabelValues(telemetry.LengthClass(r.promptTokens)).Observe(f.first.Seconds())
	} else {
		f.gap = max(f.gap, now.Sub(f.lastAt))
	}
	f.lastAt = now
}

// promptRead books, once for each attempt, that the target has read the prompt.
func (f *forwarding) promptRead(p *blackboard.Placement) {
	if f.readBy == p.Attempt {
		return
	}
	f.readBy = p.Attempt
	f.director.Board.Targets.PromptRead(p.Attempt, time.Now())
	f.director.Board.Queues.Wake(f.request.Route.Pool.Name)
	if f.director.Placer != nil {
		f.director.Placer.PromptRead(p.Attempt)
	}
}
