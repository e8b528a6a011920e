package requestcontrol

import (
	"context"
	"io"
	"time"

	"doorstack.dev/core/eventstream"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// maxEventSize bounds an event of a stream, and relayBufferSize one read, in bytes.
const (
	maxEventSize    = 1 << 20
	relayBufferSize = 4 << 10
)

// relay delivers a stream's events to the caller as they arrive, complete ones only.
// It returns nil at the end of the stream.
func (f *forwarding) relay(ctx context.Context, reply *target.Reply, p *blackboard.Placement) error {
	splitter := eventstream.Splitter{MaxEvent: maxEventSize}
	splitter.ResumeAfter(f.lastEventID)
	deliver := func(e eventstream.Event) error { return f.deliverEvent(e, reply, p) }
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := reply.Body.Read(buffer)
		if pushErr := splitter.Push(buffer[:n], deliver); pushErr != nil {
			return pushErr
		}
		if holdErr := f.holdPending(ctx, splitter.Pending()); holdErr != nil {
			return truncatedError(holdErr)
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return truncatedError(err)
		}
		if splitter.Partial() {
			return truncatedError(errInsideEvent)
		}
		if f.endsBeforeItsEvents(reply) {
			return truncatedError(errBeforeEvents)
		}
		return f.startAnswer(reply) // A stream without events also has a head.
	}
}

// How a stream is truncated whose target has ended the answer and lives on.
var (
	errInsideEvent  = errors.New("the target ended the answer in the middle of an event")
	errBeforeEvents = errors.New("the target ended the answer before the first event")
)

// endsBeforeItsEvents reports whether a stream has ended without any event, and nothing but the end of its connection says that it
// has none. The rest of a stream that is resumed may be empty.
func (f *forwarding) endsBeforeItsEvents(reply *target.Reply) bool {
	return f.eventCount == 0 && f.request.LastEventID == "" && reply.Framing() == target.FramedByConnection
}

// holdPending accounts for the size of an incomplete event.
func (f *forwarding) holdPending(ctx context.Context, size int) error {
	if unused := f.hold.Size() - max(0, int64(size)-unaccountedAnswer); unused > 0 {
		f.hold.Shrink(unused)
		return nil
	}
	return f.growHold(ctx, size)
}

// startAnswer sends the answer's head to the caller, unless an earlier attempt has sent one.
func (f *forwarding) startAnswer(reply *target.Reply) error {
	if f.progress.AnswerStarted {
		return nil
	}
	f.progress.AnswerStarted, f.mediaType = true, reply.MediaType
	return f.out.WriteHead(reply.Status, reply.Header, -1)
}

func (f *forwarding) deliverEvent(e eventstream.Event, reply *target.Reply, p *blackboard.Placement) error {
	f.recordAnswerProgress(time.Now())
	f.silenceWatch.pause()
	defer f.silenceWatch.eventReceived() // A caller that reads slowly does not make its target silent.
	f.recordEventTime(time.Now())
	f.recordPrefillDone(p)
	if err := f.startAnswer(reply); err != nil {
		return err
	}
	if err := f.out.Write(e.Raw); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	f.eventCount++
	f.recordSkipped(e.ID)
	if e.ID != "" {
		f.lastEventID, f.deliveredID = e.ID, true
	}
	return nil
}

// recordSkipped counts the events that the target has left out if it resumes the stream with this event.
func (f *forwarding) recordSkipped(id string) {
	if skipped := f.sequence.Skipped(id, f.attemptAnswer.events == 1); skipped > 0 {
		f.skipped += skipped
		f.director.Recorder.Metrics.SkippedEvents.WithLabelValues(f.request.Route.Pool.Name).Add(float64(skipped))
	}
}

// recordEventTime updates the time to the first event or the longest gap.
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

// recordPrefillDone records, once per attempt, that the target has prefilled the prompt.
func (f *forwarding) recordPrefillDone(p *blackboard.Placement) {
	if f.prefilledAttempt == p.Attempt {
		return
	}
	f.prefilledAttempt = p.Attempt
	f.director.Board.Targets.RecordPrefillDone(p.Attempt, time.Now())
	f.director.Board.Queues.Wake(f.request.Route.Pool.Name)
	if f.director.Placer != nil {
		f.director.Placer.ReportPrefillDone(p.Attempt)
	}
}
