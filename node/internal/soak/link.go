package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Fault is a network fault of a link.
type Fault int

// The faults of a link.
const (
	// NoFault forwards all data at once.
	NoFault Fault = iota
	// Delayed forwards each piece of data after linkDelay.
	Delayed
	// Silent forwards nothing in either direction, but accepts new connections.
	Silent
	// OneWay forwards nothing from the server to clients.
	OneWay
	// Refusing resets open connections and new ones.
	Refusing
)

// linkDelay is many times the latency between data centres, and a third of the shortest latency
// goal of the paths.
const linkDelay = 100 * time.Millisecond

// Link is a TCP proxy on the loopback interface, from clients to one server, that simulates
// network faults.
type Link struct {
	listener net.Listener
	server   string

	mu      sync.Mutex
	fault   Fault
	delay   time.Duration
	changed chan struct{}
	conns   map[net.Conn]bool
	// passes reports whether a client's connection is forwarded; nil forwards all.
	passes func(client net.Conn) bool
}

// NewLink listens on an address and forwards connections to a server.
func NewLink(listen, server string) (*Link, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, server: server, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Address returns the host:port to which clients connect.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set sets the link's fault, for open connections and new ones.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if f == Refusing {
		l.Reset(1)
	}
}

// SetDelay sets the delay of each piece of data while the link has no fault.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetFilter forwards only the connections of clients for which passes returns true, and resets the others, open ones too. Nil
// forwards all.
func (l *Link) SetFilter(passes func(client net.Conn) bool) {
	l.mu.Lock()
	l.passes = passes
	var clients []net.Conn
	for c := range l.conns {
		if c.LocalAddr().String() == l.Address() {
			clients = append(clients, c)
		}
	}
	l.mu.Unlock()
	for _, c := range clients {
		if passes != nil && !passes(c) {
			closeWithReset(c)
		}
	}
}

// Reset resets each open connection with the probability of share.
func (l *Link) Reset(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if rand.Float64() < share {
			closeWithReset(c)
		}
	}
}

// Close stops listening and resets the open connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Set(Refusing)
}

// accept serves connections until the listener is closed.
func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return // The link is closed.
		}
		go l.serve(client)
	}
}

// serve forwards a client's connection to the server in both directions until both have ended.
func (l *Link) serve(client net.Conn) {
	defer l.untrack(client)
	if !l.track(client) {
		return
	}
	l.mu.Lock()
	passes := l.passes
	l.mu.Unlock()
	if passes != nil && !passes(client) {
		closeWithReset(client)
		return
	}
	server, err := net.Dial("tcp4", l.server)
	if err != nil {
		closeWithReset(client) // As if the server's port had no listener.
		return
	}
	defer l.untrack(server)
	if !l.track(server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(server, client, false) })
	directions.Go(func() { l.forward(client, server, true) })
	directions.Wait()
}

// forward copies data in one direction and then propagates its end: a close or a reset. With
// back set the direction is from the server to the client.
func (l *Link) forward(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.awaitPassage(back)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				closeWithReset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			l.awaitPassage(back)
			_ = to.(*net.TCPConn).CloseWrite() // Fails if the connection is already closed.
			return
		}
		if err != nil {
			closeWithReset(to)
			return
		}
	}
}

// awaitPassage waits as long as the link's fault delays this direction.
func (l *Link) awaitPassage(back bool) {
	for {
		l.mu.Lock()
		fault, delay, changed := l.fault, l.delay, l.changed
		l.mu.Unlock()
		switch {
		case fault == Delayed:
			<-time.After(linkDelay)
			return
		case fault == Silent, fault == OneWay && back:
			<-changed
		default:
			if delay > 0 {
				<-time.After(delay)
			}
			return
		}
	}
}

// track registers an open connection. It resets the connection and returns false if the link
// refuses connections.
func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == Refusing {
		closeWithReset(c)
		return false
	}
	l.conns[c] = true
	return true
}

// untrack closes a connection and removes it from the open ones.
func (l *Link) untrack(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = c.Close()
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
