package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"syscall"

	klog "github.com/go-kratos/kratos/v2/log"
)

// unusedSignal is a signal that never comes, as a daemon starts no process.
// listen to every signal if it were given none.
const unusedSignal = syscall.SIGCHLD

// kratosLoggerOnce guards the library's logger, which is one for the process.
var kratosLoggerOnce sync.Once

func setKratosLogger(log *slog.Logger) {
	kratosLoggerOnce.Do(func() { klog.SetLogger(kratosLogger{log}) })
}

// kratosLogger passes the library's log lines on to slog.
type kratosLogger struct {
	log *slog.Logger
}

// Log implements the library's interface.
func (l kratosLogger) Log(level klog.Level, keyvals ...any) error {
	levels := map[klog.Level]slog.Level{
		klog.LevelDebug: slog.LevelDebug,
		klog.LevelInfo:  slog.LevelDebug, // Its start and stop lines say nothing new.
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
