// Package confservice reads settings and the host list from a configuration service
// that speaks the project's own protocol, such as the one that "doorstack try"
// simulates. It never writes.
//
// The protocol is plain HTTP with JSON. GET /v1/config?prefix=P&since=R returns
// all values below P that changed after revision R; with wait=30s the service
// delays the answer up to that long, until there is a change. GET /v1/hosts?since=R
// returns the hosts that the platform considers live or leaving, or only the
// differences since revision R. Each call counts against the service's budget of
// reads, a watch as one call.
package confservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/settings"
	"github.com/go-faster/errors"
)

// MaxAnswerSize bounds an answer of the platform, in bytes. A full read of a large settings tree
// fits.
const MaxAnswerSize = 64 << 20

// Client reads the settings and the host list over HTTP.
type Client struct {
	// ConfigURL is the base URL of the settings, and HostsURL that of the host list, such as
	// "http://10.0.0.1:9000".
	ConfigURL, HostsURL string
	// Prefix is the common prefix of the settings keys of this fleet.
	Prefix string
	// HTTPClient makes the calls.
	HTTPClient *http.Client
}

// ParseParts checks and resolves the parts of a revision. The keys of the map start with Prefix.
func (c *Client) ParseParts(parts map[string][]byte) (*settings.Tree, error) {
	named := make(map[string][]byte, len(parts))
	for key, data := range parts {
		named[strings.TrimPrefix(key, c.Prefix)] = data
	}
	return settings.ParseParts(named)
}

// Config reads the changes of the settings after revision since; zero reads the
// whole settings. With wait above zero the service waits up to that long for a change.
func (c *Client) Config(ctx context.Context, since int64, wait time.Duration) (settings.Changes, error) {
	query := url.Values{"prefix": {c.Prefix}, "since": {strconv.FormatInt(since, 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	var changes settings.Changes
	err := c.getJSON(ctx, c.ConfigURL+"/v1/config?"+query.Encode(), &changes)
	return changes, err
}

// Hosts reads the changes of the host list after revision since; zero reads the whole list.
func (c *Client) Hosts(ctx context.Context, since int64) (hostlist.List, error) {
	var list hostlist.List
	err := c.getJSON(ctx, c.HostsURL+"/v1/hosts?since="+strconv.FormatInt(since, 10), &list)
	return list, err
}

// getJSON decodes the JSON answer to a GET request. Any status but 200 is an error.
func (c *Client) getJSON(ctx context.Context, address string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "build request to the platform")
	}
	resp, err := c.HTTPClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.New(fmt.Sprintf("the platform answered %s", resp.Status))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerSize+1))
	if err != nil {
		return errors.Wrap(err, "read the platform's answer")
	}
	if len(body) > MaxAnswerSize {
		return errors.New(fmt.Sprintf("the platform's answer is over %d bytes", MaxAnswerSize))
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "decode the platform's answer")
	}
	return nil
}
