package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that reached a runner.
type run struct {
	at                    time.Time
	id, method, uri, body string
	header                http.Header
}

// runner is a server of a service: PROTOCOL.md, "Runners".
type runner struct {
	id, service, address, zone string
	born                       time.Time
	server                     *http.Server
	listener                   net.Listener
	mu                         sync.Mutex
	runs                       []run
	// serve answers a request; nil stands for answerOK.
	serve func(w http.ResponseWriter, r *http.Request, body []byte)
	slots int
}

func newRunner(id, service, zone, address string) *runner {
	l, err := net.Listen("tcp", address)
	check(err)
	x := &runner{id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now(), listener: l, slots: 16}
	x.server = &http.Server{Handler: http.HandlerFunc(x.handle)}
	go x.server.Serve(l)
	return x
}

func (x *runner) entry(state string) map[string]any {
	return map[string]any{"service": x.service, "address": x.address, "zone": x.zone, "version": "1", "slots": x.slots, "state": state,
		"cold_remaining_ms": 0, "seq": 1, "born": x.born.UnixMilli(), "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}}
}

func (x *runner) key() string { return "servers/" + x.id }

func (x *runner) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if to := r.Header.Get("X-Target-Instance"); to != "" && to != x.id {
		w.WriteHeader(421)
		return
	}
	switch r.URL.Path {
	case "/report":
		reply(w, map[string]any{"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 1, "waiting": 0, "running": 0,
			"kv_used": 0, "kv_total": 315000, "handles": 0, "pace": 1, "born": x.born.UnixMilli(), "tickets": []any{}})
		return
	case "/health":
		w.Header().Set("X-Instance-Id", x.id)
		w.WriteHeader(200)
		return
	case "/order":
		reply(w, map[string]any{"free": 300000})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	x.mu.Lock()
	x.runs = append(x.runs, run{time.Now(), r.Header.Get("X-Request-Id"), r.Method, r.RequestURI, string(body), r.Header.Clone()})
	serve := x.serve
	x.mu.Unlock()
	if serve == nil {
		serve = answerOK
	}
	serve(w, r, body)
}

func answerOK(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("X-Server-Signature", "sig."+r.Header.Get("X-Request-Id"))
	fmt.Fprintf(w, "answer to %s", r.Header.Get("X-Request-Id"))
}

func (x *runner) taken() []run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]run(nil), x.runs...)
}

// config returns a configuration as the operator writes it.
func config(version int, extra ...map[string]any) map[string]any {
	routes := []map[string]any{
		{"name": "chat", "host": "ficu95.example", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 300, "priority": 1, "service": "llm", "max_attempts": 2, "no_auth": false, "sticky": true, "resumable": true, "gap_aim_ms": 250},
		{"name": "triage", "host": "ficu95.example", "prefix": "/triage/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 3000, "priority": 1, "service": "llm", "max_attempts": 2, "no_auth": false, "sticky": true, "resumable": true, "gap_aim_ms": 1000},
		{"name": "confirm", "host": "ficu95.example", "prefix": "/confirm/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "agenda", "max_attempts": 1, "no_auth": false},
		{"name": "lookup", "host": "ficu95.example", "prefix": "/lookup/", "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "agenda", "max_attempts": 2, "no_auth": false},
	}
	routes = append(routes, extra...)
	engine := map[string]any{"slots": 16, "kv_capacity_tokens": 315000, "kv_token_bytes": 163840, "link_mbps": 400000.0, "stride": 51, "models": []any{map[string]any{"name": "m"}},
		"step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8,
		"delays": []any{map[string]any{"from": "lis-a", "to": "lis-b", "delay_ms": 0.9}}, "usual": map[string]any{"prompt": 11112, "answer": 1622}, "hop_ms": 0.05}
	return map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "llm", "health_path": "/health", "max_connections": 424, "protocol": "h1", "tls": false, "engine": engine},
			{"name": "agenda", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}}}
}
