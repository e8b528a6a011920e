package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/settings"
	"doorstack.dev/node/peer"
	"github.com/go-faster/errors"
)

// settingsRequest asks for what changed after a revision; zero asks for the whole.
type settingsRequest struct {
	Since int64 `cbor:"1,keyasint"`
}

// settingsAnswer holds packed changes.
type settingsAnswer struct {
	Compressed []byte `cbor:"1,keyasint"`
}

func (c *Cluster) serveChanges(_ context.Context, _ string, in settingsRequest) (settingsAnswer, error) {
	view := c.Board.Settings.Current()
	if view == nil {
		return settingsAnswer{}, errors.New("there are no settings here yet")
	}
	packed, err := c.changesCache.get(view.Snapshot, in.Since)
	return settingsAnswer{packed}, err
}

// revision is the settings revision in force, zero before the first.
func (c *Cluster) revision() int64 {
	if view := c.Board.Settings.Current(); view != nil {
		return view.Revision
	}
	return 0
}

// catchUp fetches settings that a peer has and this daemon has not.
func (c *Cluster) updateSettings(ctx context.Context, h heartbeatReport) {
	own := c.revision()
	if h.revision <= own || h.revision == c.Board.Settings.Rejected().Revision {
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
		// The peer did not see all the changes that this daemon saw.
		c.Recorder.Log.Info("a difference of settings does not fit; the whole is fetched", "peer", h.from, "revision", h.revision, "since", own)
		err = c.fetchSettings(ctx, h, 0)
	}
	if err != nil && !errors.Is(err, settings.ErrNotNewer) {
		c.Recorder.Log.Warn("settings could not be taken from a peer", "peer", h.from, "revision", h.revision, "error", err.Error())
	}
}

// fetchSettings fetches what changed after a revision and offers it.
func (c *Cluster) fetchSettings(ctx context.Context, h heartbeatReport, since int64) error {
	began := time.Now()
	var answer settingsAnswer
	if err := c.settingsFetcher.fetch(ctx, h.from, peer.KindSettingsChanges, settingsRequest{Since: since}, &answer); err != nil {
		return err
	}
	changes, err := decompressChanges(answer.Compressed)
	if err != nil {
		return err
	}
	c.Recorder.Log.Info("settings were fetched", "peer", h.from, "revision", changes.Revision, "since", changes.Since,
		"bytes", len(answer.Compressed), "unpacked", changes.Size(), "took_ms", time.Since(began).Milliseconds())
	return c.Settings.Apply(changes, "peer "+h.from)
}
