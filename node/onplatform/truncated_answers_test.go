package onplatform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"doorstack.dev/platform/standin"
)

// TestTruncatedAnswerLooksTruncatedInHTTP10 guards against a broken stream that looks whole to a caller with HTTP/1.0, whose answer
// has no chunks and ends with its connection.
func TestTruncatedAnswerLooksTruncatedInHTTP10(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.AnswerStream(1, 5, true))
	conn, err := net.Dial("tcp4", f.daemons[0].boot.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	r := f.newRequest(nonResumablePath).HTTPRequest(t.Context())
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nHost: %s\r\n", r.Method, r.URL.RequestURI(), r.Host)
	_ = r.Header.Write(conn) // A failed write shows in the read.
	_, _ = io.WriteString(conn, "\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("the answer looks whole: %q", got)
	}
}
