package cluster

import (
	"slices"
	"time"

	"doorstack.dev/core/coordination"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/rendezvous"
	"doorstack.dev/node/admin"
	"doorstack.dev/node/blackboard"
)

// candidates are the daemons that may coordinate a pool, the first choice first. They are ranked once for
// each change of the members.
type candidates struct {
	view   *blackboard.MembersView
	ranked []coordination.Candidate
}

// rankingOf returns the daemons that may coordinate a pool, the first choice first. The result must not be changed.
func (p *Placer) rankingOf(pool string) []coordination.Candidate {
	view := p.cluster.Board.Members.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.candidates[pool]
	if known.view != view {
		known = candidates{view, rankCandidates(pool, p.cluster.Board.Self.Name, view.Members)}
		p.candidates[pool] = known
	}
	return known.ranked
}

// askableRanking returns a pool's ranking, to which weaker hosts are added while none of the strong ones can
// coordinate.
func (p *Placer) askableRanking(pool string, now time.Time) []coordination.Candidate {
	ranked := p.rankingOf(pool)
	self, draining := p.cluster.Board.Self.Name, p.cluster.Board.Phase() == blackboard.Draining
	usable := func(name string) bool {
		if name == self {
			return !draining
		}
		return p.links.usable(name, now)
	}
	if slices.ContainsFunc(ranked, func(c coordination.Candidate) bool { return usable(c.Name) }) {
		return ranked
	}
	others := slices.DeleteFunc(slices.Clone(p.cluster.Board.Members.View().Members), func(m membership.Member) bool { return !usable(m.Name) })
	return slices.Concat(ranked, rankCandidates(pool, self, others))
}

// coordinatorOf returns a pool's coordinator: the first candidate that can coordinate as far as this daemon knows.
func (p *Placer) coordinatorOf(pool string, now time.Time) coordination.Candidate {
	self, draining := p.cluster.Board.Self.Name, p.cluster.Board.Phase() == blackboard.Draining
	for _, c := range p.askableRanking(pool, now) {
		if c.Name == self && !draining || c.Name != self && p.links.usable(c.Name, now) {
			return c
		}
	}
	return coordination.Candidate{Name: self}
}

// status returns which daemon is asked for the placements of a pool's calls.
func (p *Placer) status(pool string, now time.Time) admin.CoordinatorStatus {
	s := admin.CoordinatorStatus{Pool: pool, Coordinator: p.coordinatorOf(pool, now).Name}
	s.First = s.Coordinator
	if ranking := p.rankingOf(pool); len(ranking) > 0 {
		s.First = ranking[0].Name
	}
	if s.First == p.cluster.Board.Self.Name {
		s.State = "this daemon"
		return s
	}
	p.links.mu.Lock()
	defer p.links.mu.Unlock()
	s.State = p.links.peers.State(s.First).String()
	s.RoundTrip, _ = p.links.peers.RTT(s.First)
	return s
}

// rankCandidates returns the daemons that may coordinate a pool in the pool's rendezvous order. Only daemons
// on strong hosts are considered (see membership.StrongMembers), since a coordinator handles two to four
// frames for each call of the fleet.
func rankCandidates(pool, self string, members []membership.Member) []coordination.Candidate {
	eligible := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.Name != self && (m.State != membership.Alive || m.Leaving)
	})
	incarnations := map[string]int64{}
	var names []string
	for _, m := range membership.StrongMembers(eligible) {
		names = append(names, m.Name)
		incarnations[m.Name] = m.Incarnation
	}
	ranked := make([]coordination.Candidate, 0, len(names))
	for _, name := range rendezvous.Top("place "+pool, names, len(names)) {
		ranked = append(ranked, coordination.Candidate{Name: name, Incarnation: incarnations[name]})
	}
	return ranked
}
