package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Fault is what is wrong with a link.
type Fault int

// The faults.
const (
	// Fine links carry everything at once.
	NoFault Fault = iota
	// Late links hold each piece back for linkDelay.
	Delayed
	// Silent links carry nothing either way, and take new connections.
	Silent
	// OneWay links carry nothing back from the server.
	OneWay
	// Refusing links reset what is open and what comes.
	Refusing
)

// linkDelay is many times the way between data centres, and a third of the shortest goal.
const linkDelay = 100 * time.Millisecond

// Link is a loopback proxy between clients and one server, on which faults are put.
type Link struct {
	listener net.Listener
	server   string

	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewLink listens for connections to a server.
func NewLink(listen, server string) (*Link, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, server: server, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Address is host:port for clients.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set puts a fault on the link.
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

// Reset resets a share of the open connections.
func (l *Link) Reset(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if rand.Float64() < share {
			closeWithReset(c)
		}
	}
}

// Close ends the link and all that is open.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Set(Refusing)
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return // The link is closed.
		}
		go l.serve(client)
	}
}

func (l *Link) serve(client net.Conn) {
	defer l.untrack(client)
	if !l.track(client) {
		return
	}
	server, err := net.Dial("tcp4", l.server)
	if err != nil {
		closeWithReset(client) // As a port without a listener does.
		return
	}
	defer l.untrack(server)
	if !l.track(server) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.forward(server, client, false) })
	both.Go(func() { l.forward(client, server, true) })
	both.Wait()
}

// carry copies one direction until its end, and passes the end on.
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
			_ = to.(*net.TCPConn).CloseWrite() // Fails where the other side has gone too.
			return
		}
		if err != nil {
			closeWithReset(to)
			return
		}
	}
}

// holdTime waits while the link's fault holds this direction back.
func (l *Link) awaitPassage(back bool) {
	for {
		l.mu.Lock()
		fault, changed := l.fault, l.changed
		l.mu.Unlock()
		switch {
		case fault == Delayed:
			<-time.After(linkDelay)
			return
		case fault == Silent, fault == OneWay && back:
			<-changed
		default:
			return
		}
	}
}

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

func (l *Link) untrack(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = c.Close()
}

// closeWithReset closes a connection so that its other side sees a reset.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
