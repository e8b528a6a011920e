package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards channels to one address. Channels that are open can go silent for good: nothing passes any more, and neither side
// is told. New channels work.
type proxy struct {
	address, to string
	mu          sync.Mutex
	silent      chan struct{} // closed when the channels that are open by then go silent
}

func newProxy(ip, to string) *proxy {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	p := &proxy{address: l.Addr().String(), to: to, silent: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p
}

// silence lets the channels that are open go silent for good.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *proxy) forward(conn net.Conn) {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		conn.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			select {
			case <-silent:
				return // Both ends stay open, and nothing passes.
			default:
			}
			if n > 0 {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					err = writeErr
				}
			}
			if err == io.EOF || err != nil {
				to.Close()
				from.Close()
				return
			}
		}
	}
	go pass(server, conn)
	go pass(conn, server)
}

// storeChannelsSilent: servers leave one after the other, and just after one of them the open channels to the store go silent, while new
// ones work. When all machines have been in touch again for a moment, a server leaves that does not report draining.
func storeChannelsSilent(program, recordPath string) {
	w := newWorld(program, recordPath, []string{"ne-zone-a", "ne-zone-a", "ne-zone-b", "ne-zone-b", "ne-zone-c", "ne-zone-c"})
	p := newProxy(w.network+"202", w.store.address)
	for _, d := range w.daemons {
		d.store = p.address
	}
	w.store.put("op/config", config(7))
	servers := []*runner{}
	for i := range 12 {
		x := newRunner(fmt.Sprintf("i-7f3a91%02d", i), "agenda", []string{"ne-zone-a", "ne-zone-b", "ne-zone-c"}[i%3], w.network+"201:0")
		w.store.put(x.key(), x.entry("ready"))
		servers = append(servers, x)
	}
	w.start()
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, d := range w.daemons {
		for k := range 2 {
			clients.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					id := fmt.Sprintf("%s-%d-%d", d.name, k, i)
					c, err := dial(d.front)
					if err != nil {
						continue
					}
					w.record.add("sent to %s: %s", d.name, id)
					resp, _, err := c.do(request("POST", "/confirm/1", id, "n2ctnfzs989anu6wsjnb"), "POST", 3*time.Second)
					if err == nil {
						w.record.add("answered %d: %s", resp.StatusCode, id)
					}
					c.conn.Close()
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	// A release: one server after the other reports that it drains.
	for i := range 6 {
		time.Sleep(time.Second)
		w.store.put(servers[11-i].key(), servers[11-i].entry("draining"))
		w.record.add("the store has accepted that %s is draining", servers[11-i].id)
	}
	time.Sleep(30 * time.Millisecond)
	silent := time.Now()
	if w.trouble {
		p.silence()
		w.record.add("the open channels to the store are silent")
	}
	time.Sleep(time.Until(silent.Add(stable + 20*time.Millisecond)))
	ack := w.store.remove(servers[0].key())
	w.record.add("the store has accepted that the entry of %s is removed, %v after the channels went silent", servers[0].id, ack.Sub(silent).Round(time.Millisecond))
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	late, last := 0, time.Duration(0)
	for _, x := range servers {
		for _, run := range x.taken() {
			w.record.add("ran at %.3f at %s: %s", run.at.Sub(w.record.start).Seconds(), x.id, run.id)
			if after := run.at.Sub(ack); x == servers[0] && after > drain {
				late, last = late+1, max(last, after)
			}
		}
	}
	verdict := fmt.Sprintf("DRAIN: %d requests reached the server over %v after the ack that it is gone, the last one %v after it", late, drain, last.Round(time.Millisecond))
	if late > 0 {
		w.end(1, "%s", verdict)
	}
	w.end(0, "%s", verdict)
}
