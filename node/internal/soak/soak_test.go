package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// By hand, for so many fresh seeds, a length and the directory where logs of runs with
// violations stay:
//
//	go test ./node/internal/soak -run Soak -soak.seeds 50 -soak.for 25s -soak.keep DIR -timeout 2h
var (
	seeds         = flag.Int("soak.seeds", 0, "runs with fresh seeds, beside those of CI")
	firstSeed     = flag.Uint64("soak.first", 0, "first of those seeds; zero takes the time")
	faultDuration = flag.Duration("soak.for", 20*time.Second, "how long faults are injected in a run with a fresh seed")
	daemons       = flag.Int("soak.daemons", 5, "daemons in a run with a fresh seed")
	keepDir       = flag.String("soak.keep", "", "directory for the logs of runs with violations")
)

// regressions are seeds that failed once, each with its cause, played at the length and size at
// which they did.
var regressions = []struct {
	seed   uint64
	length time.Duration
	size   Size
	cause  string
}{
	{1, ciDuration, ciSize, "beside load, once: prompts over one engine's memory were refused for 12 s by idle engines. A burst of failures had opened a breaker for 30 s, and of the three engines left two could not be given deep parts"},
	{1796283407082669558, 20 * time.Second, Size{Daemons: 5, Plain: 3, Engines: 6}, "a target that had asked for 2 s of rest started anew after 1.5 s, and got 24 calls of one daemon in the rest of that time: the word was dropped with the process that had said it"},
	{1796298812632783829, 20 * time.Second, Size{Daemons: 5, Plain: 3, Engines: 6}, "a target that names 1.6 calls a second crashed and started anew, and got 31 calls in 4 s: the coordinator that heard of the start in a report forgot the limit, and was reminded by no answer since the limit had not changed"},
}

// ciSeeds and ciDuration are what CI plays beside the regressions.
var ciSeeds = []uint64{2, 3}

const ciDuration = 12 * time.Second

var ciSize = Size{Daemons: 3, Plain: 3, Engines: 4}

func TestSoak(t *testing.T) {
	program := buildDaemon(t)
	play := func(seed uint64, length time.Duration, size Size) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			dir := t.TempDir()
			result, err := RunOnce(context.Background(), Options{Seed: seed, Duration: length, Size: size, Program: program, Dir: dir})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d events, %d calls, %d served", result.Events, result.Calls, result.Served)
			if result.Served < result.Calls/4 {
				t.Errorf("only %d of %d calls were served", result.Served, result.Calls)
			}
			for _, v := range result.Violations {
				t.Error(v)
			}
			if t.Failed() && *keepDir != "" {
				to := filepath.Join(*keepDir, fmt.Sprint("seed-", seed))
				if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
					t.Error(err)
				}
				t.Log("logs: " + to)
			}
		})
	}
	for _, r := range regressions {
		t.Log(r.seed, r.cause)
		play(r.seed, r.length, r.size)
	}
	for _, seed := range ciSeeds {
		play(seed, ciDuration, ciSize)
	}
	from := *firstSeed
	if from == 0 {
		from = uint64(time.Now().UnixNano())
	}
	for i := range *seeds {
		play(from+uint64(i), *faultDuration, Size{Daemons: *daemons, Plain: 3, Engines: 6})
	}
}

// buildDaemon makes the program that is soaked.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "doorstackd")
	if out, err := exec.Command("go", "build", "-o", program, "doorstack.dev/node/cmd/doorstackd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}
