// Package testaddr finds addresses for the listeners of tests.
package testaddr

import (
	"net"
	"os"
	"sync"
	"testing"
)

// handedOut are the addresses that this process has handed out. The system may give a port
// again as soon as it is closed.
var (
	mu        sync.Mutex
	handedOut = map[string]bool{}
)

// Free returns a free HOST:PORT of a loopback address that only this process uses, and
// never the same one twice. A port of 127.0.0.1 may be given to somebody's outgoing
// connection between being found free here and being listened on.
func Free(t testing.TB) string {
	t.Helper()
	addr, err := Find()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// Find is Free outside a test's own goroutine.
func Find() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		addr, err := findPort()
		if err != nil {
			return "", err
		}
		if !handedOut[addr] {
			handedOut[addr] = true
			return addr, nil
		}
	}
}

// findPort asks the system for a free port.
func findPort() (string, error) {
	pid := os.Getpid()
	own := net.IPv4(127, byte(1+pid>>16), byte(pid>>8), byte(pid))
	l, err := net.Listen("tcp", net.JoinHostPort(own.String(), "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
