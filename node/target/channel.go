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

// persistConn is a connection to a target, used by one call at a time.
type persistConn struct {
	address     string
	conn        net.Conn
	reader      *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration
	// sent counts the bytes of the present call that the system took.
	bytesSent atomic.Int64
	// writing is closed when the call has been written, whole or not.
	writeDone chan struct{}
	writeOK   bool
	// probed tells whether the system probes the connection while nothing comes.
	probesEnabled bool
}

// maxInlineWrite is the size up to which a call is written before its answer is read.
// A larger one is written beside: a target may answer before it has read it all, and
// stop reading.
const maxInlineWrite = 16 << 10

// begin writes a call.
func (ch *persistConn) startWrite(req *http.Request, body []byte) {
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = []string{""} // None is added that the caller did not send.
	}
	ch.writeDone = make(chan struct{})
	ch.writeOK = false
	write := func() {
		defer close(ch.writeDone)
		out := bufio.NewWriterSize(countingWriter{ch}, min(maxInlineWrite, len(body)+readBufferSize))
		if err := req.Write(out); err != nil {
			return // What the target received decides; reading the answer fails.
		}
		ch.writeOK = out.Flush() == nil
	}
	if len(body) > maxInlineWrite {
		go write()
		return
	}
	write()
}

// countingWriter writes to the connection and counts.
type countingWriter struct{ pc *persistConn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.pc.conn.Write(p)
	w.pc.bytesSent.Add(int64(n))
	return n, err
}

// readHead reads the head of the next final answer.
func (ch *persistConn) readFinalResponse(req *http.Request) (*http.Response, error) {
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
func (ch *persistConn) reusable() bool {
	select {
	case <-ch.writeDone:
		return ch.writeOK && ch.reader.Buffered() == 0
	default:
		return false
	}
}

func (ch *persistConn) expired(now time.Time) bool { return now.Sub(ch.idleSince) >= ch.idleTimeout }

// usable tells whether a kept connection is neither too old, nor closed by the
// target, nor holding bytes that belong to no call.
func (ch *persistConn) usable(now time.Time) bool {
	return !ch.expired(now) && ch.openAndIdle()
}

// quiet looks without waiting whether the connection is open and empty.
func (ch *persistConn) openAndIdle() bool { return sock.Peek(ch.conn) == sock.Idle }

func (ch *persistConn) close() { _ = ch.conn.Close() }

// The probes of a connection whose target owes an answer and has nothing to say yet: after a
// second without a byte one goes out each second, and after two without an answer the
// connection is dead, 3 s after the last byte. Memory set aside at other targets must be free
// again 4 s after the target that used it has died; one lost packet must not end a call.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// probedUnackedTimeout replaces unackedTimeout, which would end the connection with the
	// first probe that is not answered: it lies between the second and the third.
	probedUnackedTimeout = 2500 * time.Millisecond
)

// setProbed turns the probes on or off.
func (ch *persistConn) setProbes(on bool) error {
	if ch.probesEnabled == on {
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
	ch.probesEnabled = on
	return conn.SetKeepAliveConfig(net.KeepAliveConfig{Enable: on, Idle: probeIdle, Interval: probeInterval, Count: probeCount})
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

// idleTimeoutFrom reads the time for which the target keeps an idle connection.
func idleTimeoutFrom(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return min(defaultIdleTimeout, time.Duration(idleTimeoutShare*float64(s)*float64(time.Second)))
		}
	}
	return defaultIdleTimeout
}
