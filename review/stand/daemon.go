package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// daemon is a process of the system, started with the command of the deploy file.
type daemon struct {
	name, zone, ip        string
	front, ready, control string
	cmd                   *exec.Cmd
	boot                  string
	done                  chan struct{} // closed once the process has ended
}

var zones = []string{"lis-a", "lis-b", "lis-c"}

// loopbackIP returns an address of 127/8 that other tests on the machine hardly use: each daemon also
// listens on a fixed port for metrics.
func loopbackIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+rand.Intn(250), 1+n)
}

func freePort(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		cannotRun("find a free port: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startDaemons starts daemons, one zone after the other, and waits until all say that they are ready.
func startDaemons(s *store, dir string, count int) []*daemon {
	var all []*daemon
	var seeds []string
	for i := range count {
		ip := loopbackIP(i)
		d := &daemon{name: fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), zone: zones[i%3], ip: ip, front: freePort(ip), ready: freePort(ip), control: freePort(ip)}
		all = append(all, d)
		if len(seeds) < 3 {
			seeds = append(seeds, `"`+d.control+`"`)
		}
	}
	for _, d := range all {
		d.boot = filepath.Join(dir, d.name+".toml")
		if err := os.WriteFile(d.boot, []byte(d.settings(s, strings.Join(seeds, ","))), 0o600); err != nil {
			cannotRun("write settings: %v", err)
		}
		d.start(dir)
	}
	for _, d := range all {
		if !d.awaitReady(15 * time.Second) {
			cannotRun("%s is not ready after 15 s", d.name)
		}
	}
	time.Sleep(2 * time.Second) // The daemons find each other.
	return all
}

// memoryMB is the memory of a machine, as in the settings of a small deployment (clara-lis).
const memoryMB = 284

func (d *daemon) settings(s *store, seeds string) string {
	return fmt.Sprintf(`node = %q
role = "edge"
machine_class = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "lis"
internal_ports = [7340,7355]
seeds = [%s]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
lis-a = "lis"
lis-b = "lis"
lis-c = "lis"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, d.name, d.ip, d.zone, seeds, d.front, d.ready, d.control, memoryMB, s.address)
}

func (d *daemon) start(dir string) {
	output, err := os.OpenFile(filepath.Join(dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("open a log: %v", err)
	}
	d.cmd = exec.Command("target/doorstackd", "--platform") // The run line of deploy/system.toml.
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "DOORSTACK_BOOT=" + d.boot}
	d.cmd.Stdout, d.cmd.Stderr = output, output
	if err := d.cmd.Start(); err != nil {
		cannotRun("start a daemon: %v", err)
	}
	d.done = make(chan struct{})
	processes.add(d.cmd.Process)
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		log.add("process of %s ended: %v", d.name, err)
		close(done)
	}(d.cmd, d.done)
}

func (d *daemon) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// residentMB returns the memory that the process has allocated, without the pages of its program, in MB; zero if it has ended.
func (d *daemon) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kb int
			_, _ = fmt.Sscan(text, &kb)
			return kb / 1024
		}
	}
	return 0
}

// processList holds the processes that were started, so that all are ended.
type processList struct {
	mu    sync.Mutex
	list  []*os.Process
	ended bool // no process may outlive the case
}

var processes processList

func (p *processList) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, process)
	if p.ended {
		_ = process.Kill()
	}
}

func (p *processList) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, process := range p.list {
		_ = process.Kill() // One that has ended and was waited for is left alone.
	}
}
