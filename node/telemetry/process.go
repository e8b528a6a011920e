package telemetry

import (
	"log/slog"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"
)

// ProcessUsage is what the kernel counts for this process.
type ProcessUsage struct {
	// AnonymousBytes is the allocated memory that is in RAM: the heap, the stacks and the C library's memory, without the
	// pages of the program.
	AnonymousBytes int64
	Threads        int64
}

// processStatusFile is where the kernel describes the process.
const processStatusFile = "/proc/self/status"

// ReadProcessUsage asks the kernel.
func ReadProcessUsage() (ProcessUsage, error) {
	text, err := os.ReadFile(processStatusFile)
	if err != nil {
		return ProcessUsage{}, err
	}
	return parseProcessUsage(string(text))
}

func parseProcessUsage(status string) (ProcessUsage, error) {
	var u ProcessUsage
	for name, value := range map[string]*int64{"RssAnon:": &u.AnonymousBytes, "Threads:": &u.Threads} {
		_, after, found := strings.Cut(status, "\n"+name)
		fields := strings.Fields(after)
		if !found || len(fields) == 0 {
			return ProcessUsage{}, errors.New("the kernel does not report " + name)
		}
		n, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			return ProcessUsage{}, errors.Wrap(err, "parse "+name)
		}
		*value = n
	}
	u.AnonymousBytes <<= 10 // The kernel reports KB.
	return u, nil
}

// RegisterProcessUsage registers gauges of the process's memory and threads. They are NaN if the kernel does not report them.
func (m *Metrics) RegisterProcessUsage() {
	gauge := func(name, help string, value func(ProcessUsage) int64) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, func() float64 {
			u, err := ReadProcessUsage()
			if err != nil {
				return math.NaN()
			}
			return float64(value(u))
		}))
	}
	gauge("process_anonymous_bytes", "Allocated memory of the process that is in RAM, without the pages of its program.",
		func(u ProcessUsage) int64 { return u.AnonymousBytes })
	gauge("process_threads", "Threads of the process.", func(u ProcessUsage) int64 { return u.Threads })
}

// processLimits are the kernel's limits that can end a process, or keep it from starting threads or opening connections.
var processLimits = map[string]int{
	"max_descriptors": unix.RLIMIT_NOFILE, "max_user_tasks": unix.RLIMIT_NPROC, "max_data_bytes": unix.RLIMIT_DATA,
	"max_address_space_bytes": unix.RLIMIT_AS, "thread_stack_bytes": unix.RLIMIT_STACK, "max_file_bytes": unix.RLIMIT_FSIZE,
}

// hugePagesFile says whether the kernel gives processes huge pages that they have not asked for.
const hugePagesFile = "/sys/kernel/mm/transparent_hugepage/enabled"

// LogProcess logs what the machine is and allows this process, as far as the kernel reports it.
func LogProcess(log *slog.Logger) {
	attrs := []any{
		"pid", os.Getpid(), "go", runtime.Version(), "arch", runtime.GOARCH, "page_bytes", os.Getpagesize(),
		"machine_processors", runtime.NumCPU(), "processors", runtime.GOMAXPROCS(0),
	}
	for name, resource := range processLimits {
		var limit unix.Rlimit
		if unix.Getrlimit(resource, &limit) == nil && limit.Cur != unix.RLIM_INFINITY {
			attrs = append(attrs, name, limit.Cur)
		}
	}
	if mode, err := os.ReadFile(hugePagesFile); err == nil {
		attrs = append(attrs, "huge_pages", strings.TrimSpace(string(mode)))
	}
	log.Info("process", attrs...)
}
