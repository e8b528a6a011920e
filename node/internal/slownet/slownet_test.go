package slownet

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestMessagesOnTheWayDoNotWaitForEachOther guards against a connection that carries one message per delay and lag: ten
// heartbeats of a fleet then kept a placement waiting for 165 ms, as no network does. What was sent before
// Close arrives.
func TestMessagesOnTheWayDoNotWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := Network{Delay: 4500 * time.Microsecond}
		from, to := network.AddHost("a:1", 20e6/8), network.AddHost("b:1", 20e6/8)
		to.Lag = 12 * time.Millisecond
		near, far := net.Pipe()
		sender, receiver := newConn(near, from, to), newConn(far, to, from)
		began := time.Now()
		go func() {
			for range 10 {
				if _, err := sender.Write(make([]byte, 250)); err != nil {
					t.Error(err)
				}
			}
			_ = sender.Close()
		}()
		data, err := io.ReadAll(receiver)
		if err != nil || len(data) != 2500 {
			t.Fatalf("%d bytes arrived before the end, error %v; want 2,500", len(data), err)
		}
		if took := time.Since(began); took > 18*time.Millisecond {
			t.Errorf("ten messages of 250 bytes arrived after %v, want 17.5 ms: 16.5 ms on the way and 1 ms to send them", took)
		}
		_ = receiver.Close()
	})
}
