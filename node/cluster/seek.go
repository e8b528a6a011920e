package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/rendezvous"
	"doorstack.dev/core/settings"
)

// Bounds of asking for a share out of turn.
const (
	shareRequestTimeout = 250 * time.Millisecond
	// minShareRequestInterval is the least time between two such questions for an account, so
	// that a flood of refused requests does not become a flood of questions.
	minShareRequestInterval = 250 * time.Millisecond
)

// shareRequest is a question for a share, under way or lately answered.
type shareRequest struct {
	sent time.Time
	done chan struct{}
}

// Seek implements requestcontrol.ShareRequester: it asks the account's owner for a
// lease at once, instead of at the next renewal. Requests that come while the
// question is under way wait for the same answer.
func (c *Cluster) RequestShare(ctx context.Context, account string, rules *settings.Rules, promptTokens int64) bool {
	now := time.Now()
	living, listed := c.Board.Members.Living()
	if listed <= 1 {
		return false
	}
	s, mine := c.startShareRequest(account, now)
	if !mine {
		return awaitShareRequest(ctx, s)
	}
	defer close(s.done)
	demand := max(1/rules.RequestsPerSecond, float64(promptTokens)/rules.PromptTokensPerSecond, 1/float64(rules.Concurrent))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shareRequestTimeout)
	defer cancel()
	c.renewAt(ctx, rendezvous.Owner(account, living), []renewal{c.renewalOf(account, min(1, demand), now)}, now)
	return true
}

// startSeek returns the question for an account, and whether it is the caller's
// to ask; nil means that one was asked too lately.
func (c *Cluster) startShareRequest(account string, now time.Time) (s *shareRequest, mine bool) {
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

// awaitShareRequest waits for a question's answer, if it is still under way. One that was
// answered just now may have been answered after the caller was refused.
func awaitShareRequest(ctx context.Context, s *shareRequest) bool {
	select {
	case <-s.done:
		return true
	case <-ctx.Done():
		return false
	}
}
