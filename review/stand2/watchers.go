package main

import (
	"fmt"
	"sync"
	"time"
)

// The keys of two tenants. The operator takes the first one away.
const (
	keyTaken = "n2ctnfzs989anu6wsjnb"
	keyKept  = "anfqasnmgkcuyj8pjbvk"
)

// sentRequest is a request of a client, and what it got.
type sentRequest struct {
	daemon *daemon
	id     string
	sent   time.Time
	status int // 0 if the channel ended without an answer
}

// watchersLost: the machines that read the store end at once. Just after that, the operator takes a key away and a server says that it
// leaves. The other machines are untouched and reach the store.
func watchersLost(program, recordPath string) {
	// The machines of tidelane-quotes, its three spare ones included.
	const a, b, c = "ne-zone-a", "ne-zone-b", "ne-zone-c"
	zones := []string{a, a, a, a, a, b, b, b, b, c, c, c}
	w := newWorld(program, recordPath, zones)
	tenants := func(keys ...string) []map[string]any {
		list := []map[string]any{{"name": "bune77", "api_keys": []string{keyKept}, "priority": 1}}
		return append(list, map[string]any{"name": "hule930", "api_keys": keys, "priority": 1})
	}
	before, after := config(7), config(12)
	before["tenants"], after["tenants"] = tenants(keyTaken), tenants()
	w.store.put("op/config", before)
	servers := []*runner{}
	for i, zone := range []string{a, b, c} {
		x := newRunner(fmt.Sprintf("i-7f3a91c%d", i), "agenda", zone, w.network+"201:0")
		w.store.put(x.key(), x.entry("ready"))
		servers = append(servers, x)
	}
	w.start()
	time.Sleep(3 * time.Second)
	readers, others := w.readers()
	w.record.add("read the store: %s; do not: %s", names(readers), names(others))
	if len(others) == 0 || len(readers) > 6 {
		w.end(2, "all machines read the store, so there is none left to watch")
	}
	var mu sync.Mutex
	var requests []sentRequest
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, d := range others {
		for k, key := range []string{keyTaken, keyKept} {
			clients.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					r := sentRequest{daemon: d, id: fmt.Sprintf("%s-%d-%d", d.name, k, i), sent: time.Now()}
					if c, err := dial(d.front); err == nil {
						method, path := "GET", "/lookup/1"
						if key == keyKept {
							method, path = "POST", "/confirm/1"
						}
						resp, _, err := c.do(request(method, path, r.id, key), method, 3*time.Second)
						if err == nil {
							r.status = resp.StatusCode
						}
						c.conn.Close()
					}
					mu.Lock()
					requests = append(requests, r)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Second)
	if w.trouble {
		for _, d := range readers {
			w.sigkill(d)
		}
	}
	time.Sleep(200 * time.Millisecond)
	configAck := w.store.put("op/config", after)
	w.record.add("the store has accepted version 12, without the key of hule930")
	drainAck := w.store.put(servers[0].key(), servers[0].entry("draining"))
	w.record.add("the store has accepted that %s is draining", servers[0].id)
	time.Sleep(4800 * time.Millisecond)
	if w.trouble {
		for _, d := range readers {
			<-d.done
			d.start(w.program)
		}
		w.record.add("the processes that were killed have started again, after 5s")
	}
	time.Sleep(1200 * time.Millisecond)
	close(stop)
	clients.Wait()
	w.judgeWatchersLost(requests, servers, configAck, drainAck)
}

// judgeWatchersLost checks the rules CONFIG and DRAIN for the machines that were not touched.
func (w *world) judgeWatchersLost(requests []sentRequest, servers []*runner, configAck, drainAck time.Time) {
	byID := map[string]sentRequest{}
	for _, r := range requests {
		byID[r.id] = r
		w.record.add("sent at %.3f to %s: %s, answered %d", r.sent.Sub(w.record.start).Seconds(), r.daemon.name, r.id, r.status)
	}
	stale, late := 0, 0
	var lastStale, lastLate time.Duration
	for _, x := range servers {
		for _, run := range x.taken() {
			w.record.add("ran at %.3f at %s: %s, tenant %s", run.at.Sub(w.record.start).Seconds(), x.id, run.id, run.header.Get("X-Tenant"))
			if after := byID[run.id].sent.Sub(configAck); run.header.Get("X-Tenant") == "hule930" && after > configApply {
				stale, lastStale = stale+1, max(lastStale, after)
			}
			if after := run.at.Sub(drainAck); x == servers[0] && after > drain {
				late, lastLate = late+1, max(lastLate, after)
			}
		}
	}
	verdict := fmt.Sprintf("CONFIG: %d requests with the key that was taken away ran though they were sent over %v after the ack, the last one %v after it. "+
		"DRAIN: %d requests reached the server over %v after the ack that it leaves, the last one %v after it", stale, configApply, lastStale.Round(time.Millisecond), late, drain, lastLate.Round(time.Millisecond))
	if stale > 0 || late > 0 {
		w.end(1, "%s", verdict)
	}
	w.end(0, "%s", verdict)
}
