package onplatform

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/platform"
)

// TestAdviceIsCheckedAgainstWhatIsKnown: a coordinator that lags behind placed calls on
// a target that the asking daemon knew to leave, and the daemon followed.
func TestAdviceIsCheckedAgainstWhatIsKnown(t *testing.T) {
	for asker := range 2 { // One of the two coordinates the pool.
		f := newFleet(t, 2, 2)
		f.eventually("both daemons known", func() bool {
			for _, d := range f.daemons {
				if living, _ := d.Board.Members.Living(); len(living) != 2 {
					return false
				}
			}
			return true
		})
		d := f.daemons[asker]
		leaving := hostlist.Host{
			ID: "t1", Role: hostlist.RoleTarget, Address: f.targets["t1"].Address(), Pool: plain,
			DataCentre: "z1", Region: "r1", State: hostlist.Leaving, Slots: 6, Revision: 1000,
		}
		d.Board.MergeFacts(hostlist.Facts{AsOf: 1000, Hosts: []hostlist.Host{leaving}}, time.Now())
		for range 6 {
			a := f.ask(safe)
			a.Daemon = d.boot.Callers
			if got := f.do(a); got.Status != 200 || f.calls(a.ID)[0].MeantFor() != "t2" {
				t.Fatalf("%+v by %+v", got, f.calls(a.ID))
			}
		}
	}
}

// TestAWatchThatIsCutWithoutAWord: the change that it missed is found by the next one.
func TestAWatchThatIsCutWithoutAWord(t *testing.T) {
	f := newFleet(t, 1, 1)
	d := f.daemons[0]
	f.store.Mute(true)
	f.store.PutConfig(testConfig(5))
	f.store.DropHistory()
	f.store.Mute(false)
	f.eventually("version 5", func() bool { return f.revision(d) == 5 })
}

const bootText = `
node = "d1"
ip = "127.0.0.1"
zone = "z1"
region = "r1"
seeds = ["127.0.0.1:1"]
a_later_field = {x = 1}
[zones]
z1 = "r1"
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
control = "127.0.0.1:0"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_slack = 100.0
budget_window_s = 10
[platform]
address = "127.0.0.1:1"
`

// TestTheSettingsFileChangesWhileItRuns: SIGHUP used to end the process. A file that
// cannot be read changes nothing.
func TestTheSettingsFileChangesWhileItRuns(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(bootText)
	t.Setenv(platform.BootVariable, path)
	boot, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	buffer := &lockedBuffer{}
	log := slog.New(slog.NewJSONHandler(buffer, nil))
	boot.Callers, boot.Ready, boot.Peers = freeAddress(t), freeAddress(t), freeAddress(t)
	d, err := New(boot, "0", log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := d.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	defer func() {
		cancel()
		<-ended
	}()
	signals := make(chan os.Signal)
	go Reload(ctx, d, boot, signals, log)
	f := &fleet{t: t}
	steps := []struct{ text, want string }{
		{strings.Replace(bootText, "127.0.0.1:1\"]", "127.0.0.1:2\"]", 1), `"outcome":"adopted","seeds":["127.0.0.1:2"]`},
		{"node = [", `"outcome":"kept"`},
		{strings.Replace(bootText, "127.0.0.1:1\"]", "127.0.0.1:3\"]", 1), `"outcome":"adopted","seeds":["127.0.0.1:3"]`},
	}
	for _, step := range steps {
		write(step.text)
		signals <- os.Interrupt
		f.eventually(step.want, func() bool { return strings.Contains(buffer.String(), step.want) })
	}
}
