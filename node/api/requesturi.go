package api

import (
	"net/http"
	"strings"
)

// requestURI is the path and query of a forwarded call, byte by byte as the caller sent them. Routes are matched on the same
// bytes that are forwarded: nothing is decoded, cleaned or joined, so that a call cannot be sent under another path than the
// one that chose its service.
type requestURI string

// requestURIOf returns the path and query of a request. A caller that names the whole URL, as to a proxy, is served like any
// other.
func requestURIOf(r *http.Request) requestURI {
	uri := r.RequestURI
	if !r.URL.IsAbs() {
		return requestURI(uri)
	}
	_, rest, _ := strings.Cut(uri, "://")
	if i := strings.IndexAny(rest, "/?"); i < 0 {
		rest = ""
	} else {
		rest = rest[i:]
	}
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest // The path of a URL without one.
	}
	return requestURI(rest)
}

// path returns the path without the query.
func (u requestURI) path() string {
	path, _, _ := strings.Cut(string(u), "?")
	return path
}
