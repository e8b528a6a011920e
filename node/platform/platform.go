// Package platform reads what the platform publishes: settings from the
// configuration service and the list of hosts. Nothing is ever written to it.
//
// The protocol is plain HTTP with JSON. GET /v1/config?prefix=P&since=R answers
// with all values below P that changed after revision R; with wait=30s the call
// is a watch that is held until there is a change. GET /v1/hosts?since=R
// answers with the hosts that the platform believes to be live or leaving, or
// with those that differ since revision R. Each call counts
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

// HostList is the platform's view of the hosts, which lags, or what differs from
// an earlier one.
type HostList struct {
	// Since is the revision that the difference starts from; zero means that
	// Hosts is the whole.
	Since int64 `json:"since,omitempty"`
	// Revision rises with each change.
	Revision int64 `json:"revision"`
	// Changed is when the platform published the revision.
	Changed time.Time `json:"changed"`
	// AsOf is when the platform last confirmed the list.
	AsOf time.Time `json:"as_of"`
	// Hosts are the live and leaving hosts, or those that differ.
	Hosts []Host `json:"hosts"`
	// Removed are the ids of hosts that are gone since.
	Removed []string `json:"removed,omitempty"`
}

// Apply returns the list that a difference leads to from l. A whole list replaces
// l; a difference from another revision than l's is an error.
func (l HostList) Apply(d HostList) (HostList, error) {
	if d.Since == 0 {
		return d, nil
	}
	if d.Since != l.Revision {
		return l, errors.New("the difference starts from another revision of the host list; read the whole")
	}
	changed := make(map[string]bool, len(d.Hosts)+len(d.Removed))
	for _, h := range d.Hosts {
		changed[h.ID] = true
	}
	for _, id := range d.Removed {
		changed[id] = true
	}
	next := HostList{Revision: d.Revision, Changed: d.Changed, AsOf: d.AsOf}
	for _, h := range l.Hosts {
		if !changed[h.ID] {
			next.Hosts = append(next.Hosts, h)
		}
	}
	next.Hosts = append(next.Hosts, d.Hosts...)
	return next, nil
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

// Hosts reads what differs from a revision of the host list; zero reads the whole.
func (c *Client) Hosts(ctx context.Context, since int64) (HostList, error) {
	var list HostList
	err := c.get(ctx, c.HostsURL+"/v1/hosts?since="+strconv.FormatInt(since, 10), &list)
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
