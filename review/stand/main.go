// Command stand plays the cases of the review: it starts the project's daemons as separate processes and
// is the platform's store, the runners and the clients around them. It needs nothing but the standard
// library.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	runLimit = 115 * time.Second
)

// cases holds the cases by name. Each returns the exit code; trouble is false without the disruption.
var cases = map[string]func(dir string, trouble bool) int{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD-FILE")
		os.Exit(notRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	if err := log.open(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { cannotRun("ended by %v", <-signals) }()
	time.AfterFunc(runLimit, func() { cannotRun("the case took longer than %v", runLimit) })
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	tempDir = dir
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case %s, trouble %v", os.Args[1], trouble)
	exit(play(dir, trouble))
}

var tempDir string

// exit ends all processes and the program.
func exit(code int) {
	processes.killAll()
	log.add("exit %d", code)
	if tempDir != "" {
		_ = os.RemoveAll(tempDir)
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	log.add("cannot run: "+format, args...)
	exit(notRun)
}

// recordLog is record.txt: what was sent, answered and run.
type recordLog struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

var log recordLog

func (l *recordLog) open(path string) error {
	file, err := os.Create(filepath.Clean(path))
	l.file, l.began = file, time.Now()
	return err
}

func (l *recordLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		_, _ = fmt.Fprintf(l.file, "%8.3f "+format+"\n", append([]any{time.Since(l.began).Seconds()}, args...)...)
	}
}

// The host name, paths and keys of the configuration.
const (
	host       = "ficu95.example"
	chatPath   = "/lohu930/2f"
	unsafePath = "/puxa403/2f"
	safePath   = "/cufi504/2f"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	chat       = "llm-pool"
	plain      = "agenda-api"
)

// putConfig publishes the configuration: the classes desk-chat, slot-confirm and slot-lookup of clara-lis.
func putConfig(s *store) {
	route := func(name, prefix, kind, service string, timeout, goal, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeout,
			"target_latency_ms": goal, "max_attempts": attempts, "priority": 1}
	}
	stream := route("r-chat", "/lohu930/", "streaming", chat, 10000, 300, 2)
	stream["resumable"], stream["gap_aim_ms"], stream["sticky"] = true, 250, true
	engine := map[string]any{"slots": 16, "kv_capacity_tokens": 315000, "kv_token_bytes": 163840, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425,
		"context_per_k": 0.00285, "read_per_s": 177000, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200,
		"usual": map[string]any{"prompt": 4960, "answer": 1680}, "delays": []any{}}
	s.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{stream, route("r-confirm", "/puxa403/", "unsafe", plain, 1500, 300, 1),
			route("r-lookup", "/cufi504/", "safe", plain, 1500, 300, 2)},
		"services": []any{map[string]any{"name": chat, "engine": engine}, map[string]any{"name": plain}},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}}},
		"limits":   map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      string
	// err is set if there was no answer or not a whole one.
	err error
}

// client sends requests to one daemon and keeps its channels.
type client struct {
	daemon *daemon
	http   *http.Client
}

func newClient(d *daemon) *client {
	return &client{d, &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64}}}
}

// send sends a request once and reads the whole answer.
func (c *client) send(method, path, id string, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = struct{ io.Reader }{strings.NewReader(body)} // net/http cannot repeat it on its own.
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.daemon.front+path, reader)
	if err != nil {
		cannotRun("%v", err)
	}
	r.Host, r.ContentLength = host, int64(len(body))
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Credential", apiKey)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if path == chatPath {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Counts", "4960,1680")
		r.Header.Set("X-Prompt-Prefix", "5c1e07a2:40,"+id+":4920")
	}
	began := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		log.add("client at %s: %s has no answer after %v: %v", c.daemon.name, id, time.Since(began).Round(time.Millisecond), err)
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a := answer{resp.StatusCode, resp.Header.Get("X-Server-Signature"), string(text), err}
	log.add("client at %s: %s got status %d, signature %q, %d bytes after %v, complete %v", c.daemon.name, id, a.status, a.signature, len(text), time.Since(began).Round(time.Millisecond), err == nil)
	return a
}
