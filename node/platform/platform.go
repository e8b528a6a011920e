// Package platform reads what the platform publishes: settings from the
// configuration service and the list of hosts. Nothing is ever written to it.
//
// The protocol is plain HTTP with JSON. GET /v1/config?prefix=P&since=R answers
// with all values below P that changed after revision R; with wait=30s the call
// is a watch that is held until there is a change. GET /v1/hosts answers with
// the hosts that the platform believes to be live or leaving. Each call counts
// against the service's budget of reads, a waiting watch as one.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"doorstack.dev/core/settings"
	"github.com/go-faster/errors"
)

// HostState is what the platform says of a host.
type HostState string

// The states of a host. A host that is neither is not on the list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole says what runs on a host.
type HostRole string

// The roles of hosts.
const (
	RoleDaemon HostRole = "daemon"
	RoleTarget HostRole = "target"
)

// Host is an entry of the host list.
type Host struct {
	// ID names the host; a replaced host has a new one.
	ID string `json:"id" cbor:"1,keyasint"`
	// Role says what runs on it.
	Role HostRole `json:"role" cbor:"2,keyasint"`
	// Address is host:port, for targets of their API and for daemons of the
	// listener for peers.
	Address string `json:"address" cbor:"3,keyasint"`
	// Pool is the pool of a target.
	Pool string `json:"pool,omitempty" cbor:"4,keyasint,omitempty"`
	// DataCentre and Region say where the host stands.
	DataCentre string `json:"data_centre" cbor:"5,keyasint"`
	Region     string `json:"region" cbor:"6,keyasint"`
	// State is live or leaving.
	State HostState `json:"state" cbor:"7,keyasint"`
}

// HostList is the platform's view of the hosts, which lags.
type HostList struct {
	// Revision rises with each change.
	Revision int64 `json:"revision"`
	// Changed is when the platform published the revision.
	Changed time.Time `json:"changed"`
	// AsOf is when the platform last confirmed the list.
	AsOf time.Time `json:"as_of"`
	// Hosts are the live and leaving hosts.
	Hosts []Host `json:"hosts"`
}

// MaxBytes bounds an answer of the platform: a full read of a large tree.
const MaxBytes = 64 << 20

// Client reads from the platform over HTTP.
type Client struct {
	// ConfigURL and HostsURL are base addresses, such as "http://10.0.0.1:9000".
	ConfigURL, HostsURL string
	// Prefix selects the keys of this fleet.
	Prefix string
	// HTTP makes the calls.
	HTTP *http.Client
}

// Config reads what changed after revision since; zero reads everything. With
// wait above zero it waits that long for a change.
func (c *Client) Config(ctx context.Context, since int64, wait time.Duration) (settings.Changes, error) {
	query := url.Values{"prefix": {c.Prefix}, "since": {strconv.FormatInt(since, 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	var changes settings.Changes
	err := c.get(ctx, c.ConfigURL+"/v1/config?"+query.Encode(), &changes)
	return changes, err
}

// Hosts reads the host list.
func (c *Client) Hosts(ctx context.Context) (HostList, error) {
	var list HostList
	err := c.get(ctx, c.HostsURL+"/v1/hosts", &list)
	return list, err
}

func (c *Client) get(ctx context.Context, address string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "build request to the platform")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.New(fmt.Sprintf("the platform answered %s", resp.Status))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBytes+1))
	if err != nil {
		return errors.Wrap(err, "read the platform's answer")
	}
	if len(body) > MaxBytes {
		return errors.New(fmt.Sprintf("the platform's answer is over %d bytes", MaxBytes))
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "decode the platform's answer")
	}
	return nil
}
