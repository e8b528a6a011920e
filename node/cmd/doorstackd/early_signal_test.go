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

// TestSignalDuringStartIsNotFatal: a daemon that was told of changed settings while it still
// read them ended without a word, since signals were taken only once it was put together; on a
// busy host with restarts and changes in series it was gone until somebody started it again. The
// settings are a pipe here, so that the daemon waits in the middle of its start.
func TestSignalDuringStartIsNotFatal(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "doorstackd")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
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
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0) // Waits until the daemon reads.
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.WriteString(bootFile); err != nil {
		t.Errorf("the daemon does not read on: %v", err)
	}
	if err := settings.Close(); err != nil {
		t.Error(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("the daemon ended: %v: %s", err, output.String())
	}
}
