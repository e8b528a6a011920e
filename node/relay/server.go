package relay

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/connguard"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// Server connects to targets for other daemons.
type Server struct {
	Board    *blackboard.Blackboard
	Connect  *target.Connector
	Recorder *telemetry.Recorder

	open atomic.Int64 // connections to targets, those whose ticket is not used yet included

	mu      sync.Mutex
	tickets map[string]*target.RelayedConn // connections whose ticket is not used yet
}

// NewServer returns a server and registers its handler with the hub.
func NewServer(board *blackboard.Blackboard, connect *target.Connector, recorder *telemetry.Recorder, hub *peer.Hub) *Server {
	s := &Server{Board: board, Connect: connect, Recorder: recorder, tickets: map[string]*target.RelayedConn{}}
	hub.Handle(peer.KindRelay, peer.TypedHandler(s.serveOpen))
	return s
}

// The bounds of what a daemon relays.
const (
	// maxOpen bounds the connections that a daemon relays. Each takes two descriptors and two buffers.
	maxOpen = 512
	// ticketLifetime is how long a connection waits for its ticket, many times a round trip between daemons.
	ticketLifetime = 2 * time.Second
	// bufferSize is the size of a copy buffer in bytes.
	bufferSize = 8 << 10
	// discardTimeout bounds how long the rest of a call is read after its target has closed the connection.
	discardTimeout = 2 * time.Second
)

// Relaying returns the number of connections that are relayed.
func (s *Server) Relaying() int { return int(s.open.Load()) }

// Status returns the state of the daemon's paths and of its work as a relay.
func (s *Server) Status() Status { return Status{Summary: s.Connect.Summary(), Relaying: s.Relaying()} }

// serveOpen connects to a target for a peer.
func (s *Server) serveOpen(ctx context.Context, from string, in openRequest) (openAnswer, error) {
	answer := s.connect(ctx, from, in.Address)
	s.Recorder.Metrics.RelayRequests.WithLabelValues(string(answer.Outcome)).Inc()
	if answer.Outcome != connected {
		s.Recorder.Log.Debug("did not relay", "peer", from, "address", in.Address, "outcome", string(answer.Outcome))
	}
	return answer, nil
}

func (s *Server) connect(ctx context.Context, from, address string) openAnswer {
	switch {
	case s.Board.Phase() == blackboard.Draining:
		return openAnswer{Outcome: leaving}
	case s.open.Load() >= maxOpen:
		return openAnswer{Outcome: busy}
	case !s.Board.Targets.HasAddress(address):
		return openAnswer{Outcome: unknownTarget}
	case s.Connect.Lost(address):
		return openAnswer{Outcome: noPath}
	}
	socket, err := s.Connect.ConnectDirect(ctx, address)
	if err != nil && !s.Connect.CheckOwnPath(ctx, address) {
		return openAnswer{Outcome: noPath}
	}
	if err != nil {
		return openAnswer{Outcome: unreachable}
	}
	conn, err := target.NewRelayedConn(socket)
	if err != nil {
		_ = socket.Close()
		s.Recorder.Log.Warn("cannot set up a relayed connection", "peer", from, "error", err.Error())
		return openAnswer{Outcome: busy}
	}
	s.open.Add(1)
	return openAnswer{Outcome: connected, Ticket: s.issueTicket(conn)}
}

// issueTicket keeps a connection under a new ticket for ticketLifetime.
func (s *Server) issueTicket(conn *target.RelayedConn) string {
	ticket := rand.Text()
	s.mu.Lock()
	s.tickets[ticket] = conn
	s.mu.Unlock()
	time.AfterFunc(ticketLifetime, func() {
		if conn := s.takeTicket(ticket); conn != nil {
			s.close(conn)
		}
	})
	return ticket
}

// takeTicket returns the connection of a ticket, once, or nil.
func (s *Server) takeTicket(ticket string) *target.RelayedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.tickets[ticket]
	delete(s.tickets, ticket)
	return conn
}

func (s *Server) close(conn *target.RelayedConn) {
	_ = conn.Close()
	s.open.Add(-1)
}

// Handler returns the handler of the peers' listener: it serves tickets, and passes all else to next.
func (s *Server) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ticket, found := strings.CutPrefix(r.URL.Path, path)
		if !found {
			next.ServeHTTP(w, r)
			return
		}
		s.serveTicket(w, r, ticket, chooseProtocol(r.Header.Get("Upgrade")))
	})
}

// chooseProtocol returns the protocol for a request with this Upgrade header.
func chooseProtocol(offered string) string {
	for name := range strings.SplitSeq(offered, ",") {
		if strings.TrimSpace(name) == framedProtocol {
			return framedProtocol
		}
	}
	return plainProtocol
}

func (s *Server) serveTicket(w http.ResponseWriter, r *http.Request, ticket, protocol string) {
	conn := s.takeTicket(ticket)
	if conn == nil {
		http.Error(w, "unknown ticket", http.StatusNotFound)
		return
	}
	defer s.close(conn)
	caller, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.Recorder.Log.Warn("cannot take over a connection to relay", "error", err.Error())
		return
	}
	defer func() { _ = caller.Close() }()
	connguard.Trust(r.Context())
	_ = caller.SetDeadline(time.Time{})
	if _, err := io.WriteString(caller, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		return
	}
	out := downstream{to: caller, writeEnd: func() error { return nil }}
	if protocol == framedProtocol {
		frames := &frameWriter{to: caller}
		out = downstream{to: frames, writeEnd: frames.writeEnd}
	}
	s.relay(caller, buffered.Reader, out, conn)
}

// downstream is where the bytes of the target go. writeEnd writes that the target has ended the connection in order.
type downstream struct {
	to       io.Writer
	writeEnd func() error
}

// relay copies bytes in both directions until one side ends.
func (s *Server) relay(caller net.Conn, in io.Reader, out downstream, conn *target.RelayedConn) {
	upstream := make(chan struct{})
	go func() {
		defer close(upstream)
		if ended, _ := copyBytes(conn, in); ended {
			_ = conn.Close() // The daemon has closed its side, which cancels the call.
			return
		}
		// The target has closed the connection and may have answered before. Closing the daemon's side with unread
		// bytes would reset it, and the end of the answer could be lost.
		_, _ = io.Copy(io.Discard, in)
	}()
	ended, err := copyBytes(out.to, conn)
	if ended && err == nil && out.writeEnd() == nil {
		closeWrite(caller)
		_ = caller.SetReadDeadline(time.Now().Add(discardTimeout))
	} else {
		reset(caller)
		_ = caller.Close()
	}
	<-upstream
}

// copyBytes copies until the source ends, with err nil at its orderly end, or the destination fails; ended reports
// which.
func copyBytes(to io.Writer, from io.Reader) (ended bool, err error) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return false, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return true, err
		}
	}
}

// closeWrite tells the daemon that the target has ended the connection in order.
func closeWrite(caller net.Conn) {
	if tcp, ok := caller.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
}

// reset makes the close of a connection a reset, so that an answer that the target broke off does not look complete.
func reset(caller net.Conn) {
	if tcp, ok := caller.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}
