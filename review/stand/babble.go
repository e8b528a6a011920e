package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case "babble": one runner answers one request with bytes that are not a response, at the rate of
// its machine's link. The platform kills a process that takes more memory than its machine has.

const (
	// linkBytesPerS is the rate of a machine's link (link_mbps).
	linkBytesPerS = 1000 * 1000 * 1000 / 8
	// workTime is how long a sound runner works on a request; the site allows up to 450 ms.
	workTime = 400 * time.Millisecond
	// steadyClients send to the daemon one request after the other, each on a channel of its own.
	steadyClients = 12
	playTime      = 20 * time.Second
	babbleAt      = 8 * time.Second
	// lostBound is the number of lost requests that the rule allows.
	lostBound = 3
)

func init() { cases["babble"] = playBabble }

func playBabble(dir string, trouble bool) int {
	s := newStore("127.0.0.1")
	putConfig(s)
	var babbled atomic.Bool
	began := time.Now()
	sound := func(conn *net.TCPConn, r *http.Request) bool {
		time.Sleep(workTime)
		return signed(conn, r, 200, "done "+requestID(r))
	}
	faulty := func(conn *net.TCPConn, r *http.Request) bool {
		if !trouble || time.Since(began) < babbleAt || babbled.Swap(true) {
			return sound(conn, r)
		}
		sent := babble(conn)
		log.add("runner i-a1 sent %d bytes that are not a response to %s", sent, requestID(r))
		return false
	}
	runners := []*runner{
		newRunner(s, "127.0.0.1", "i-a1", plain, "lis-a", 6, faulty),
		newRunner(s, "127.0.0.1", "i-a2", plain, "lis-b", 6, sound),
		newRunner(s, "127.0.0.1", "i-a3", plain, "lis-c", 6, sound),
	}
	daemons := startDaemons(s, dir, 6)
	began = time.Now()
	killed := watchMemory(daemons[0], dir)
	var lost, sent, refused atomic.Int64
	var clients sync.WaitGroup
	for n := range steadyClients {
		clients.Go(func() {
			c := newClient(daemons[0])
			for i := 0; time.Since(began) < playTime; i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				kept := i > 0
				a := c.send(http.MethodPost, unsafePath, id, "confirm", 3*time.Second)
				sent.Add(1)
				switch ranAt := runnerOf(runners, id); {
				case a.err != nil && kept && ranAt != "" && ranAt != "i-a1":
					log.add("lost: %s ran at the sound runner %s and its channel was closed without an answer", id, ranAt)
					lost.Add(1)
				case a.err != nil || a.status != 200:
					refused.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	log.add("sent %d, lost at sound runners %d (allowed %d), other failures %d, process ended for its memory: %v", sent.Load(), lost.Load(), lostBound, refused.Load(), killed.Load())
	if lost.Load() > lostBound {
		return broken
	}
	return held
}

// babble sends zeros, which are not a response, until the daemon closes the channel, and returns how many.
func babble(conn *net.TCPConn) int {
	const tick = 5 * time.Millisecond
	part := make([]byte, linkBytesPerS/int(time.Second/tick)) // Zeros, as of a file with holes.
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for sent := 0; ; {
		n, err := conn.Write(part)
		sent += n
		if err != nil {
			return sent
		}
		<-ticker.C
	}
}

// runnerOf returns the id of the runner that ran a request, or an empty string.
func runnerOf(runners []*runner, id string) string {
	for _, r := range runners {
		r.mu.Lock()
		n := r.ran[id]
		r.mu.Unlock()
		if n > 0 {
			return r.id
		}
	}
	return ""
}

// watchMemory does what the platform does: it kills a process that exceeds its machine's memory, and starts
// it again after a short delay.
func watchMemory(d *daemon, dir string) *atomic.Bool {
	killed := &atomic.Bool{}
	go func() {
		peak := 0
		for {
			if mb := d.residentMB(); mb > peak+10 {
				peak = mb
				log.add("%s uses %d MB", d.name, mb)
			}
			if peak > memoryMB {
				log.add("%s exceeds its memory of %d MB and is killed", d.name, memoryMB)
				killed.Store(true)
				_ = d.cmd.Process.Kill()
				<-d.done
				time.Sleep(500 * time.Millisecond)
				d.start(dir)
				peak = 0
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return killed
}
