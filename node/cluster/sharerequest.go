package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/rendezvous"
	"doorstack.dev/core/settings"
)

// Bounds of requests for a share between renewals.
const (
	shareRequestTimeout = 250 * time.Millisecond
	// minShareRequestInterval is the least time between two such requests for an account,
	// so that many rejected calls do not cause as many requests.
	minShareRequestInterval = 250 * time.Millisecond
)

// shareRequest is a request for a share, in flight or recently answered.
type shareRequest struct {
	sent time.Time
	done chan struct{}
}

// RequestShare implements requestcontrol.ShareRequester. It asks the account's owner for a lease at
// once instead of at the next renewal. Calls that come while the request is in flight wait
// for the same answer.
func (c *Cluster) RequestShare(ctx context.Context, account string, rules *settings.Rules, promptTokens int64) bool {
	now := time.Now()
	living, listed := c.Board.Members.AliveNames()
	if listed <= 1 {
		return false
	}
	s, isNew := c.startShareRequest(account, now)
	if !isNew {
		return awaitShareRequest(ctx, s)
	}
	defer close(s.done)
	demand := max(1/rules.RequestsPerSecond, float64(promptTokens)/rules.PromptTokensPerSecond, 1/float64(rules.Concurrent))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shareRequestTimeout)
	defer cancel()
	c.renewAt(ctx, rendezvous.Owner(account, living), []renewal{c.renewalOf(account, min(1, demand), now)}, now)
	return true
}

// startShareRequest returns the current request for an account, and whether it is a new
// one, which the caller has to send. A request sent within minShareRequestInterval is
// returned instead of a new one.
func (c *Cluster) startShareRequest(account string, now time.Time) (s *shareRequest, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.shareRequests[account]
	if last != nil && now.Sub(last.sent) < minShareRequestInterval {
		return last, false
	}
	s = &shareRequest{sent: now, done: make(chan struct{})}
	c.shareRequests[account] = s
	return s, true
}

// awaitShareRequest waits until a request is finished, and reports whether it finished
// before ctx ended. A request that had finished before gives true as well: its lease may
// have come after the limits refused the call, so they are worth checking again.
func awaitShareRequest(ctx context.Context, s *shareRequest) bool {
	select {
	case <-s.done:
		return true
	case <-ctx.Done():
		return false
	}
}
