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

// maxEventSize bounds an event of a stream; relayBufferSize is what is read at once.
const (
	maxEventSize    = 1 << 20
	relayBufferSize = 4 << 10
)

// relay gives a stream's events to the caller as they come, whole ones only. It
// returns nil when the stream has come to its end.
func (f *forwarding) relay(reply *target.Reply, p *blackboard.Placement) error {
	splitter := eventstream.Splitter{MaxEvent: maxEventSize}
	splitter.ResumeAfter(f.lastEventID)
	give := func(e eventstream.Event) error { return f.deliverEvent(e, reply, p) }
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := reply.Body.Read(buffer)
		if pushErr := splitter.Push(buffer[:n], give); pushErr != nil {
			return pushErr
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return truncatedError(err)
		}
		if splitter.Partial() {
			return truncatedError(errors.Wrap(io.ErrUnexpectedEOF, "in the middle of an event"))
		}
		f.startAnswer(reply)
		return nil
	}
}

// begin sends the head of the first run's answer, once.
func (f *forwarding) startAnswer(reply *target.Reply) {
	if f.progress.AnswerStarted {
		return
	}
	f.progress.AnswerStarted = true
	f.out.WriteHead(reply.Status, reply.Header, -1)
}

func (f *forwarding) deliverEvent(e eventstream.Event, reply *target.Reply, p *blackboard.Placement) error {
	f.silenceWatch.eventReceived()
	f.recordEventTime(time.Now())
	f.recordPrefillDone(p)
	f.startAnswer(reply)
	if err := f.out.Write(e.Raw); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	f.eventCount++
	if e.ID != "" {
		f.lastEventID = e.ID
	}
	return nil
}

// clock takes the time of an event.
func (f *forwarding) recordEventTime(now time.Time) {
	if f.eventCount == 0 {
		r := f.request
		f.timeToFirstEvent = now.Sub(r.Arrived)
		f.director.Recorder.Metrics.FirstToken.WithLabelValues(telemetry.LengthClass(r.promptTokens)).Observe(f.timeToFirstEvent.Seconds())
	} else {
		f.longestGap = max(f.longestGap, now.Sub(f.lastEventAt))
	}
	f.lastEventAt = now
}

// promptRead books, once for each attempt, that the target has read the prompt.
func (f *forwarding) recordPrefillDone(p *blackboard.Placement) {
	if f.prefilledAttempt == p.Attempt {
		return
	}
	f.prefilledAttempt = p.Attempt
	f.director.Board.Targets.PromptRead(p.Attempt, time.Now())
	f.director.Board.Queues.Wake(f.request.Route.Pool.Name)
	if f.director.Placer != nil {
		f.director.Placer.ReportPrefillDone(p.Attempt)
	}
}
