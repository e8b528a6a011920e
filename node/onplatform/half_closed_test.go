package onplatform

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"doorstack.dev/platform/standin"
)

// halfClose sends the bytes of a request to a daemon, closes the sending side and returns the status of the answer, 0 for a
// closed connection, and whether a target has signed it.
func halfClose(t *testing.T, d *testDaemon, request string) (status int, signed bool) {
	t.Helper()
	resp := sendRaw(t, d, request, (*net.TCPConn).CloseWrite)
	if resp == nil {
		return 0, false
	}
	return resp.StatusCode, resp.Header.Get("X-Server-Signature") != ""
}

// rawRequest returns the bytes of a request with a body of two bytes.
func (f *fleet) rawRequest(path string) (id, text string) {
	r := f.newRequest(path)
	return r.ID, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nab", r.Path, r.Host, r.ID, r.APIKey)
}

// TestHalfClosedCallerGetsNoSuccessOfTheDaemon guards against a success that no target gave: a caller that sends a request and
// closes its sending side counts as one that has left. It gets no answer, and no target runs the call later.
func TestHalfClosedCallerGetsNoSuccessOfTheDaemon(t *testing.T) {
	f := newFleet(t, 1, 2)
	release := make(chan struct{})
	answerLater := func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		<-release
		standin.Succeed("ok")(w, r, c)
	}
	f.scriptAll(answerLater)
	check := func(name string, d *testDaemon, id, text string) {
		t.Helper()
		status, signed := halfClose(t, d, text)
		if status >= 200 && status < 300 && !signed {
			t.Errorf("%s: status %d without a target's signature", name, status)
		}
		if ran := len(f.callsWithID(id)); status == 0 && ran > 1 {
			t.Errorf("%s: sent to %d targets", name, ran)
		}
	}
	for _, path := range []string{safePath, unsafePath, streamPath, nonResumablePath, promptPath, noAuthPath} {
		for range 5 { // The end of the sending side is noticed at different points of the call.
			id, text := f.rawRequest(path)
			check(path, f.daemons[0], id, text)
		}
		id, text := f.rawRequest(path)
		check(path+", body ends early", f.daemons[0], id, text[:len(text)-1])
		id, text = f.rawRequest(path)
		check(path+", chunked body ends early", f.daemons[0], id, strings.Replace(text, "Content-Length: 2\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", 1))
	}
	close(release)
	f.daemons[0].Drain()
	id, text := f.rawRequest(unsafePath)
	check("while the daemon drains", f.daemons[0], id, text)

	starting := f.addDaemonWithoutStore()
	id, text = f.rawRequest(unsafePath)
	check("while the daemon starts", starting, id, text)
	if ran := len(f.callsWithID(id)); ran != 0 {
		t.Errorf("a daemon without settings sent the call to %d targets", ran)
	}
}
