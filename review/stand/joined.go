package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "joined": in each episode one runner of eight crashes, and another one answers part of its
// requests with a failure. A daemon that resumes a stream of the first at the second appends the text of the
// failure to the stream and ends it as complete.

const (
	pieceEvery  = 40 * time.Millisecond
	chatRunners = 8
	chatClients = 96
	// In an episode of episodeTime a runner fails failPercent of its requests; another one crashes at
	// crashAt and starts again, as another process, after downTime.
	episodes     = 7
	episodeTime  = 6500 * time.Millisecond
	episodeEvery = 8 * time.Second
	failPercent  = 45
	crashAt      = 2 * time.Second
	downTime     = 4500 * time.Millisecond
	failureText  = `{"error":{"message":"The model does not exist.","code":404}}`
)

// grey counts a runner's requests and chooses those that fail.
type grey struct{ requests, failed atomic.Int64 }

func (g *grey) fails() bool {
	n := g.requests.Add(1)
	if n*failPercent/100 == (n-1)*failPercent/100 {
		return false
	}
	g.failed.Add(1)
	return true
}

// wholeStream answers with a stream that begins after the event that the client or the daemon names.
func wholeStream(conn *net.TCPConn, r *http.Request) bool {
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	if !streamHead(conn, r, "") {
		return false
	}
	for i := from + 1; i <= pieces; i++ {
		time.Sleep(pieceEvery)
		if !write(conn, chunk(event(i))) {
			return false
		}
	}
	return write(conn, chunk(""))
}

func init() { cases["joined"] = playJoined }

func playJoined(dir string, trouble bool) int {
	s := newStore("127.0.0.1")
	putConfig(s)
	var inEpisode atomic.Bool
	failures := &grey{}
	failing := func(conn *net.TCPConn, r *http.Request) bool {
		if !inEpisode.Load() || !failures.fails() {
			return wholeStream(conn, r)
		}
		log.add("the failing runner answers %s with status 404", requestID(r))
		return signed(conn, r, http.StatusNotFound, failureText)
	}
	newRunner(s, "127.0.0.1", "i-m0", chat, zones[0], 16, failing)
	for n := 1; n < chatRunners-1; n++ {
		newRunner(s, "127.0.0.1", fmt.Sprintf("i-m%d", n), chat, zones[n%3], 16, wholeStream)
	}
	newCrashing := func(n int) *runner {
		return newRunner(s, "127.0.0.1", fmt.Sprintf("i-c%d", n), chat, zones[1], 16, wholeStream)
	}
	crashing := newCrashing(0)
	daemons := startDaemons(s, dir, 6)
	over := make(chan struct{})
	go func() {
		defer close(over)
		for n := range episodes {
			began := time.Now()
			inEpisode.Store(trouble)
			time.Sleep(crashAt)
			if trouble {
				crashing.crash(s)
				time.Sleep(downTime)
				crashing = newCrashing(n + 1)
			}
			time.Sleep(time.Until(began.Add(episodeTime)))
			inEpisode.Store(false)
			time.Sleep(time.Until(began.Add(episodeEvery)))
		}
	}()
	var sent, whole, failed, wrong atomic.Int64
	var clients sync.WaitGroup
	for n := range chatClients {
		clients.Go(func() {
			c := newClient(daemons[n%len(daemons)])
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				default:
				}
				id := fmt.Sprintf("%04x%012x", n, i)
				a := c.send(http.MethodPost, chatPath, id, "prompt", 10*time.Second)
				sent.Add(1)
				switch count := strings.Count(a.body, "\n\n"); {
				case a.err != nil || a.status != http.StatusOK:
					failed.Add(1) // An answer that is seen to have failed or to be broken off is allowed.
				case count == pieces && strings.HasSuffix(a.body, "\n\n"):
					whole.Add(1)
				default:
					wrong.Add(1)
					log.add("WRONG %s: a complete success with %d of %d pieces, which ends with %q", id, count, pieces, a.body[max(0, len(a.body)-70):])
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	log.add("the failing runner failed %d of its %d requests in the episodes", failures.failed.Load(), failures.requests.Load())
	log.add("sent %d: whole %d, failed %d, handed out as complete with other bytes than a runner's whole answer %d", sent.Load(), whole.Load(), failed.Load(), wrong.Load())
	if wrong.Load() > 0 {
		return broken
	}
	return held
}
