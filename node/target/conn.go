package target

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/node/sock"
	"golang.org/x/sys/unix"
)

// persistConn is a persistent connection to a target. It carries one call at a time.
type persistConn struct {
	address     string
	relay       string // the daemon that relays the connection, or empty
	conn        Socket
	head        *headLimit
	reader      *bufio.Reader // reads through head
	idleSince   time.Time
	idleTimeout time.Duration
	// kept reports that the connection was idle before the current call.
	kept bool
	// rejected is the id of the latest call if the target has rejected it.
	rejected string
	// bytesSent counts the bytes of the current call that the kernel accepted.
	bytesSent atomic.Int64
	// writeDone is closed when the write of the call has ended, also where it failed; writeErr
	// is nil if the whole call was written.
	writeDone chan struct{}
	writeErr  error
	// probes reports whether the kernel sends TCP keep-alive probes; unacked is how long sent bytes may
	// stay unacknowledged.
	probes  bool
	unacked time.Duration
}

func newPersistConn(address, relay string, conn Socket) *persistConn {
	head := &headLimit{conn: conn}
	return &persistConn{
		address: address, relay: relay, conn: conn, head: head, reader: bufio.NewReaderSize(head, readBufferSize),
		idleTimeout: defaultIdleTimeout, unacked: unackedTimeout,
	}
}

// maxInlineWrite is the largest body, in bytes, that is written before the answer is read.
// A larger body is written in a goroutine of its own: a target may answer before it has read
// the whole body, and stop reading.
const maxInlineWrite = 16 << 10

// startWrite writes a call, in the background where its body exceeds maxInlineWrite.
func (pc *persistConn) startWrite(c *forward.Message) {
	pc.writeDone = make(chan struct{})
	write := func() {
		defer close(pc.writeDone)
		out := bufio.NewWriterSize(countingWriter{pc}, min(maxInlineWrite, len(c.Body)+readBufferSize))
		// After an error, bytesSent decides whether the call may have run.
		if pc.writeErr = writeCall(out, c); pc.writeErr == nil {
			pc.writeErr = out.Flush()
		}
	}
	if len(c.Body) > maxInlineWrite {
		go write()
		return
	}
	write()
}

// framingHeaders are the headers that writeCall sets itself.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// writeCall writes a call. http.Request.Write would change the path of some, such as one that begins with two slashes.
func writeCall(out *bufio.Writer, c *forward.Message) error {
	_, _ = fmt.Fprintf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.URI, c.Host)
	if len(c.Body) > 0 || c.Method == http.MethodPost || c.Method == http.MethodPut || c.Method == http.MethodPatch {
		_, _ = fmt.Fprintf(out, "Content-Length: %d\r\n", len(c.Body))
	}
	if err := http.Header(c.Header).WriteSubset(out, framingHeaders); err != nil {
		return err
	}
	_, _ = out.WriteString("\r\n") // The writer keeps its first error.
	_, err := out.Write(c.Body)
	return err
}

// countingWriter writes to the connection and counts the bytes written.
type countingWriter struct{ pc *persistConn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.pc.conn.Write(p)
	w.pc.bytesSent.Add(int64(n))
	return n, err
}

// readFinalResponse reads the head of the next final response and skips informational ones (1xx).
func (pc *persistConn) readFinalResponse(req *http.Request) (*http.Response, error) {
	pc.head.begin()
	defer pc.head.end()
	for {
		resp, err := http.ReadResponse(pc.reader, req)
		if err != nil {
			return nil, err
		}
		if informational(resp.StatusCode) {
			continue
		}
		if err := checkFinalStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		return resp, nil
	}
}

// trace records in t, unless it is nil, how the current call was sent.
func (pc *persistConn) trace(t *forward.SendTrace) {
	if t == nil {
		return
	}
	t.Connection, t.Reused, t.BytesSent = pc.conn.LocalAddr().String(), pc.kept, pc.bytesSent.Load()
}

// unsent reports, of a closed connection, that no byte of the current call was written.
func (pc *persistConn) unsent() bool {
	if pc.writeDone != nil {
		<-pc.writeDone
	}
	return pc.bytesSent.Load() == 0
}

// reusable reports whether the connection can carry another call: the last call was
// written whole and no bytes have arrived after its answer.
func (pc *persistConn) reusable() bool {
	select {
	case <-pc.writeDone:
		return pc.writeErr == nil && pc.reader.Buffered() == 0
	default:
		return false
	}
}

// connected returns a function that reports whether the target has not ended the connection, nil for a relayed one: a relay may
// be late with the end.
func (pc *persistConn) connected() func() bool {
	if pc.relay != "" {
		return nil
	}
	return func() bool { return sock.Established(pc.conn) }
}

// reuse prepares an idle connection for another call.
func (pc *persistConn) reuse() {
	pc.bytesSent.Store(0)
	pc.writeDone, pc.kept = nil, true
}

func (pc *persistConn) expired(now time.Time) bool { return now.Sub(pc.idleSince) >= pc.idleTimeout }

// usable reports whether an idle connection is neither expired, nor closed by the
// target, nor holding bytes that belong to no call.
func (pc *persistConn) usable(now time.Time) bool {
	return !pc.expired(now) && pc.openAndIdle()
}

// openAndIdle reports, without blocking, whether the connection is open and has no bytes to read.
func (pc *persistConn) openAndIdle() bool { return sock.Peek(pc.conn) == sock.Idle }

func (pc *persistConn) close() { _ = pc.conn.Close() }

// The TCP keep-alive probes of a connection that waits for an answer: after 1 s without a byte
// the kernel sends a probe each second, and after two unanswered probes it closes the connection,
// 3 s after the last byte. Memory reserved at other targets must be free again 4 s after the
// target that used it has died, and one lost packet must not end a call.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// probedUnackedTimeout replaces unackedTimeout, which would end the connection with the first
	// unanswered probe. It ends after the second probe (2 s) and before a third would be due (3 s).
	probedUnackedTimeout = 2500 * time.Millisecond
)

// largeBodyUnackedTimeout replaces unackedTimeout for a call with a body above maxInlineWrite. A target
// that reads it slowly leaves the rest unsent, and the kernel counts that time too. The host list and the
// timeouts of silent targets show that its host is dead.
const largeBodyUnackedTimeout = 8 * time.Second

// prepare sets the connection up for a call: with probes while its answer is awaited or without.
func (pc *persistConn) prepare(probes bool, bodySize int) error {
	unacked := unackedTimeout
	switch {
	case probes:
		unacked = probedUnackedTimeout
	case bodySize > maxInlineWrite:
		unacked = largeBodyUnackedTimeout
	}
	if pc.probes == probes && pc.unacked == unacked {
		return nil
	}
	raw, err := pc.conn.SyscallConn()
	if err != nil {
		return err
	}
	if err := setUnackedTimeout(raw, unacked); err != nil {
		return err
	}
	pc.unacked = unacked
	if pc.probes == probes {
		return nil
	}
	pc.probes = probes
	return pc.conn.SetKeepAliveConfig(net.KeepAliveConfig{Enable: probes, Idle: probeIdle, Interval: probeInterval, Count: probeCount})
}

// setUnackedTimeout bounds the time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
func setUnackedTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// idleTimeoutFrom returns how long an idle connection is kept: a share of the timeout in the
// target's Keep-Alive header, and at most defaultIdleTimeout.
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
