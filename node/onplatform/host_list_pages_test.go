package onplatform

import (
	"fmt"
	"testing"

	"doorstack.dev/platform/standin"
)

// TestDaemonServesWithFirstPageOfHostList checks that a daemon is ready and serves with the first page
// of the store's list while the later pages are held back, and knows all targets once they arrive. The
// first page holds the configuration and page-1 targets.
func TestDaemonServesWithFirstPageOfHostList(t *testing.T) {
	f := &fleet{t: t, store: standin.NewStore(), targets: map[string]*standin.Target{}, config: testConfig(1)}
	f.client = newCallerClient(t)
	const targets, page = 6, 3
	for i := range targets {
		f.addTarget(fmt.Sprint("t", i+1), plainService, 6)
	}
	f.store.PutConfig(f.config)
	laterPages := make(chan struct{})
	f.store.Paginate(page, laterPages)
	f.addDaemon(0)
	d := f.daemons[0]
	f.eventually("the daemon to be ready", func() bool { return f.ready(d) })
	if got := f.do(f.newRequest(safePath)); got.Status != 200 || !got.Signed() {
		t.Fatalf("call = %+v, want a signed 200", got)
	}
	if known := len(d.Board.Targets.Addresses()); known != page-1 || f.store.LaterPages() == 0 {
		t.Errorf("daemon knows %d targets and has requested %d later pages, want %d targets and at least 1 request", known, f.store.LaterPages(), page-1)
	}
	close(laterPages)
	f.waitReady(d)
}
