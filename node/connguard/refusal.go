package connguard

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// The reasons why connections of clients are ended, as labels of the metric.
const (
	endIdle         = "idle"
	endHeadTimeout  = "head_timeout"
	endHeadTooLarge = "head_too_large"
	endHeadMemory   = "head_memory"
	endEvicted      = "too_many_waiting"
	endTooMany      = "too_many_busy"
	endSlowBody     = "slow_body"
)

// refusal is an answer that a connection gives by itself, before the server has read a request.
type refusal struct {
	reason string
	answer string
}

// retryAfter is the delay before a retry that an answer names, in seconds.
const retryAfter = 1

// newRefusal returns a refusal. The statuses 408 and 503 say that the request has not run.
func newRefusal(reason string, status int, message string) refusal {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfter)
	}
	return refusal{reason, fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retry, len(message), message)}
}

var (
	headTooLarge = newRefusal(endHeadTooLarge, http.StatusRequestHeaderFieldsTooLarge,
		"the head of the request is larger than the operator allows; send fewer or shorter header lines\n")
	headTimeout = newRefusal(endHeadTimeout, http.StatusRequestTimeout,
		"the head of the request did not arrive in time; the request was not run\n")
	headMemoryExhausted = newRefusal(endHeadMemory, http.StatusServiceUnavailable,
		"the daemon's memory for requests is exhausted; the request was not run; retry it\n")
	gaveWayAnswer = newRefusal(endEvicted, http.StatusServiceUnavailable,
		"the request did not arrive before the daemon needed the room for others; it was not run; retry it\n").answer
	tooManyAnswer = newRefusal(endTooMany, http.StatusServiceUnavailable,
		"the daemon has too many connections; no request was run; retry it\n").answer
)

// tryWrite writes what the kernel takes without waiting.
func tryWrite(s socket, answer string) {
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// The client may not read; then it gets no answer.
		_, _ = unix.SendmsgN(int(fd), []byte(answer), nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	})
}

// endLogInterval is the minimum time between two log lines of a listener about ended connections.
const endLogInterval = time.Second

// endLog limits the rate of log lines.
type endLog struct {
	mu     sync.Mutex
	logged time.Time
	ended  map[string]int // connections since then, by reason
}

// countEnd counts the end of a connection, and logs the ends since the last line.
func (l *Listener) countEnd(reason string) {
	l.Metrics.ClientConnectionsEnded.WithLabelValues(l.Name, reason).Inc()
	if reason == endIdle {
		return // Connections of clients that behave end so too.
	}
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	if l.log.ended == nil {
		l.log.ended = map[string]int{}
	}
	l.log.ended[reason]++
	if time.Since(l.log.logged) < endLogInterval {
		return
	}
	l.Log.Warn("ended connections of clients", "listener", l.Name, "by_reason", l.log.ended, "limit", l.MaxConnections)
	l.log.logged, l.log.ended = time.Now(), nil
}
