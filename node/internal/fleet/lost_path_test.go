package fleet

import (
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"doorstack.dev/node/target"
)

// A daemon that cannot connect to any engine has its calls relayed by one that can.
func TestHostWithoutPathToEnginesServesItsCallers(t *testing.T) {
	f := startFleet(t, claraOptions(2, 2))
	var cut atomic.Bool
	d, err := f.Join(f.PlatformServer.Address, func(joining *Daemon) {
		joining.SetTargetDialer(func(ctx context.Context, address string) (target.Socket, error) {
			if cut.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return target.DialForLargeBodies(ctx, address)
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitReady(); err != nil {
		t.Fatal(err)
	}
	cut.Store(true)
	for range 5 {
		prompt := promptText(50)
		r := chat(t, d, deskKey, prompt, 5)
		if r.status != http.StatusOK {
			t.Fatal(describe(r))
		}
	}
	if d.TargetPaths().Lost == 0 {
		t.Error("no path counts as lost")
	}
}
