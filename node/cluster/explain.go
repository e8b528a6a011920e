package cluster

import (
	"context"
	"strconv"
	"time"

	"doorstack.dev/core/share"
	"doorstack.dev/node/admin"
	"doorstack.dev/node/peer"
)

// explainRequest asks a daemon for its records of a request.
type explainRequest struct {
	Request string `cbor:"1,keyasint"`
}

// explainAnswer holds the records in JSON, the form in which they are published.
type explainAnswer struct {
	JSON []byte `cbor:"1,keyasint"`
}

// explainTimeout bounds the search for a request in the fleet.
const explainTimeout = 2 * time.Second

// Status implements admin.Fleet.
func (c *Cluster) Status() admin.FleetStatus {
	now := time.Now()
	counts := c.Board.Claims.Counts(now)
	s := admin.FleetStatus{Claims: admin.ClaimStatus{Keys: counts.Keys, Bytes: counts.OutcomeBytes, Granted: counts.Granted, Denied: counts.Denied}}
	for _, m := range c.Board.Members.Members() {
		status := admin.MemberStatus{
			Name: m.Name, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
			State: m.State.String(), Incarnation: m.Incarnation, Revision: m.SettingsRevision, LastHeard: m.LastHeard,
		}
		if m.Leaving {
			status.State += ", leaving"
		}
		if m.Name == c.Board.Self.Name {
			status.State = "this daemon"
			if view := c.Board.Settings.Current(); view != nil {
				status.Revision = view.Revision
			}
		}
		s.Members = append(s.Members, status)
	}
	_, listed := c.Board.Members.AliveNames()
	for _, account := range c.Board.Shares.LeasedAccounts() {
		s.Shares = append(s.Shares, admin.ShareStatus{Account: account, Fraction: c.Board.Shares.Fraction(account, now), Floor: share.Floor(listed)})
	}
	for _, o := range c.Board.Leases.Owned(now) {
		s.Leases = append(s.Leases, admin.LeaseStatus{Target: o.Target, Owner: c.Board.Self.Name, FencingToken: o.Fence, ExpiresAt: o.ExpiresAt})
	}
	if view := c.Board.Settings.Current(); view != nil && c.openFleet() {
		for _, pool := range view.Tree.Pools() {
			s.Coordinators = append(s.Coordinators, c.Placer.status(pool.Name, now))
		}
	}
	return s
}

// HandleExplain answers peers that ask for this daemon's records with what explain returns,
// which is JSON.
func (c *Cluster) HandleExplain(explain func(request string) ([]byte, error)) {
	c.Hub.Handle(peer.KindExplain, peer.TypedHandler(func(_ context.Context, _ string, in explainRequest) (explainAnswer, error) {
		data, err := explain(in.Request)
		return explainAnswer{JSON: data}, err
	}))
}

// Explain implements admin.Fleet. It asks all living daemons at the same time, up to
// maxParallelExplains of them, and returns the first answer that holds records of the
// request.
func (c *Cluster) Explain(request string) admin.Explanation {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	living, listed := c.Board.Members.AliveNames()
	answers := make(chan admin.Explanation, len(living))
	slots := make(chan struct{}, maxParallelExplains)
	for _, name := range living {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers <- c.explainAt(ctx, name, request)
		}()
	}
	silent := listed - len(living)
	for range living {
		e := <-answers
		if len(e.Records) > 0 {
			return e
		}
		if e.Daemon == "" {
			silent++
		}
	}
	return admin.Explanation{Request: request, Daemon: c.Board.Self.Name, Note: notFoundNote(silent)}
}

// maxParallelExplains bounds the number of daemons asked at the same time.
const maxParallelExplains = 32

// explainAt asks one daemon for its records. The answer names no daemon if the call fails.
func (c *Cluster) explainAt(ctx context.Context, name, request string) admin.Explanation {
	if name == c.Board.Self.Name {
		return admin.Explanation{Daemon: name}
	}
	var answer explainAnswer
	if err := c.Hub.Call(ctx, c.address(name), peer.KindExplain, explainRequest{Request: request}, &answer); err != nil {
		return admin.Explanation{}
	}
	return admin.ParseExplanation(answer.JSON)
}

// notFoundNote explains why no records were found; silent is the number of daemons that did
// not answer.
func notFoundNote(silent int) string {
	if silent > 0 {
		return "no daemon that answered has a record; " + strconv.Itoa(silent) + " daemon(s) did not answer, and their records are lost if they died"
	}
	return "no daemon has a record; the id is wrong, or the records have been evicted"
}
