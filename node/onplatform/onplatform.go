// Package onplatform builds a daemon that runs on the users' platform. It translates the platform's
// settings file (package platform) into the daemon's own configuration, connects the daemon to the
// platform's store, and reloads the file while the daemon runs. The command doorstackd uses it when
// it is started with --platform; the rest of the daemon does not depend on package platform.
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

// Load reads the settings file whose path is in the environment variable platform.BootVariable. It
// returns an error if the variable is not set or the file is not valid.
func Load() (*platform.Boot, error) {
	path := os.Getenv(platform.BootVariable)
	if path == "" {
		return nil, errors.New("--platform requires the environment variable " + platform.BootVariable)
	}
	return platform.LoadBoot(path)
}

// reloadInterval is how often Reload reads the settings file: the file may change without a signal,
// and nothing in it is urgent.
const reloadInterval = 2 * time.Second

// Reload applies changes of the settings file to the running daemon, at each signal and every
// reloadInterval, until ctx ends. If the file cannot be read or parsed, the daemon keeps its current
// settings.
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

// applyChanges applies the settings that can change while the daemon runs, and logs whether a setting
// changed that applies only after a restart.
func applyChanges(d *daemon.Daemon, old, next *platform.Boot, log *slog.Logger) {
	d.UpdatePlatformSettings(next.Seeds, repeatLimitOf(next), next.Bounds.ShutdownGrace)
	restart := next.CallerAddress != old.CallerAddress || next.ReadyAddress != old.ReadyAddress || next.PeerAddress != old.PeerAddress || next.Name != old.Name || next.StoreAddress != old.StoreAddress || next.Cores != old.Cores
	log.Info("reload", "outcome", "adopted", "seeds", next.Seeds, "needs_restart", restart)
}

// repeatLimitOf returns the operators' limit on repeated sends.
func repeatLimitOf(boot *platform.Boot) admission.RepeatLimit {
	return admission.RepeatLimit{Share: boot.Bounds.RepeatShare, Slack: boot.Bounds.RepeatSlack, Window: boot.Bounds.RepeatWindow}
}

// Addresses are listen addresses that the platform's settings file does not have.
type Addresses struct {
	// MetricsPort is the port for operators and metrics; if it is empty, the default port is used.
	MetricsPort string
	// PeerListen is config.File.PeerListen.
	PeerListen string
}

// New creates a daemon from the platform's settings file.
func New(boot *platform.Boot, addresses Addresses, log *slog.Logger) (*daemon.Daemon, error) {
	file := configFileOf(boot, addresses.MetricsPort)
	file.PeerListen = addresses.PeerListen
	return daemon.NewWithAdapter(&file, newAdapter(boot, log), log)
}

// The memory and workers of a daemon on the platform's small hosts, where memory is paid for: bodies
// are at most 4 MB, and few of them are in memory at a time.
const (
	explainMemoryMB = 2
	workers         = 2
	// maxBodyMemoryMB and minBodyMemoryMB bound the memory for bodies and unread answers. Together
	// with processMemoryMB, which a daemon takes beside them, it stays within hostMemoryShare of the
	// host's memory, since the garbage collector lets the process grow beyond what is in use.
	maxBodyMemoryMB = 64
	minBodyMemoryMB = 12
	processMemoryMB = 48
	hostMemoryShare = 0.5
)

// bodyMemoryMB returns the memory for bodies and unread answers on a host of so many megabytes; zero means
// that its size is not known.
func bodyMemoryMB(hostMB int64) int64 {
	if hostMB <= 0 {
		return maxBodyMemoryMB
	}
	return min(maxBodyMemoryMB, max(minBodyMemoryMB, int64(hostMemoryShare*float64(hostMB))-processMemoryMB))
}

// defaultMetricsPort is the port for operators and metrics if the command line names none.
const defaultMetricsPort = "9464"

// configFileOf returns the daemon's own configuration with the values of the platform's settings file.
func configFileOf(boot *platform.Boot, metricsPort string) config.File {
	if metricsPort == "" {
		metricsPort = defaultMetricsPort
	}
	file := config.Default()
	file.Name, file.DataCentre, file.Region = boot.Name, boot.DataCentre, boot.Region
	file.Listen, file.Peer = boot.CallerAddress, boot.PeerAddress
	file.Admin = net.JoinHostPort(boot.IP, metricsPort)
	file.BodyMemoryMB, file.ExplainMemoryMB, file.Workers = bodyMemoryMB(boot.MemoryMB), explainMemoryMB, workers
	// The platform provides no secret. This key keeps out daemons of another fleet that dial an
	// out-of-date seed by mistake; it does not protect against an attacker.
	file.PeerKeys = []string{"fleet of the store at " + boot.StoreAddress}
	return file
}

// newAdapter returns the adapter that connects the daemon to the platform.
func newAdapter(boot *platform.Boot, log *slog.Logger) *daemon.Adapter {
	invalidEntries := &invalidEntryLog{log: log}
	parser := platform.NewParser()
	parser.Yield = runtime.Gosched
	feed := platform.NewFeed(platform.NewStore(boot.StoreAddress), boot.Regions, invalidEntries.warn)
	feed.Log = log.With("daemon", boot.Name)
	return &daemon.Adapter{
		Settings: feed, Targets: feed, Parse: parser.Parse, Dialect: platform.Headers{},
		ReadyAddress: boot.ReadyAddress, Seeds: boot.Seeds, ShutdownGrace: boot.Bounds.ShutdownGrace,
		RepeatLimit: repeatLimitOf(boot), Cores: boot.Cores, MemoryMB: boot.MemoryMB, MaxDescriptors: boot.MaxDescriptors, StoreSettleTime: boot.Bounds.StoreSettleTime,
	}
}

// invalidEntryLogInterval is the minimum time between two log lines about invalid store entries: other
// programs also write to the store, and many such entries may come at once and repeatedly.
const invalidEntryLogInterval = time.Second

// invalidEntryLog logs store entries that do not describe a usable target, with a rate limit.
type invalidEntryLog struct {
	log *slog.Logger

	mu         sync.Mutex
	lastLogged time.Time
	suppressed int // entries since lastLogged that were not logged
}

// warn logs err, the reason why an entry was ignored, or counts it if the last line is too recent.
func (l *invalidEntryLog) warn(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastLogged) < invalidEntryLogInterval {
		l.suppressed++
		return
	}
	l.log.Warn("ignored a store entry that does not describe a usable target", "error", err.Error(), "left_out", l.suppressed)
	l.lastLogged, l.suppressed = time.Now(), 0
}
