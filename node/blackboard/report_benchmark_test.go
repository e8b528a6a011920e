package blackboard

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/target"
)

// testSettings declares one pool, llm, of engines.
const testSettings = `
engine_kinds: {k: {protocol: engine, memory_tokens: 450000, prefill_tokens_per_second: 20000}}
pools: {llm: {kind: k, model: m}}
tree: {routes: {chat: {pool: llm}}}
`

// targetHosts returns a host list of n live targets in the pool of testSettings.
func targetHosts(n int) []hostlist.Host {
	hosts := make([]hostlist.Host, n)
	for i := range hosts {
		hosts[i] = hostlist.Host{ID: fmt.Sprint("t", i), Role: hostlist.RoleTarget, Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Pool: "llm", DataCentre: "dc", State: hostlist.Live}
	}
	return hosts
}

// benchmarkReport measures the time to record a load report and the memory per target, in a table of n targets.
func benchmarkReport(b *testing.B, n int) {
	tree, err := settings.Parse([]byte(testSettings))
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := newTargetTable()
	table.Sync(targetHosts(n), tree, time.Now())
	report := target.LoadReport{Running: 12, UsedTokens: 100_000, MemoryTokens: 450_000, Models: []string{"m"}}
	for i := range n {
		table.RecordReport(fmt.Sprint("t", i), report, time.Now())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := 0
	for b.Loop() {
		i++
		table.RecordReport(fmt.Sprint("t", i%n), report, time.Now())
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/target")
}

func BenchmarkReport20(b *testing.B)   { benchmarkReport(b, 20) }
func BenchmarkReport288(b *testing.B)  { benchmarkReport(b, 288) }
func BenchmarkReport2300(b *testing.B) { benchmarkReport(b, 2300) }
