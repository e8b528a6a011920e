package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/settings"
	"doorstack.dev/node/peer"
	"github.com/go-faster/errors"
)

// settingsRequest asks for the changes after a revision; zero asks for the complete
// settings.
type settingsRequest struct {
	Since int64 `cbor:"1,keyasint"`
}

// settingsAnswer holds compressed changes of settings.
type settingsAnswer struct {
	Compressed []byte `cbor:"1,keyasint"`
}

func (c *Cluster) serveChanges(_ context.Context, _ string, in settingsRequest) (settingsAnswer, error) {
	view := c.Board.Settings.Current()
	if view == nil {
		return settingsAnswer{}, errors.New("this daemon has no settings yet")
	}
	packed, err := c.settingsCache.get(view.Snapshot.Revision, in.Since, func() any { return view.Snapshot.ChangesSince(in.Since) })
	return settingsAnswer{packed}, err
}

// revision returns the settings revision in force, zero before the first.
func (c *Cluster) revision() int64 {
	if view := c.Board.Settings.Current(); view != nil {
		return view.Revision
	}
	return 0
}

// updateSettings fetches and applies settings that are newer at a peer.
func (c *Cluster) updateSettings(ctx context.Context, h heartbeatReport) {
	own := c.revision()
	if h.revision <= own || h.revision == c.rejectedFromPeer.Load() {
		return
	}
	if c.openFleet() && own > 0 {
		c.waitForWatch(ctx)
		if own = c.revision(); h.revision <= own {
			return
		}
	}
	err := c.fetchSettings(ctx, h, own)
	if errors.Is(err, settings.ErrDigestMismatch) {
		// The peer has not seen all the changes that this daemon has seen.
		c.Recorder.Log.Info("changes of settings do not apply; fetching the complete settings", "peer", h.from, "revision", h.revision, "since", own)
		err = c.fetchSettings(ctx, h, 0)
	}
	if err != nil && !errors.Is(err, settings.ErrNotNewer) {
		c.Recorder.Log.Warn("settings could not be fetched from a peer", "peer", h.from, "revision", h.revision, "error", err.Error())
	}
}

// fetchSettings fetches the changes after a revision from a peer and applies them.
func (c *Cluster) fetchSettings(ctx context.Context, h heartbeatReport, since int64) error {
	start := time.Now()
	var answer settingsAnswer
	if err := c.settingsFetcher.fetch(ctx, h.from, peer.KindSettingsChanges, settingsRequest{Since: since}, &answer); err != nil {
		return err
	}
	var changes settings.Changes
	if err := decompress(answer.Compressed, &changes); err != nil {
		return err
	}
	c.Recorder.Log.Info("settings were fetched", "peer", h.from, "revision", changes.Revision, "since", changes.Since,
		"bytes", len(answer.Compressed), "unpacked", changes.Size(), "took_ms", time.Since(start).Milliseconds())
	err := c.Settings.Apply(changes, "peer "+h.from)
	if err != nil && !errors.Is(err, settings.ErrDigestMismatch) && c.Board.Settings.Rejected().Revision == changes.Revision {
		c.rejectedFromPeer.Store(changes.Revision)
	}
	return err
}
