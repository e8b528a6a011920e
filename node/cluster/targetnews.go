package cluster

import (
	"context"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/peer"
)

// targetsRequest asks for the facts of targets above a position.
type targetsRequest struct {
	Since hostlist.Position `cbor:"1,keyasint"`
}

func (c *Cluster) serveTargets(_ context.Context, _ string, in targetsRequest) (hostlist.Facts, error) {
	return c.Board.Directory.Since(in.Since), nil
}

// catchUpTargets fetches what a peer knows of targets and this daemon does not.
func (c *Cluster) catchUpTargets(ctx context.Context, h heartbeatNews) {
	if !c.open() || h.targets <= c.Board.Directory.Revision() {
		return
	}
	c.leadToWatch(ctx)
	own := c.Board.Directory.Revision()
	if h.targets <= own {
		return
	}
	var facts hostlist.Facts
	if err := c.targetNews.fetch(ctx, h.from, peer.KindFacts, targetsRequest{Since: own}, &facts); err != nil {
		c.Record.Log.Warn("targets could not be fetched from a peer", "peer", h.from, "revision", h.targets.String(), "error", err.Error())
		return
	}
	c.Directory.MergeFrom(h.from, facts)
}
