package main

import (
	"fmt"
	"sync"
	"time"
)

// turnedAway is how long the store turns machines away.
const turnedAway = 9 * time.Second

// readersTurnedAway: the store turns a third of the machines away and serves the others, which have a path to it. Meanwhile the operator
// takes a key away.
func readersTurnedAway(program, recordPath string) {
	const a, b, c = "ne-zone-a", "ne-zone-b", "ne-zone-c"
	w := newWorld(program, recordPath, []string{a, a, a, a, a, a, b, b, b, b, b, b, c, c, c, c, c, c})
	tenants := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "bune77", "api_keys": []string{keyKept}, "priority": 1}, {"name": "hule930", "api_keys": keys, "priority": 1}}
	}
	before, after := config(7), config(12)
	before["tenants"], after["tenants"] = tenants(keyTaken), tenants()
	w.store.put("op/config", before)
	x := newRunner("i-7f3a91c0", "agenda", a, w.network+"201:0")
	w.store.put(x.key(), x.entry("ready"))
	w.start()
	time.Sleep(3 * time.Second)
	readers, others := w.readers()
	w.record.add("read the store: %s; do not: %s", names(readers), names(others))
	if len(others) == 0 || len(readers) > 6 {
		w.end(2, "over a third of the machines read the store")
	}
	if w.trouble {
		refused := map[*daemon]bool{}
		for _, d := range readers {
			refused[d] = true
		}
		w.store.refuse(func(remote string) bool { return refused[w.ownerOf(remote)] })
		w.record.add("the store answers 503 to %s", names(readers))
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	ack := w.store.put("op/config", after)
	w.record.add("the store has accepted version 12, without the key of hule930")
	var mu sync.Mutex
	stale, last := 0, time.Duration(0)
	var clients sync.WaitGroup
	for _, d := range others {
		clients.Go(func() {
			for i := 0; time.Since(began) < turnedAway; i++ {
				id := fmt.Sprintf("%s-%d", d.name, i)
				sent := time.Now()
				channel, err := dial(d.front)
				if err == nil {
					resp, _, err := channel.do(request("GET", "/lookup/1", id, keyTaken), "GET", 3*time.Second)
					channel.conn.Close()
					if err == nil {
						after := sent.Sub(ack)
						w.record.add("sent %v after the ack: %s, answered %d", after.Round(time.Millisecond), id, resp.StatusCode)
						mu.Lock()
						if resp.StatusCode == 200 && after > configApply+maxStretch {
							stale, last = stale+1, max(last, after)
						}
						mu.Unlock()
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	w.store.refuse(nil)
	for _, run := range x.taken() {
		w.record.add("ran at %.3f at %s: %s", run.at.Sub(w.record.start).Seconds(), x.id, run.id)
	}
	verdict := fmt.Sprintf("CONFIG: %d requests with the key that was taken away ran at machines that the store serves, though they were sent over %v after the ack, the last one %v after it",
		stale, configApply+maxStretch, last.Round(time.Millisecond))
	if stale > 0 {
		w.end(1, "%s", verdict)
	}
	w.end(0, "%s", verdict)
}
