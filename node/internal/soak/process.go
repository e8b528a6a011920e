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

// shutdownTimeout is how long a daemon may take to exit before it is killed.
const shutdownTimeout = 8 * time.Second

// process is a daemon under test: its files, its addresses and its current operating-system
// process.
type process struct {
	index        int
	program      string
	boot         standin.Boot
	settingsFile string
	metricsPort  string // the port for operators, of flag --metrics
	frontend     *Link  // the link through which callers reach the daemon
	peerListen   string // where the daemon listens for the others, of flag --peer-listen
	peerLink     *Link  // the link through which the others reach it, at the address that it announces
	log          *os.File

	// controlMu is held while an event restarts or suspends the process.
	controlMu sync.Mutex

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	startTimes []time.Time
}

// newProcess writes a daemon's settings file and starts the daemon, which logs to a file in
// dir. The daemon is reached by peers through a link at peerAddress and joins the others through the
// peer addresses in seeds; store is the store's address.
func newProcess(index int, dir, program string, seeds []string, peerAddress, store string) (*process, error) {
	addresses := make([]string, 5)
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
	name := fmt.Sprint("d", index+1)
	p := &process{
		index: index, program: program, metricsPort: metrics, peerListen: addresses[4], settingsFile: filepath.Join(dir, name+".toml"),
		boot: standin.Boot{
			Name: name, IP: ip, DataCentre: fmt.Sprint("z", index%2+1), CallerAddress: addresses[0], ReadyAddress: addresses[1],
			PeerAddress: peerAddress, Seeds: seeds, StoreAddress: store,
		},
	}
	if p.frontend, err = NewLink(addresses[3], p.boot.CallerAddress); err != nil {
		return nil, err
	}
	if p.peerLink, err = NewLink(peerAddress, p.peerListen); err != nil {
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

// start starts the process.
func (p *process) start() error {
	cmd := exec.Command(p.program, "--platform", "--metrics", p.metricsPort, "--peer-listen", p.peerListen)
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
		_ = cmd.Wait() // Any exit status is accepted; errors are in the daemon's log.
		close(exited)
	}()
	return nil
}

// running returns the current process and a channel that is closed when the process exits.
func (p *process) running() (*os.Process, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process, p.exited
}

// signal sends a signal to the process. An error is ignored: the process may have exited.
func (p *process) signal(s syscall.Signal) {
	proc, _ := p.running()
	_ = proc.Signal(s)
}

// stop sends a signal that ends the process and waits for the exit. It kills the process
// after shutdownTimeout.
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

// ready reports whether the daemon's readiness check succeeds.
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

// readinessClient opens a new connection for each check, as a load balancer does.
var readinessClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// awaitReady waits until the daemon is ready and reports whether it became ready before ctx
// ended. It restarts a process that exits meanwhile, as a platform does: a signal may arrive
// before the program handles signals.
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
				panic(err) // The program exists: it was started before.
			}
		case <-ticker.C:
		}
	}
	return true
}

// close kills the process, also a suspended one, and closes its links and log.
func (p *process) close() {
	p.signal(syscall.SIGCONT)
	p.stop(syscall.SIGKILL)
	p.frontend.Close()
	p.peerLink.Close()
	_ = p.log.Close()
}
