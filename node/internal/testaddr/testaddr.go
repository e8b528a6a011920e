// Package testaddr finds free loopback addresses on which tests can listen.
package testaddr

import (
	"net"
	"os"
	"sync"
	"testing"
)

// handedOut are the addresses that this process has returned. The system may assign a port
// again as soon as it is closed.
var (
	mu        sync.Mutex
	handedOut = map[string]bool{}
)

// Free returns a free HOST:PORT, and never the same one twice. The host is a loopback address
// derived from the process ID, which only this process uses: a port of 127.0.0.1 could be
// assigned to another process's outgoing connection before the test listens on it.
func Free(t testing.TB) string {
	t.Helper()
	addr, err := Find()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// Find is Free for use outside a test's own goroutine; it returns the error instead of failing
// the test.
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

// findPort returns an address with a free port that the system assigns.
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
