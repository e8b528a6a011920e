// Command doorstackd is the doorstack daemon, which runs on every entry host. It receives requests
// of callers and forwards them to targets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"doorstack.dev/node/config"
	"doorstack.dev/node/daemon"
	"doorstack.dev/node/onplatform"
	"doorstack.dev/node/processors"
	"doorstack.dev/node/telemetry"
	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Config     string           `xor:"file" required:"" type:"path" placeholder:"FILE" help:"The daemon's configuration file: addresses, data centre, platform, peer keys."`
	Platform   bool             `xor:"file" required:"" help:"Run on the users' platform. An environment variable names its settings file."`
	Metrics    string           `placeholder:"PORT" help:"With --platform: the port for operators and metrics, on the host's own address."`
	PeerListen string           `placeholder:"IP:PORT" help:"With --platform: the address to listen on for other daemons, if it is not the one that they dial."`
	Check      bool             `help:"Check the file and exit."`
	LogLevel   slog.Level       `default:"info" help:"Lowest level to log: debug, info, warn or error."`
	Version    kong.VersionFlag `help:"Print the version and exit."`
}

// version is the version of this program.
const version = "0.1.0"

func main() {
	signals := registerSignals()
	var c cli
	kong.Parse(&c,
		kong.Name("doorstackd"),
		kong.Description("Serves model requests between callers and targets."),
		kong.Vars{"version": version},
		kong.UsageOnError(),
	)
	if err := run(&c, signals); err != nil {
		fmt.Fprintln(os.Stderr, "doorstackd:", err)
		os.Exit(1)
	}
}

// signalChannels receive the signals that the process handles.
type signalChannels struct {
	// reload receives a signal when the settings file has changed, end when the process must end.
	reload, end chan os.Signal
}

// registerSignals registers the handled signals. It must be called early: a signal that arrives
// while the daemon is being created, which takes 20 ms on an idle host, would otherwise kill the
// process without a log line.
func registerSignals() *signalChannels {
	s := &signalChannels{reload: make(chan os.Signal, 1), end: make(chan os.Signal, 2)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// run loads the configuration and serves, or only checks the configuration.
func run(c *cli, s *signalChannels) error {
	output := telemetry.NewOutput(os.Stdout)
	defer output.Close()
	log := slog.New(slog.NewJSONHandler(output, &slog.HandlerOptions{Level: c.LogLevel}))
	if c.Platform {
		return runOnPlatform(c, output, log, s)
	}
	processors.UseAll()
	signal.Reset(syscall.SIGHUP) // Settings come from the configuration service.
	file, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("ok:", c.Config)
		return nil
	}
	d, err := daemon.New(file, log)
	if err != nil {
		return err
	}
	d.Metrics.RegisterDroppedLines(output.Dropped)
	return serve(d, log, s)
}

// gcPercent is the heap growth that starts a garbage collection, in percent. It is low because on
// the platform memory is scarce and a daemon is busy a fiftieth of the time. In a simulated day,
// peak memory was 11 to 14 MB instead of 15 to 17 MB, for a tenth more processor time.
const gcPercent = 30

// runOnPlatform serves on the users' platform, whose settings file configures the daemon.
func runOnPlatform(c *cli, output *telemetry.Output, log *slog.Logger, s *signalChannels) error {
	boot, err := onplatform.Load()
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("ok:", boot.Name)
		return nil
	}
	debug.SetGCPercent(gcPercent)
	processors.UseShare(boot.Cores)
	d, err := onplatform.New(boot, onplatform.Addresses{MetricsPort: c.Metrics, PeerListen: c.PeerListen}, log)
	if err != nil {
		return err
	}
	d.Metrics.RegisterDroppedLines(output.Dropped)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go onplatform.Reload(ctx, d, boot, s.reload, log)
	return serve(d, log, s)
}

// serve runs the daemon until a signal ends it.
func serve(d *daemon.Daemon, log *slog.Logger, s *signalChannels) error {
	telemetry.LogProcess(d.Log)
	go drainOnSignal(s.end, d, log)
	return d.Run(context.Background())
}

// drainOnSignal drains the daemon on the first signal and ends the process on the second.
func drainOnSignal(end <-chan os.Signal, d *daemon.Daemon, log *slog.Logger) {
	<-end
	d.Drain()
	<-end
	log.Warn("second signal; exiting without waiting for the calls in flight", "cut", d.Board.InFlight())
	os.Exit(1)
}
