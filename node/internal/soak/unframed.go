package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"doorstack.dev/platform/standin"
)

const (
	// truncatedShare is the share of unframed answers that their target truncates.
	truncatedShare = 0.2
	// processEndInterval is the time between two ends of processes of targets with unframed answers.
	processEndInterval = 400 * time.Millisecond
)

// answerUnframed lets every second target answer without a length and without chunks for the event's duration. Meanwhile the
// processes of some of them end, at any point of their answers, and start again at once.
func (tb *testbed) answerUnframed(ctx context.Context, e Event) {
	half := tb.everySecondTarget(e.Selector)
	for _, b := range half {
		b.updateNotices(func() { b.unframed = true })
	}
	for end := time.Now().Add(e.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, processEndInterval)
		tb.restartProcess(half[rand.IntN(len(half))])
	}
	for _, b := range half {
		b.updateNotices(func() { b.unframed = false })
	}
}

// serveUnframed answers without a length and without chunks, which ends with its connection; the events of a stream are
// eventInterval apart. The target truncates some answers: it resets the connection or, of a stream, ends it inside an event. An
// end in order at another place is the end of the answer, unless the target's process ends with it.
func (b *backend) serveUnframed(w http.ResponseWriter, c standin.Call) {
	conn, release := b.target.Hijack(w)
	defer release()
	contentType, pieces := "text/plain", []string{safePath.Answer(c.ID)}
	if b.service == plainService {
		<-time.After(rand.N(maxWorkTime))
	} else {
		contentType, pieces = "text/event-stream", nil
		for i := firstEvent(c); i <= eventCount(c.ID); i++ {
			pieces = append(pieces, standin.EventText(i, eventText(c.ID, i)))
		}
	}
	truncateAt := -1
	if len(pieces) > 0 && rand.Float64() < truncatedShare {
		truncateAt = rand.IntN(len(pieces))
	}
	var head strings.Builder
	_ = w.Header().Write(&head) // The notices of the target; writing to a strings.Builder never fails.
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sX-Server-Signature: sign\r\nContent-Type: %s\r\n\r\n", head.String(), contentType)
	for i, piece := range pieces {
		if i == truncateAt {
			_, _ = io.WriteString(conn, piece[:1+rand.IntN(len(piece)-1)])
			if b.service != engineService || rand.IntN(2) == 0 {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
		if err == nil {
			_, err = io.WriteString(conn, piece)
		}
		if err != nil {
			return // The daemon has disconnected, or the process has ended.
		}
		<-time.After(eventInterval)
	}
}
