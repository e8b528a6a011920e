package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
)

// restFetchSpread is the time over which daemons that know only the first page of a long
// list spread their fetches of the rest. They fetch it from the daemons that watch the
// store, which also place the calls of the fleet over the same links.
const restFetchSpread = 1200 * time.Millisecond

// targetsRequest asks for the updates of targets that the asking daemon may not know.
type targetsRequest struct {
	hostlist.Extent
	// AcceptsCompressed is false in requests of versions that cannot decompress updates.
	AcceptsCompressed bool `cbor:"3,keyasint,omitempty"`
}

// targetsAnswer is an update, compressed if it is large and the asking daemon accepts that.
type targetsAnswer struct {
	hostlist.Update
	Compressed []byte `cbor:"7,keyasint,omitempty"`
}

// minCompressedTargets is the number of targets in the smallest update that is compressed.
const minCompressedTargets = 16

// serveTargets answers with the updates of targets that a peer may not know.
func (c *Cluster) serveTargets(_ context.Context, _ string, in targetsRequest) (targetsAnswer, error) {
	if !in.AcceptsCompressed {
		return targetsAnswer{Update: c.Board.Directory.Since(in.Extent)}, nil
	}
	update, version := c.Board.Directory.SinceAt(in.Extent)
	if len(update.Hosts) < minCompressedTargets {
		return targetsAnswer{Update: update}, nil
	}
	packed, err := c.targetsCache.get(version, in.Extent, func() any { return update })
	return targetsAnswer{Compressed: packed}, err
}

// updateTargets fetches and applies target updates that are newer at a peer.
func (c *Cluster) updateTargets(ctx context.Context, h heartbeatReport) {
	if !c.openFleet() || h.targets <= c.Board.Directory.Revision() {
		return
	}
	c.waitForWatch(ctx)
	if c.Board.Directory.Incomplete() {
		controller.Sleep(ctx, rand.N(restFetchSpread))
	}
	own := c.Board.Directory.Extent()
	if h.targets <= own.Complete {
		return
	}
	update, err := c.fetchTargets(ctx, h.from, own)
	if err != nil {
		c.Recorder.Log.Warn("targets could not be fetched from a peer", "peer", h.from, "revision", h.targets.String(), "error", err.Error())
		return
	}
	c.Directory.MergeFromPeer(h.from, update)
}

// fetchTargets fetches the updates of targets that this daemon does not know from a peer.
func (c *Cluster) fetchTargets(ctx context.Context, from string, known hostlist.Extent) (hostlist.Update, error) {
	var answer targetsAnswer
	if err := c.targetsFetcher.fetch(ctx, from, peer.KindFacts, targetsRequest{known, true}, &answer); err != nil {
		return hostlist.Update{}, err
	}
	if answer.Compressed == nil {
		return answer.Update, nil
	}
	var update hostlist.Update
	err := decompress(answer.Compressed, &update)
	return update, err
}
