package onplatform

import (
	"context"
	"io"
	"net/http"
	"testing"

	"doorstack.dev/platform/standin"
)

// TestAnswerOfKilledDaemonLooksTruncated guards against the end of a daemon's process looking like the end of an answer to its
// caller, who can resume the stream at another daemon.
func TestAnswerOfKilledDaemonLooksTruncated(t *testing.T) {
	program := buildDaemon(t)
	f := newFleet(t, 0, 2)
	endpoint := f.store.OpenEndpoint()
	t.Cleanup(endpoint.Close)
	f.peerKey = "fleet of the store at " + endpoint.Address()
	f.waitReady(f.addDaemon(0))
	killed := f.startProcess(program, endpoint)
	sent := make(chan struct{})
	f.scriptFirstCall(unframedThenHang(eventStreamType, eventTexts(1, 5), func() { close(sent) }), func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		answerTyped(http.StatusOK, eventStreamType, eventsAfter(c.LastEventID()))(w, r, c)
	})
	request := f.newRequest(streamPath)
	request.Daemon = killed.caller
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	resp, err := f.client.Do(request.HTTPRequest(ctx))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	<-sent
	first := make([]byte, len(eventTexts(1, 5)))
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	if err := killed.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("the answer looks whole, with %q after the daemon was killed", rest)
	}
	resumed := f.newRequest(streamPath)
	resumed.LastEventID = "5"
	if got := f.do(resumed); got.Err != nil || string(first)+got.Body != eventTexts(1, 8) {
		t.Errorf("resumed answer = %d %q %v, want the rest of the stream", got.Status, got.Body, got.Err)
	}
}
