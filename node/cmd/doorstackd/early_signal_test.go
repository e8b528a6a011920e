package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"doorstack.dev/platform"
)

// bootFile is a valid settings file of the platform.
const bootFile = `
node = "d1"
ip = "127.0.0.1"
zone = "z1"
region = "r1"
[zones]
z1 = "r1"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
control = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
`

// TestSignalDuringStartIsNotFatal checks that a SIGHUP does not end a daemon that is still reading
// its settings. If signals were registered only after the daemon was created, one about changed
// settings would kill it without a log line, as on a busy host with repeated restarts and changes.
// The settings file is a named pipe here, so that the daemon blocks in the middle of its start.
func TestSignalDuringStartIsNotFatal(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "doorstackd")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	pipe := filepath.Join(dir, "boot.toml")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	cmd := exec.Command(program, "--platform", "--check")
	cmd.Env = append(os.Environ(), platform.BootVariable+"="+pipe)
	cmd.Stdout, cmd.Stderr = &output, &output
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0) // Blocks until the daemon opens the pipe.
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.WriteString(bootFile); err != nil {
		t.Errorf("write settings after SIGHUP: %v, want the daemon to continue reading", err)
	}
	if err := settings.Close(); err != nil {
		t.Error(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("doorstackd --platform --check exited with %v, want success: %s", err, output.String())
	}
}
