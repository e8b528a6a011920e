package onplatform

import (
	"fmt"
	"testing"

	"doorstack.dev/platform/standin"
)

// TestDaemonServesWithFirstPageOfHostList: while the store does not give the others, and it
// knows all targets once it does.
func TestDaemonServesWithFirstPageOfHostList(t *testing.T) {
	f := &fleet{t: t, store: standin.NewStore(), targets: map[string]*standin.Target{}, config: testConfig(1)}
	f.client = newCallerClient(t)
	const targets, page = 6, 3
	for i := range targets {
		f.addTarget(fmt.Sprint("t", i+1), plainService, 6)
	}
	f.store.PutConfig(f.config)
	rest := make(chan struct{})
	f.store.Paginate(page, rest)
	f.addDaemon(0)
	d := f.daemons[0]
	f.eventually("the daemon ready", func() bool { return f.ready(d) })
	if got := f.do(f.newRequest(safePath)); got.Status != 200 || !got.Signed() {
		t.Fatalf("%+v", got)
	}
	if known := len(d.Board.Targets.Addresses()); known != page-1 || f.store.LaterPages() == 0 {
		t.Errorf("%d targets are known, %d later pages were asked for", known, f.store.LaterPages())
	}
	close(rest)
	f.waitReady(d)
}
