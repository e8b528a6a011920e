package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	klog "github.com/go-kratos/kratos/v2/log"
)

// unusedSignal is a signal that no process can receive: package signal ignores types that it does not know. Without any signal,
// Kratos would handle all.
type unusedSignal struct{}

// String implements os.Signal.
func (unusedSignal) String() string { return "unused" }

// Signal implements os.Signal.
func (unusedSignal) Signal() {}

// kratosLoggerOnce guards the logger of Kratos, which is global in the process.
var kratosLoggerOnce sync.Once

// setKratosLogger redirects the log lines of Kratos to log. Only the first call has an effect.
func setKratosLogger(log *slog.Logger) {
	kratosLoggerOnce.Do(func() { klog.SetLogger(kratosLogger{log}) })
}

// kratosLogger forwards the log lines of Kratos to slog.
type kratosLogger struct {
	log *slog.Logger
}

// Log implements the Logger interface of Kratos.
func (l kratosLogger) Log(level klog.Level, keyvals ...any) error {
	levels := map[klog.Level]slog.Level{
		klog.LevelDebug: slog.LevelDebug,
		klog.LevelInfo:  slog.LevelDebug, // The daemon logs start and stop itself.
		klog.LevelWarn:  slog.LevelWarn,
		klog.LevelError: slog.LevelError,
		klog.LevelFatal: slog.LevelError,
	}
	attrs := make([]any, 0, len(keyvals))
	for i := 0; i+1 < len(keyvals); i += 2 {
		attrs = append(attrs, slog.Any(fmt.Sprint(keyvals[i]), keyvals[i+1]))
	}
	l.log.Log(context.Background(), levels[level], "kratos", attrs...)
	return nil
}
