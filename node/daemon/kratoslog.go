package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"syscall"

	klog "github.com/go-kratos/kratos/v2/log"
)

// unusedSignal is a signal that the process never receives, as a daemon starts no child process.
// Without any signal given, Kratos would handle all of them.
const unusedSignal = syscall.SIGCHLD

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
