package main

import (
	"fmt"
	"sync"
	"time"
)

// recoverTime is recover_s of the settings file.
const recoverTime = 12 * time.Second

// rankOfTen: a new version of the configuration takes a key away, and adds a route whose priority is 10. Some seconds after it
// is acknowledged all processes are killed, and start again.
func rankOfTen(program, recordPath string) {
	w := newWorld(program, recordPath, []string{"ne-zone-a", "ne-zone-b", "ne-zone-c"})
	x := newRunner("i-7f3a91c0", "agenda", "ne-zone-a", w.network+"201:0")
	tenants := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "bune77", "api_keys": []string{keyKept}, "priority": 1}, {"name": "hule930", "api_keys": keys, "priority": 1}}
	}
	before := config(7)
	before["tenants"] = tenants(keyTaken)
	w.store.put("op/config", before)
	w.store.put(x.key(), x.entry("ready"))
	w.start()
	sent, served, _ := w.askAll("before", keyKept, 3*time.Second)
	w.record.add("before: %d of %d requests were served", served, sent)
	if served < sent/4 {
		w.end(2, "too few requests are served before the disruption: %d of %d", served, sent)
	}
	priority := 9
	if w.trouble {
		priority = 10
	}
	after := config(12, map[string]any{
		"name": "late", "host": "ficu95.example", "prefix": "/late/", "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": priority,
		"service": "agenda", "max_attempts": 2, "no_auth": false,
	})
	after["tenants"] = tenants()
	ack := w.store.put("op/config", after)
	w.record.add("the store has accepted version 12: no key of hule930, and a route with priority %d", priority)
	time.Sleep(configApply)
	_, _, stale := w.askAll("stale", keyTaken, 3*time.Second)
	w.record.add("%d requests with the key that was taken away ran over %v after the ack", stale, time.Since(ack).Round(time.Second))
	for _, d := range w.daemons {
		w.sigkill(d)
		<-d.done
	}
	time.Sleep(800 * time.Millisecond)
	for _, d := range w.daemons {
		d.start(w.program)
	}
	w.record.add("all processes have started again")
	time.Sleep(recoverTime)
	sent, served, _ = w.askAll("after", keyKept, 6*time.Second)
	for _, run := range x.taken() {
		w.record.add("ran at %.3f at %s: %s, tenant %s", run.at.Sub(w.record.start).Seconds(), x.id, run.id, run.header.Get("X-Tenant"))
	}
	verdict := fmt.Sprintf("RECOVER: %d of %d requests were served that were sent over %v after the processes were back. CONFIG: %d requests with the key that was taken away ran over %v after the ack",
		served, sent, recoverTime, stale, configApply)
	if served < sent/4 || stale > 0 {
		w.end(1, "%s", verdict)
	}
	w.end(0, "%s", verdict)
}

// askAll sends requests with a key to all daemons in turn, without waiting for the answers to earlier ones. It returns how many were sent
// and served, and how many got an answer of a server.
func (w *world) askAll(prefix, key string, long time.Duration) (sent, served, ran int) {
	var mu sync.Mutex
	var pending sync.WaitGroup
	for began := time.Now(); time.Since(began) < long; time.Sleep(30 * time.Millisecond) {
		d := w.daemons[sent%len(w.daemons)]
		id := fmt.Sprintf("%s-%d", prefix, sent)
		sent++
		pending.Go(func() {
			w.record.add("sent to %s: %s with key %s", d.name, id, key)
			status, signed := 0, false
			if c, err := dial(d.front); err == nil {
				if resp, _, err := c.do(request("GET", "/lookup/1", id, key), "GET", 3*time.Second); err == nil {
					status, signed = resp.StatusCode, resp.Header.Get("X-Server-Signature") != ""
				}
				c.conn.Close()
			}
			w.record.add("answered %d: %s", status, id)
			mu.Lock()
			defer mu.Unlock()
			if status == 200 {
				served++
			}
			if signed {
				ran++
			}
		})
	}
	pending.Wait()
	return sent, served, ran
}
