package onplatform

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// TestPathIsMatchedAsItIsSent guards against calls that are matched under one path and sent under another: each path chooses
// the service by the bytes that the target gets.
func TestPathIsMatchedAsItIsSent(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.addTarget("other", "other", 6)
	next := testConfig(2)
	next.Services = append(next.Services, standin.Service{Name: "other"})
	for i, prefix := range []string{"/", "/a/", "/a/b/", "/é/"} {
		r := next.Routes[1]
		r.Name, r.Prefix, r.Host, r.Service = "p"+prefix, prefix, "paths.example", plainService
		if i > 0 {
			r.Service = "other"
		}
		next.Routes = append(next.Routes, r)
	}
	f.store.PutConfig(next)
	d := f.daemons[0]
	f.eventually("the routes", func() bool { return f.settingsRevision(d) == 2 && len(d.Board.Targets.Addresses()) == 3 })
	f.scriptAll(standin.Succeed("ok"))
	for i, c := range []struct{ uri, service, sent string }{
		{"/", plainService, ""},
		{"/?q=1", plainService, ""},
		{"//", plainService, ""},
		{"//x/y?q", plainService, ""},
		{"//a/x", plainService, ""},
		{"/a/x", "other", ""},
		{"/a/b/x", "other", ""},
		{"/a//x", "other", ""},
		{"/a", plainService, ""},
		{"/a%2Fx", plainService, ""},
		{"/a%2fb/c", plainService, ""},
		{"/%61/x", plainService, ""},
		{"/a/%2e%2e/x", "other", ""},
		{"/a/../x", "other", ""},
		{"/./a/x", plainService, ""},
		{"/x?y=%zz", plainService, ""},
		{"/%C3%A9/x", "other", ""},
		{"/a/\"<>|^`{}", "other", ""},
		{"http://paths.example/a/x?q", "other", "/a/x?q"},
		{"http://paths.example", plainService, "/"},
		{"http://paths.example?q=/a/", plainService, "/?q=/a/"},
	} {
		id := fmt.Sprint("path-", i)
		status := statusOf(t, d, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: paths.example\r\nX-Request-Id: %s\r\nX-Credential: %s\r\n\r\n", c.uri, id, apiKey))
		calls := f.callsWithID(id)
		if status != http.StatusOK || len(calls) != 1 {
			t.Errorf("%s: status %d at %d targets, want 200 at one", c.uri, status, len(calls))
			continue
		}
		want := c.uri
		if c.sent != "" {
			want = c.sent
		}
		if calls[0].URI != want {
			t.Errorf("%s: sent as %s", c.uri, calls[0].URI)
		}
		if ran := len(f.targets["other"].Calls()) > 0 && f.targets["other"].Calls()[len(f.targets["other"].Calls())-1].ID == id; ran != (c.service == "other") {
			t.Errorf("%s: not run by service %s", c.uri, c.service)
		}
	}
	for _, uri := range []string{"/a/%zz", "/a/%2", "?q=1", "a/x"} {
		status, body := answerTo(t, d, "GET "+uri+" HTTP/1.1\r\nHost: paths.example\r\nX-Credential: "+apiKey+"\r\n\r\n")
		if status != http.StatusBadRequest || !strings.Contains(body, "cannot be parsed") || !strings.Contains(body, "hexadecimal digits") {
			t.Errorf("%s: status %d, %q, want 400 with what to check", uri, status, body)
		}
	}
}

// sendRaw sends the bytes of a request to a daemon, calls afterwards with the connection, and returns the answer, whose body has been
// read into memory, or nil if the connection was closed without one.
func sendRaw(t *testing.T, d *testDaemon, request string, afterwards func(*net.TCPConn) error) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp4", d.boot.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	if err := afterwards(conn.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Logf("the answer is truncated: %v", err)
	}
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp
}

// answerTo sends the bytes of a request and returns status and body of the answer; the status is 0 if there is none.
func answerTo(t *testing.T, d *testDaemon, request string) (status int, body string) {
	t.Helper()
	resp := sendRaw(t, d, request, func(*net.TCPConn) error { return nil })
	if resp == nil {
		return 0, ""
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// statusOf sends the bytes of a request and returns the status of the answer, or 0 if there is none.
func statusOf(t *testing.T, d *testDaemon, request string) int {
	t.Helper()
	status, _ := answerTo(t, d, request)
	return status
}
