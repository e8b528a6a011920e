package target

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/url"
	"testing"

	"doorstack.dev/core/forward"
)

// TestCallIsWrittenAsByNetHTTP compares the bytes of calls with those of http.Request, which writes all but some paths right.
func TestCallIsWrittenAsByNetHTTP(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
		for _, body := range []string{"", "body"} {
			header := http.Header{"X-A": {"1", "2"}, "Content-Type": {"text/plain"}, "Content-Length": {"99"}, "User-Agent": {"u"}, "Bad": {"a\r\nInjected: x"}}
			c := forward.Message{Method: method, URI: "/a%2Fb/../c?q=%zz", Host: "h.example:81", Header: header, Body: []byte(body)}
			var got, want bytes.Buffer
			out := bufio.NewWriter(&got)
			if err := writeCall(out, &c); err != nil || out.Flush() != nil {
				t.Fatal(err)
			}
			r := http.Request{Method: method, Host: c.Host, Header: header, URL: &url.URL{Opaque: c.URI}, ContentLength: int64(len(body)), Body: http.NoBody}
			if body != "" {
				r.Body = io.NopCloser(bytes.NewReader(c.Body))
			}
			if err := r.Write(&want); err != nil {
				t.Fatal(err)
			}
			gotRequest, err := http.ReadRequest(bufio.NewReader(&got))
			if err != nil {
				t.Fatal(err)
			}
			wantRequest, err := http.ReadRequest(bufio.NewReader(&want))
			if err != nil {
				t.Fatal(err)
			}
			gotBody, _ := io.ReadAll(gotRequest.Body)
			if gotRequest.RequestURI != wantRequest.RequestURI || gotRequest.Host != wantRequest.Host || gotRequest.ContentLength != wantRequest.ContentLength || string(gotBody) != body {
				t.Errorf("%s: %+v, want %+v", method, gotRequest, wantRequest)
			}
			for name := range wantRequest.Header {
				if len(gotRequest.Header[name]) != len(wantRequest.Header[name]) || gotRequest.Header.Get(name) != wantRequest.Header.Get(name) {
					t.Errorf("%s: header %s = %q, want %q", method, name, gotRequest.Header[name], wantRequest.Header[name])
				}
			}
			if len(gotRequest.Header) != len(wantRequest.Header) {
				t.Errorf("%s: headers %v, want %v", method, gotRequest.Header, wantRequest.Header)
			}
		}
	}
}
