package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// startDaemon builds and starts the daemon with a platform that does not answer, and returns once
// the daemon has logged that it started.
func startDaemon(t *testing.T) *exec.Cmd {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "doorstackd")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	file := filepath.Join(dir, "daemon.yaml")
	if err := os.WriteFile(file, []byte(daemonFile), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "--config", file)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"msg":"started"`) {
			go func() {
				for lines.Scan() {
				}
			}()
			return cmd
		}
	}
	t.Fatal("doorstackd exited without logging that it started")
	return nil
}

// daemonFile is the configuration of the daemon.
const daemonFile = `
name: d1
listen: 127.0.0.1:0
admin: 127.0.0.1:0
peer: 127.0.0.1:0
data_centre: a
region: r
platform: {configuration: "http://127.0.0.1:1", hosts: "http://127.0.0.1:1"}
peer_keys: [a-key-that-is-long-enough]
drain_delay: 0s
`

// TestDaemonExitsCleanlyOnSIGTERM checks that SIGTERM ends the daemon with status 0.
func TestDaemonExitsCleanlyOnSIGTERM(t *testing.T) {
	cmd := startDaemon(t)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("doorstackd exited with %v after SIGTERM, want success", err)
	}
}
