package main

import (
	"fmt"
	"time"
)

// rankOfTen: a new version of the configuration takes a key away, and adds a route whose priority is 10.
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
	time.Sleep(2 * time.Second)
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
	stale, refused := 0, 0
	for i := 0; time.Since(ack) < 12*time.Second; i++ {
		d := w.daemons[i%len(w.daemons)]
		for _, ask := range []struct{ path, key string }{{"/lookup/1", keyTaken}, {"/late/1", keyKept}} {
			id := fmt.Sprintf("%s-%d%s", d.name, i, ask.path[:5])
			sent := time.Now()
			c, err := dial(d.front)
			if err != nil {
				continue
			}
			resp, _, err := c.do(request("GET", ask.path, id, ask.key), "GET", 3*time.Second)
			c.conn.Close()
			if err != nil {
				continue
			}
			w.record.add("sent %v after the ack: %s with key %s, answered %d", sent.Sub(ack).Round(time.Millisecond), id, ask.key, resp.StatusCode)
			switch late := sent.Sub(ack) > configApply; {
			case late && ask.key == keyTaken && resp.StatusCode == 200:
				stale++
			case late && ask.key == keyKept && resp.StatusCode == 404:
				refused++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, run := range x.taken() {
		w.record.add("ran at %.3f at %s: %s, tenant %s", run.at.Sub(w.record.start).Seconds(), x.id, run.id, run.header.Get("X-Tenant"))
	}
	verdict := fmt.Sprintf("CONFIG: of the requests sent over %v after the ack, %d ran with the key that was taken away, and %d got 404 on the route that was added", configApply, stale, refused)
	if stale+refused > 0 {
		w.end(1, "%s", verdict)
	}
	w.end(0, "%s", verdict)
}
