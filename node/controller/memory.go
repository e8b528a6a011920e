package controller

import (
	"context"
	"log/slog"
	"runtime"
	"time"

	"doorstack.dev/node/telemetry"
)

// MemoryMonitor logs when the process's memory comes near that of its host, whose platform kills the process without a word.
type MemoryMonitor struct {
	// HostBytes is the memory of the host. Usage reads that of the process, CallBytes what of it is held for calls.
	HostBytes int64
	Usage     func() (telemetry.ProcessUsage, error)
	CallBytes func() int64
	Log       *slog.Logger
}

const (
	// memoryCheckInterval is the time between two checks.
	memoryCheckInterval = time.Second
	// firstLoggedTenth is the first tenth of the host's memory that is logged when it has been taken. A daemon takes less in
	// its regular work.
	firstLoggedTenth = 5
)

// Run checks the memory until ctx ends, or until it cannot be read.
func (c *MemoryMonitor) Run(ctx context.Context) {
	if c.HostBytes <= 0 {
		return
	}
	logged := int64(0)
	for ctx.Err() == nil {
		usage, err := c.Usage()
		if err != nil {
			c.Log.Warn("cannot watch the memory of the process", "error", err.Error())
			return
		}
		tenths := tenthsTaken(usage.AnonymousBytes, c.HostBytes)
		if tenths > logged {
			c.Log.Warn("the process takes much of its host's memory", "anonymous_bytes", usage.AnonymousBytes, "host_bytes", c.HostBytes,
				"call_bytes", c.CallBytes(), "threads", usage.Threads, "goroutines", runtime.NumGoroutine())
		}
		logged = tenths
		Sleep(ctx, memoryCheckInterval)
	}
}

// tenthsTaken returns how many tenths of the host's memory are taken, or 0 below firstLoggedTenth.
func tenthsTaken(taken, host int64) int64 {
	if tenths := taken * 10 / host; tenths >= firstLoggedTenth {
		return tenths
	}
	return 0
}
