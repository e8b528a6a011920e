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

func startBenchFleet(b *testing.B, cost standin.CostModel) *Fleet {
	b.Helper()
	o := claraOptions(1, 1)
	o.Cost = cost
	roomy := strings.NewReplacer("requests_per_second: 200", "requests_per_second: 100000", "max_concurrent: 64", "max_concurrent: 1000")
	o.Settings = []byte(roomy.Replace(string(o.Settings)))
	f, err := Start(o)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	return f
}

// timeToFirstLine asks and returns the time to the first line of the answer's body.
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
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, lines.Text())
	}
	first := time.Since(start)
	for lines.Scan() {
	}
	return first
}

// BenchmarkFirstTokenAdded compares the daemon with the stand-in asked directly,
// turn by turn in one run, and reports both medians.
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

// BenchmarkRelay measures relayed tokens a second, each its own event, with one
// processor for everything: daemon, stand-in and the reading caller.
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

// BenchmarkOpenStreamMemory reports the memory of the process for each open
// stream, with the caller's and the stand-in's side of it in the same process.
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

func pollUntil(condition func() bool) {
	for end := time.Now().Add(waitTimeout); !condition() && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // A benchmark, not a test.
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
