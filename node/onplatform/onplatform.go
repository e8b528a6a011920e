// Package onplatform puts a daemon together that runs on the users' platform. Beside
// the command it is the only package that knows the adapter.
package onplatform

import (
	"context"
	"log/slog"
	"net"
	"os"
	"reflect"
	"runtime"
	"sync"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/node/config"
	"doorstack.dev/node/daemon"
	"doorstack.dev/platform"
	"github.com/go-faster/errors"
)

// Load reads the settings file that the environment names.
func Load() (*platform.Boot, error) {
	path := os.Getenv(platform.BootVariable)
	if path == "" {
		return nil, errors.New("--platform needs the environment variable " + platform.BootVariable)
	}
	return platform.LoadBoot(path)
}

// reloadInterval is how often the settings file is looked at: it may change without any
// signal, and nothing in it is urgent.
const reloadInterval = 2 * time.Second

// Reload takes over what changes in the settings file while the daemon runs, at each
// signal and every few seconds, until ctx ends. A file that cannot be read changes
// nothing.
func Reload(ctx context.Context, d *daemon.Daemon, boot *platform.Boot, signals <-chan os.Signal, log *slog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	failed := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		next, err := Load()
		switch {
		case err != nil:
			if signalled || failed != err.Error() {
				log.Error("reload", "outcome", "kept", "error", err.Error())
			}
			failed = err.Error()
		case !reflect.DeepEqual(next, boot):
			applyChanges(d, boot, next, log)
			boot, failed = next, ""
		case signalled:
			log.Info("reload", "outcome", "unchanged")
		}
	}
}

// applyChanges puts changed settings in force.
func applyChanges(d *daemon.Daemon, old, next *platform.Boot, log *slog.Logger) {
	d.UpdatePlatformSettings(next.Seeds, repeatLimitOf(next), next.Bounds.ShutdownGrace)
	restart := next.CallerAddress != old.CallerAddress || next.ReadyAddress != old.ReadyAddress || next.PeerAddress != old.PeerAddress || next.Name != old.Name || next.StoreAddress != old.StoreAddress
	log.Info("reload", "outcome", "adopted", "seeds", next.Seeds, "needs_restart", restart)
}

func repeatLimitOf(boot *platform.Boot) admission.RepeatLimit {
	return admission.RepeatLimit{Share: boot.Bounds.RepeatShare, Slack: boot.Bounds.RepeatSlack, Window: boot.Bounds.RepeatWindow}
}

// New provisions a daemon from what the platform gives. An empty port for operators
// and metrics means the default one.
func New(boot *platform.Boot, metricsPort string, log *slog.Logger) (*daemon.Daemon, error) {
	file := configFileOf(boot, metricsPort)
	return daemon.NewWithAdapter(&file, newAdapter(boot, log), log)
}

// The memory that a daemon may use on the platform's small hosts, where memory is
// paid for: bodies are at most 4 MB and a few at a time.
const (
	bodyMemoryMB    = 64
	explainMemoryMB = 2
	workers         = 2
)

// defaultMetricsPort serves operators where the command line names no port.
const defaultMetricsPort = "9464"

// configFileOf makes the daemon's own file from what the platform gives.
func configFileOf(boot *platform.Boot, metricsPort string) config.File {
	if metricsPort == "" {
		metricsPort = defaultMetricsPort
	}
	file := config.Default()
	file.Name, file.DataCentre, file.Region = boot.Name, boot.DataCentre, boot.Region
	file.Listen, file.Peer = boot.CallerAddress, boot.PeerAddress
	file.Admin = net.JoinHostPort(boot.IP, metricsPort)
	file.BodyMemoryMB, file.ExplainMemoryMB, file.Workers = bodyMemoryMB, explainMemoryMB, workers
	// The platform gives no secret. The key keeps daemons of another fleet out that
	// dial a stale seed by mistake; it is no protection against an attacker.
	file.PeerKeys = []string{"fleet of the store at " + boot.StoreAddress}
	return file
}

func newAdapter(boot *platform.Boot, log *slog.Logger) *daemon.Adapter {
	foreign := &invalidEntryLog{log: log}
	parser := platform.NewParser()
	parser.Yield = runtime.Gosched
	feed := platform.NewFeed(platform.NewStore(boot.StoreAddress), boot.Regions, foreign.warn)
	return &daemon.Adapter{
		Settings: feed, Targets: feed, Parse: parser.Parse, Dialect: platform.Headers{},
		ReadyAddress: boot.ReadyAddress, Seeds: boot.Seeds, ShutdownGrace: boot.Bounds.ShutdownGrace,
		RepeatLimit: repeatLimitOf(boot), Cores: boot.Cores, StoreSettleTime: boot.Bounds.StoreSettleTime,
	}
}

// invalidEntryLogInterval is the least time between two lines about entries of other writers, which may
// come many at a time and again and again.
const invalidEntryLogInterval = time.Second

// invalidEntryLog tells of entries in the store that name no target to use.
type invalidEntryLog struct {
	log *slog.Logger

	mu         sync.Mutex
	lastLogged time.Time
	suppressed int
}

func (f *invalidEntryLog) warn(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastLogged) < invalidEntryLogInterval {
		f.suppressed++
		return
	}
	f.log.Warn("an entry of the store names no target", "error", err.Error(), "left_out", f.suppressed)
	f.lastLogged, f.suppressed = time.Now(), 0
}
