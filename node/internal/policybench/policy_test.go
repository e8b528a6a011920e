package policybench

import (
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/settings"
	"doorstack.dev/examples"
)

var (
	tableLength = flag.Duration("policy.length", 0, "virtual time in which requests arrive for the table; zero skips the table")
	csvPath     = flag.String("policy.csv", "", "file to which the table is also written, as CSV")
	loadList    = flag.String("policy.loads", "0.5,0.7,0.85,0.95", "offered loads as shares of the engines' prefill capacity, separated by commas")
)

func parseSettings(t *testing.T, data []byte) *settings.Tree {
	t.Helper()
	tree, err := settings.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// runInBubble runs a setup in a synctest bubble.
func runInBubble(t *testing.T, s Setup) *Result {
	t.Helper()
	var result *Result
	synctest.Test(t, func(*testing.T) { result = Run(s) })
	return result
}

// TestRunIsDeterminedBySeed guards the comparison of policies: a result that depended on anything but
// the setup and its seed could not be compared with another.
func TestRunIsDeterminedBySeed(t *testing.T) {
	for _, policy := range Policies() {
		s := Setup{Mix: Clara(), Policy: policy, Load: 0.7, Duration: 5 * time.Second, Seed: 7, Tree: parseSettings(t, examples.Clara), KillEngine: true}
		first, second := runInBubble(t, s), runInBubble(t, s)
		if fmt.Sprint(first.FirstToken) != fmt.Sprint(second.FirstToken) {
			t.Errorf("%s: Run with the same seed gave different times to first token", policy)
		}
		if len(first.FirstToken[Short]) == 0 {
			t.Errorf("%s: Run gave no times to first token of short prompts, want some", policy)
		}
	}
}

// TestPolicyTable prints the table of docs/MEASUREMENTS.md.
func TestPolicyTable(t *testing.T) {
	if *tableLength == 0 {
		t.Log("table skipped; set -policy.length to print it")
		return
	}
	rows := [][]string{{"mix", "load", "lag", "kill", "policy", "short p50 ms", "short p95 ms", "short p99 ms", "slowdown p95", "long p50 s", "long p95 s", "longest s", "lost"}}
	for _, user := range []struct {
		mix  Mix
		data []byte
	}{{Clara(), examples.Clara}, {Kilnmark(), examples.Kilnmark}} {
		for _, load := range parseLoads(t) {
			for _, lag := range []time.Duration{0, 2 * time.Second} {
				for _, policy := range Policies() {
					s := Setup{Mix: user.mix, Policy: policy, Load: load, Duration: *tableLength, Seed: 1, ReportLag: lag, Tree: parseSettings(t, user.data)}
					rows = append(rows, tableRow(t, s))
					t.Log(rows[len(rows)-1])
				}
			}
		}
	}
	if *csvPath == "" {
		return
	}
	file, err := os.Create(*csvPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	if err := csv.NewWriter(file).WriteAll(rows); err != nil {
		t.Fatal(err)
	}
}

// parseLoads returns the loads of the flag -policy.loads.
func parseLoads(t *testing.T) []float64 {
	var list []float64
	for _, text := range strings.Split(*loadList, ",") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, load)
	}
	return list
}

// tableRow runs a setup with and without long prompts and returns a row of the table. The slowdown is
// the p95 of the short prompts' times to first token, divided by that without long prompts.
func tableRow(t *testing.T, s Setup) []string {
	with := runInBubble(t, s)
	alone := s
	alone.Mix = s.Mix.WithoutLong()
	without := runInBubble(t, alone)
	ms := func(d time.Duration) string { return fmt.Sprintf("%.0f", float64(d.Microseconds())/1000) }
	seconds := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }
	slowdown := float64(with.Quantile(Short, 0.95)) / float64(without.Quantile(Short, 0.95))
	return []string{
		s.Mix.Name, fmt.Sprint(s.Load), s.ReportLag.String(), fmt.Sprint(s.KillEngine), s.Policy,
		ms(with.Quantile(Short, 0.5)), ms(with.Quantile(Short, 0.95)), ms(with.Quantile(Short, 0.99)), fmt.Sprintf("%.2f", slowdown),
		seconds(with.Quantile(Long, 0.5)), seconds(with.Quantile(Long, 0.95)), seconds(with.MaxLongFirstToken), fmt.Sprint(with.Unanswered),
	}
}
