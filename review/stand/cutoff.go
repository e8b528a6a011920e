package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// The case "cutoff": a runner's queue of new channels is full for a moment, so the opening packet of a daemon
// is dropped and the daemon reaches the runner through another one. The runner's answer has no length and ends
// with its channel. The daemon between is killed while the answer is on its way, and the first daemon takes the
// end of its channel for the end of the answer.

const (
	// A round counts if the stream goes through another daemon; on a busy machine a daemon may have a spare channel.
	maxRounds, wantedRounds = 9, 3
	// slowPieceEvery is the time between two pieces of a stream, and killAfter when the daemon between is killed.
	slowPieceEvery = 200 * time.Millisecond
	killAfter      = 5*slowPieceEvery + slowPieceEvery/2
	roundPause     = 6 * time.Second // Kept channels expire, and the paths are found to work again.
)

func init() { cases["cutoff"] = playCutoff }

func playCutoff(dir string, trouble bool) int {
	s := newStore("127.0.0.1")
	putConfig(s)
	unframed := func(conn *net.TCPConn, r *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\n"+idHeader(r)+"Content-Type: text/event-stream\r\nX-Server-Signature: "+signature(requestID(r), "")+
			"\r\nX-Weight-Versions: 1\r\nConnection: close\r\n\r\n")
		for i := 1; i <= pieces; i++ {
			time.Sleep(slowPieceEvery)
			if !write(conn, event(i)) {
				log.add("the channel from the runner has failed at piece %d of %s", i, requestID(r))
				return false
			}
		}
		log.add("the runner has written all pieces of %s", requestID(r))
		return false // The end of the answer is that of the channel.
	}
	gate := newGate("127.0.0.1")
	r := &runner{id: "i-m0", service: chat, zone: "lis-a", slots: 16, listener: gate, answer: unframed, closeReports: true, ran: map[string]int{}}
	go r.serve()
	go r.heartbeat(s)
	daemons := startDaemons(s, dir, 6)
	wrong, relayed, rounds := 0, 0, 0
	for ; rounds < maxRounds && relayed < wantedRounds; rounds++ {
		n := rounds
		time.Sleep(roundPause)
		first := daemons[n%len(daemons)]
		id := fmt.Sprintf("%016x", n)
		gate.fill()
		finished := make(chan answer, 1)
		go func() {
			finished <- newClient(first).send(http.MethodPost, chatPath, id, "prompt", 10*time.Second)
		}()
		time.Sleep(killAfter)
		if between := relaying(daemons); between != nil {
			relayed++
			log.add("%s goes through %s", id, between.name)
			if trouble {
				log.add("%s is killed", between.name)
				_ = between.cmd.Process.Signal(syscall.SIGKILL)
				<-between.done
				time.Sleep(500 * time.Millisecond)
				between.start(dir)
			}
		}
		got := <-finished
		if count := strings.Count(got.body, "\n\n"); got.err == nil && got.status == http.StatusOK && count != pieces {
			log.add("WRONG %s: a complete success with %d of %d pieces", id, count, pieces)
			wrong++
		}
	}
	log.add("%d of %d streams went through another daemon, %d were handed out as complete without all pieces", relayed, rounds, wrong)
	switch {
	case wrong > 0:
		return broken
	case relayed == 0:
		return notRun
	}
	return held
}

// relayedMetric is the number of connections that a daemon relays.
const relayedMetric = "doorstack_relayed_connections"

// relaying returns the daemon that relays a connection, by its metrics, or nil.
func relaying(daemons []*daemon) *daemon {
	for _, d := range daemons {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + d.ip + ":9464/metrics")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		for line := range strings.Lines(string(text)) {
			if strings.HasPrefix(line, relayedMetric) && !strings.HasSuffix(strings.TrimSpace(line), " 0") {
				return d
			}
		}
	}
	return nil
}

// gate is a listener whose queue of new channels holds one. While it is full, the kernel drops opening
// packets; they are sent again a second later.
type gate struct {
	*net.TCPListener
	filled   chan struct{}
	accepted chan net.Conn
}

func newGate(ip string) *gate {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		cannotRun("%v", err)
	}
	address := &syscall.SockaddrInet4{}
	copy(address.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, address); err != nil {
		cannotRun("%v", err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		cannotRun("%v", err)
	}
	file := os.NewFile(uintptr(fd), "gate")
	defer func() { _ = file.Close() }()
	l, err := net.FileListener(file)
	if err != nil {
		cannotRun("%v", err)
	}
	g := &gate{TCPListener: l.(*net.TCPListener), filled: make(chan struct{}), accepted: make(chan net.Conn)}
	go g.run()
	return g
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) { return <-g.accepted, nil }

// fill fills the queue until a daemon's opening packet has been dropped. It returns once the queue is full.
func (g *gate) fill() {
	g.filled <- struct{}{}
	<-g.filled
}

// run takes channels from the queue, except while it is to be full.
func (g *gate) run() {
	for {
		_ = g.SetDeadline(time.Now().Add(time.Millisecond))
		if conn, err := g.TCPListener.Accept(); err == nil {
			g.accepted <- conn
			continue
		}
		select { // The queue is empty.
		case <-g.filled:
			g.holdFull()
		default:
		}
	}
}

// holdFull keeps the queue full with a channel of its own until an opening packet has been dropped.
func (g *gate) holdFull() {
	own, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).Dial("tcp4", g.Addr().String())
	if err == nil {
		defer func() { _ = own.Close() }()
	}
	log.add("the runner's queue of new channels is full")
	g.filled <- struct{}{}
	for end := time.Now().Add(2 * time.Second); !g.openingDropped() && time.Now().Before(end); {
		time.Sleep(500 * time.Microsecond)
	}
	log.add("the runner takes new channels again")
}

// openingDropped reports whether a channel to the runner waits for the answer to its opening packet.
func (g *gate) openingDropped() bool {
	port := fmt.Sprintf(":%04X", g.Addr().(*net.TCPAddr).Port)
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		cannotRun("%v", err)
	}
	const stateSynSent = "02"
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 3 && strings.HasSuffix(fields[2], port) && fields[3] == stateSynSent {
			return true
		}
	}
	return false
}
