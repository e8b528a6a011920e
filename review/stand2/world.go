package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// world is what a case starts: a store, daemons and servers.
type world struct {
	dir     string // a temporary folder for settings files and logs
	program string
	trouble bool
	record  *record
	store   *store
	daemons []*daemon
	network string // the first three bytes of the daemons' loopback addresses
}

// The bounds of the settings file: drain_ms, config_apply_ms, stable_window_ms and max_stretch_ms.
const (
	drain       = 2000 * time.Millisecond
	configApply = 2000 * time.Millisecond
	stable      = 3000 * time.Millisecond
	maxStretch  = 5000 * time.Millisecond
)

// newWorld creates a store and daemons, one for each zone that is named; it starts none of them.
func newWorld(program, recordPath string, zones []string) *world {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	out, err := os.Create(recordPath)
	check(err)
	pid := os.Getpid()
	w := &world{
		dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0", record: &record{out: out, start: time.Now()},
		network: fmt.Sprintf("127.%d.%d.", 10+(pid>>8)%200, pid%250),
	}
	w.store = newStore(w.network + "200:0")
	numbers := map[string]int{}
	for i, zone := range zones {
		numbers[zone]++
		w.daemons = append(w.daemons, newDaemon(dir, fmt.Sprintf("edge-%s-%d", zone, numbers[zone]), fmt.Sprintf("%s%d", w.network, 10+i), zone, w.store.address))
	}
	for _, d := range w.daemons {
		for _, seed := range w.daemons[:min(3, len(w.daemons))] {
			d.seeds = append(d.seeds, seed.peer)
		}
	}
	w.record.add("disruption: %v", w.trouble)
	return w
}

// start starts all daemons and waits until they are ready.
func (w *world) start() {
	for _, d := range w.daemons {
		d.start(w.program)
	}
	for _, d := range w.daemons {
		if !d.awaitReady(15 * time.Second) {
			w.end(2, "%s does not get ready", d.name)
		}
	}
	w.record.add("%d daemons are ready", len(w.daemons))
}

// end ends all processes and the case with an exit status.
func (w *world) end(status int, format string, args ...any) {
	w.record.add(format, args...)
	fmt.Printf(format+"\n", args...)
	for _, d := range w.daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
	os.Exit(status)
}

// storeReads returns how many times a daemon has read the store, as its metrics say.
func storeReads(d *daemon) float64 {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ip + ":9464/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, "platform_reads_total{") && strings.Contains(line, `result="read"`) && strings.Contains(line, `what="hosts"`) {
			n := 0.0
			fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &n)
			return n
		}
	}
	return 0
}

// readers returns the daemons that read the store now and then, and the others.
func (w *world) readers() (readers, others []*daemon) {
	before := map[*daemon]float64{}
	for _, d := range w.daemons {
		before[d] = storeReads(d)
	}
	time.Sleep(5 * time.Second)
	for _, d := range w.daemons {
		if storeReads(d) > before[d] {
			readers = append(readers, d)
		} else {
			others = append(others, d)
		}
	}
	return readers, others
}

// ownerOf returns the daemon that has the other end of a channel, by that end's address, or nil. All daemons' channels come from the
// same loopback address, so the process is looked up by its descriptors.
func (w *world) ownerOf(remote string) *daemon {
	_, port, err := net.SplitHostPort(remote)
	check(err)
	number, err := strconv.Atoi(port)
	check(err)
	table, err := os.ReadFile("/proc/net/tcp")
	check(err)
	suffix := fmt.Sprintf(":%04X", number)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], suffix) || fields[9] == "0" {
			continue
		}
		for _, d := range w.daemons {
			dir := fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)
			descriptors, _ := os.ReadDir(dir)
			for _, fd := range descriptors {
				if link, err := os.Readlink(filepath.Join(dir, fd.Name())); err == nil && link == "socket:["+fields[9]+"]" {
					return d
				}
			}
		}
	}
	return nil
}

// names returns the names of daemons.
func names(daemons []*daemon) string {
	list := []string{}
	for _, d := range daemons {
		list = append(list, d.name)
	}
	return strings.Join(list, " ")
}

// kill sends SIGKILL to a process and does not wait for its end.
func (w *world) sigkill(d *daemon) {
	w.record.add("SIGKILL to %s", d.name)
	d.cmd.Process.Signal(syscall.SIGKILL)
}

// request returns the bytes of a request without a body.
func request(method, path, id, key string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Credential: %s\r\nX-Deadline-Ms: 3000\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", method, path, key, id)
}
