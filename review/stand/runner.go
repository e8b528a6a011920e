package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for a runner of a service. It is sound but for what its answer function does.
type runner struct {
	id, service, zone string
	slots             int
	listener          net.Listener
	// closeReports makes the runner close a channel after a report. It may close any.
	closeReports bool
	// answer writes the answer to a request. It returns false if the channel is to be closed.
	answer func(conn *net.TCPConn, r *http.Request) bool

	mu    sync.Mutex
	ran   map[string]int // runs by request id
	conns map[*net.TCPConn]bool
	// crashed is set once the process has crashed: it takes no channels and reports nothing.
	crashed bool
}

// newRunner starts a runner on a free port of an IP address and registers it in the store.
func newRunner(s *store, ip, id, service, zone string, slots int, answer func(*net.TCPConn, *http.Request) bool) *runner {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		cannotRun("start a runner: %v", err)
	}
	r := &runner{id: id, service: service, zone: zone, slots: slots, listener: l, answer: answer, ran: map[string]int{}}
	go r.serve()
	go r.heartbeat(s)
	return r
}

// heartbeatInterval is the settings' heartbeat_ms.
const heartbeatInterval = 1200 * time.Millisecond

func (r *runner) heartbeat(s *store) {
	for seq := 1; ; seq++ {
		if r.hasCrashed() {
			return
		}
		s.put("servers/"+r.id, map[string]any{
			"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": 1, "slots": r.slots,
			"state": "ready", "cold_remaining_ms": 0, "seq": seq,
		})
		time.Sleep(heartbeatInterval)
	}
}

func (r *runner) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn.(*net.TCPConn))
	}
}

func (r *runner) hasCrashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// crash ends the runner like a process that is killed: its channels are reset and new ones refused. Its entry
// is removed after three reports have not come.
func (r *runner) crash(s *store) {
	_ = r.listener.Close()
	r.mu.Lock()
	r.crashed = true
	log.add("runner %s crashes with %d channels", r.id, len(r.conns))
	for conn := range r.conns {
		resetConn(conn)
	}
	r.mu.Unlock()
	time.AfterFunc(3*heartbeatInterval, func() { s.remove("servers/" + r.id) })
}

// track keeps an open channel, so that a crash resets it, until the returned function is called.
func (r *runner) track(conn *net.TCPConn) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		r.conns = map[*net.TCPConn]bool{}
	}
	r.conns[conn] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}
}

func (r *runner) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	defer r.track(conn)()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !r.handle(conn, request, body) {
			return
		}
	}
}

// handle answers a request and reports whether the channel stays open.
func (r *runner) handle(conn *net.TCPConn, request *http.Request, body []byte) bool {
	if expected := request.Header.Get("X-Target-Instance"); expected != "" && expected != r.id {
		return reply(conn, request, 421, "X-Instance-Id: "+r.id+"\r\n", "")
	}
	switch request.URL.Path {
	case "/health":
		return reply(conn, request, 200, "X-Instance-Id: "+r.id+"\r\n", "")
	case "/report":
		report, _ := json.Marshal(map[string]any{"stage": "both", "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": 0,
			"kv_used": 0, "kv_total": 315000, "handles": 0, "pace": 1, "tickets": []any{}})
		if r.closeReports {
			reply(conn, request, 200, "Content-Type: application/json\r\nConnection: close\r\n", string(report))
			return false
		}
		return reply(conn, request, 200, "Content-Type: application/json\r\n", string(report))
	case "/order":
		return reply(conn, request, 200, "Content-Type: application/json\r\n", `{"free":315000}`)
	}
	id := request.Header.Get("X-Request-Id")
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	log.add("runner %s runs %s %s body=%d last_event=%q from %s", r.id, request.Method, id, len(body), request.Header.Get("Last-Event-Id"), conn.RemoteAddr())
	return r.answer(conn, request)
}

// reply writes a whole answer with a length.
func reply(conn *net.TCPConn, r *http.Request, status int, headers, body string) bool {
	return write(conn, fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), idHeader(r), headers, len(body), body))
}

// signature is the digest that a runner puts on what it answers.
func signature(id, text string) string { return fmt.Sprintf("sig.%s.%x", id, len(text)) }

// signed writes a whole answer with a length and the runner's signature.
func signed(conn *net.TCPConn, r *http.Request, status int, body string) bool {
	return reply(conn, r, status, "X-Server-Signature: "+signature(requestID(r), body)+"\r\nX-Server-Load: 1,0,16\r\n", body)
}

func idHeader(r *http.Request) string {
	if id := requestID(r); id != "" {
		return "X-Request-Id: " + id + "\r\n"
	}
	return ""
}

func requestID(r *http.Request) string { return r.Header.Get("X-Request-Id") }

// pieces is the number of events in a whole stream.
const pieces = 12

// event returns an event of a stream.
func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d %s\n\n", id, id, strings.Repeat("x", 40))
}

// streamHead writes the head of a stream in chunks.
func streamHead(conn *net.TCPConn, r *http.Request, text string) bool {
	return write(conn, "HTTP/1.1 200 OK\r\n"+idHeader(r)+"Content-Type: text/event-stream\r\nX-Server-Signature: "+signature(requestID(r), text)+
		"\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// chunk returns text as a chunk; an empty text ends the stream.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// resetConn closes a channel with a reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
