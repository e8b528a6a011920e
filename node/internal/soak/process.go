package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"doorstack.dev/node/internal/testaddr"
	"doorstack.dev/platform/standin"
)

// shutdownTimeout is how long a daemon that is asked to end may take.
const shutdownTimeout = 8 * time.Second

// process is a daemon that is started again whenever it ends.
type process struct {
	index        int
	program      string
	boot         standin.Boot
	settingsFile string // the settings file
	metricsPort  string // the port for operators
	frontend     *Link  // what callers connect to
	log          *os.File

	// work is held while the process is ended, paused or started.
	controlMu sync.Mutex

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	startTimes []time.Time
}

// newProcess prepares a daemon; its log goes to dir.
func newProcess(number int, dir, program string, seeds []string, peers, store string) (*process, error) {
	addresses := make([]string, 4)
	for i := range addresses {
		var err error
		if addresses[i], err = testaddr.Find(); err != nil {
			return nil, err
		}
	}
	ip, metrics, err := net.SplitHostPort(addresses[2])
	if err != nil {
		return nil, err
	}
	name := fmt.Sprint("d", number+1)
	p := &process{
		index: number, program: program, metricsPort: metrics, settingsFile: filepath.Join(dir, name+".toml"),
		boot: standin.Boot{
			Name: name, IP: ip, DataCentre: fmt.Sprint("z", number%2+1), CallerAddress: addresses[0], ReadyAddress: addresses[1],
			PeerAddress: peers, Seeds: seeds, StoreAddress: store,
		},
	}
	if p.frontend, err = NewLink(addresses[3], p.boot.CallerAddress); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.settingsFile, []byte(p.boot.Text()), 0o600); err != nil {
		return nil, err
	}
	return p, p.start()
}

// recordStart begins the process.
func (p *process) start() error {
	cmd := exec.Command(p.program, "--platform", "--metrics", p.metricsPort)
	cmd.Env = append(os.Environ(), standin.BootEnvironment(p.settingsFile))
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.startTimes = append(p.startTimes, time.Now())
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // How it ended shows in its log; what matters is that it did.
		close(exited)
	}()
	return nil
}

func (p *process) running() (*os.Process, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process, p.exited
}

// signal sends a signal to the process, which may have ended by itself.
func (p *process) signal(s syscall.Signal) {
	proc, _ := p.running()
	_ = proc.Signal(s)
}

// end asks the process to end, with a kill when the grace is over, and waits for that.
func (p *process) stop(s syscall.Signal) {
	proc, exited := p.running()
	_ = proc.Signal(s)
	select {
	case <-exited:
	case <-time.After(shutdownTimeout):
		_ = proc.Kill()
		<-exited
	}
}

// ready asks whether the daemon takes callers.
func (p *process) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.boot.ReadyAddress+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := readinessClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readinessClient asks on a new connection each time, as a balancer does.
var readinessClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// awaitReady waits until the daemon is ready, or ctx ends. A process that ends meanwhile is
// started again, as a platform does: a signal may come before the program takes signals.
func (p *process) awaitReady(ctx context.Context) bool {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !p.ready(ctx) {
		_, exited := p.running()
		select {
		case <-ctx.Done():
			return false
		case <-exited:
			sleep(ctx, restartDelay)
			if err := p.start(); err != nil {
				panic(err) // The program is there: it ran before.
			}
		case <-ticker.C:
		}
	}
	return true
}

// close ends the process for good.
func (p *process) close() {
	p.signal(syscall.SIGCONT)
	p.stop(syscall.SIGKILL)
	p.frontend.Close()
	_ = p.log.Close()
}
