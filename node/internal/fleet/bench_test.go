package fleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"doorstack.dev/node/internal/standin"
)

// startBenchFleet starts one daemon and one engine, with limits above what benchmarks use.
func startBenchFleet(b *testing.B, cost standin.CostModel) *Fleet {
	b.Helper()
	o := claraOptions(1, 1)
	o.Cost = cost
	raiseLimits := strings.NewReplacer("requests_per_second: 200", "requests_per_second: 100000", "max_concurrent: 64", "max_concurrent: 1000")
	o.Settings = []byte(raiseLimits.Replace(string(o.Settings)))
	f, err := Start(o)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	return f
}

// timeToFirstLine makes a request and reads the whole answer. It returns the time to the
// first line of the body.
func timeToFirstLine(b *testing.B, url, key string, body []byte) time.Duration {
	b.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	if !scanner.Scan() || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, scanner.Text())
	}
	first := time.Since(start)
	for scanner.Scan() {
	}
	return first
}

// BenchmarkFirstTokenAdded measures the median time to the first token through the daemon and
// directly from the engine, with alternating requests, and reports both and their difference.
func BenchmarkFirstTokenAdded(b *testing.B) {
	cost := fastCostModel()
	cost.FixedStepTime = 0
	f := startBenchFleet(b, cost)
	prompt := "is there a slot on Tuesday?"
	through, direct := []time.Duration{}, []time.Duration{}
	i := 0
	for b.Loop() {
		i++
		through = append(through, timeToFirstLine(b, f.Daemons[0].URL()+"/v1/chat/completions", appKey, chatBody(prompt, 2, true)))
		g := fmt.Sprintf(`{"attempt":"bench-%d","model":"assistant-7b","prompt":%q,"max_tokens":2}`, i, prompt)
		direct = append(direct, timeToFirstLine(b, "http://"+f.Engines[0].Server.Address+"/v1/generate", "", []byte(g)))
	}
	slices.Sort(through)
	slices.Sort(direct)
	b.ReportMetric(float64(through[len(through)/2].Microseconds()), "us-through-p50")
	b.ReportMetric(float64(direct[len(direct)/2].Microseconds()), "us-direct-p50")
	b.ReportMetric(float64((through[len(through)/2] - direct[len(direct)/2]).Microseconds()), "us-added-p50")
}

// BenchmarkRelay measures relayed tokens per second, with one token per event. The daemon,
// the engine and the caller share one processor.
func BenchmarkRelay(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	cost := fastCostModel()
	cost.FixedStepTime, cost.PerStream = 0, 0
	f := startBenchFleet(b, cost)
	const tokens = 2000
	start := time.Now()
	n := 0
	for b.Loop() {
		timeToFirstLine(b, f.Daemons[0].URL()+"/v1/chat/completions", appKey, chatBody("tell me all", tokens, true))
		n += tokens
	}
	b.ReportMetric(float64(n)/time.Since(start).Seconds(), "tokens/s")
}

// BenchmarkOpenStreamMemory reports the memory of the process per open stream. This includes
// the memory of the caller and of the engine, which run in the same process.
func BenchmarkOpenStreamMemory(b *testing.B) {
	const streams = 300
	for b.Loop() {
		f := startBenchFleet(b, fastCostModel())
		f.Engines[0].SetFaults(standin.Faults{Stall: true})
		before := memoryInUse()
		ctx, cancel := context.WithCancel(context.Background())
		for range streams {
			go func() {
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.Daemons[0].URL()+"/v1/chat/completions", bytes.NewReader(chatBody("x", 10, true)))
				if err != nil {
					return
				}
				req.Header.Set("Authorization", "Bearer "+appKey)
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
		pollUntil(func() bool {
			return f.Daemons[0].Board.InFlight() == streams
		})
		b.ReportMetric((float64(memoryInUse())-float64(before))/streams/1024, "KB/stream-all-sides")
		cancel()
		pollUntil(func() bool { return f.Daemons[0].Board.InFlight() == 0 })
	}
}

// pollUntil waits until a condition holds, for at most waitTimeout.
func pollUntil(condition func() bool) {
	for end := time.Now().Add(waitTimeout); !condition() && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // Nothing in a benchmark depends on this interval.
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
