package target

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"doorstack.dev/node/sock"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// channel is a connection to a target, used by one call at a time.
type channel struct {
	address   string
	conn      net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	keepFor   time.Duration
	// sent counts the bytes of the present call that the system took.
	sent atomic.Int64
	// writing is closed when the call has been written, whole or not.
	writing chan struct{}
	writeOK bool
	// probed tells whether the system probes the connection while nothing comes.
	probed bool
}

// inlineWrite is the size up to which a call is written before its answer is read.
// A larger one is written beside: a target may answer before it has read it all, and
// stop reading.
const inlineWrite = 16 << 10

// begin writes a call.
func (ch *channel) begin(req *http.Request, body []byte) {
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = []string{""} // None is added that the caller did not send.
	}
	ch.writing = make(chan struct{})
	ch.writeOK = false
	write := func() {
		defer close(ch.writing)
		out := bufio.NewWriterSize(countingWriter{ch}, min(inlineWrite, len(body)+readBuffer))
		if err := req.Write(out); err != nil {
			return // What the target received decides; reading the answer fails.
		}
		ch.writeOK = out.Flush() == nil
	}
	if len(body) > inlineWrite {
		go write()
		return
	}
	write()
}

// countingWriter writes to the connection and counts.
type countingWriter struct{ ch *channel }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.ch.conn.Write(p)
	w.ch.sent.Add(int64(n))
	return n, err
}

// readHead reads the head of the next final answer.
func (ch *channel) readHead(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(ch.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// clean tells whether the connection can carry another call: the last one was
// written whole and nothing has come after its answer.
func (ch *channel) clean() bool {
	select {
	case <-ch.writing:
		return ch.writeOK && ch.reader.Buffered() == 0
	default:
		return false
	}
}

func (ch *channel) expired(now time.Time) bool { return now.Sub(ch.idleSince) >= ch.keepFor }

// usable tells whether a kept connection is neither too old, nor closed by the
// target, nor holding bytes that belong to no call.
func (ch *channel) usable(now time.Time) bool {
	return !ch.expired(now) && ch.quiet()
}

// quiet looks without waiting whether the connection is open and empty.
func (ch *channel) quiet() bool { return sock.Peek(ch.conn) == sock.Idle }

func (ch *channel) close() { _ = ch.conn.Close() }

// The probes of a connection whose target owes an answer and has nothing to say yet: after a
// second without a byte one goes out each second, and after two without an answer the
// connection is dead, 3 s after the last byte. Memory set aside at other targets must be free
// again 4 s after the target that used it has died; one lost packet must not end a call.
const (
	probeAfter = time.Second
	probeEvery = time.Second
	probeCount = 2
	// probedUnackedTimeout replaces unackedTimeout, which would end the connection with the
	// first probe that is not answered: it lies between the second and the third.
	probedUnackedTimeout = 2500 * time.Millisecond
)

// setProbed turns the probes on or off.
func (ch *channel) setProbed(on bool) error {
	if ch.probed == on {
		return nil
	}
	conn, ok := ch.conn.(*net.TCPConn)
	if !ok {
		return errors.New("only a TCP connection can be probed")
	}
	unacked := unackedTimeout
	if on {
		unacked = probedUnackedTimeout
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	if err := setUnackedTimeout(raw, unacked); err != nil {
		return err
	}
	ch.probed = on
	return conn.SetKeepAliveConfig(net.KeepAliveConfig{Enable: on, Idle: probeAfter, Interval: probeEvery, Count: probeCount})
}

// setUnackedTimeout bounds the time that sent bytes may stay unacknowledged.
func setUnackedTimeout(raw syscall.RawConn, most time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(most.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// keepFor reads the time for which the target keeps an idle connection.
func keepFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return min(idleDefault, time.Duration(idleShare*float64(s)*float64(time.Second)))
		}
	}
	return idleDefault
}
