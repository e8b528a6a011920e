package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleetModel drives the state machines with the events of model/lease.pml: two
// daemons, three witnesses and a target that ignores fencing tokens.
type fleetModel struct {
	now         time.Time
	witnesses   [WitnessCount]*Witness
	owners      [2]*Owner
	inFlight    []order
	lastToken   int64         // token of the last executed order
	tokenOwners map[int64]int // index of the owner that uses a token
}

type order struct {
	fencingToken int64
	sent         time.Time
}

func (m *fleetModel) acquireRound(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "owner")
	o := m.owners[i]
	o.StartRound(WitnessCount, m.now)
	for _, w := range m.witnesses {
		if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
			continue
		}
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "delay ms")) * time.Millisecond)
		if w.Acquire(Request{"t", string(rune('a' + i))}, m.now) {
			o.AddGrant(m.now)
		}
	}
}

func (m *fleetModel) sendOrder(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "owner")
	o := m.owners[i]
	if !o.MayOrder(false, m.now) {
		return
	}
	if user, used := m.tokenOwners[o.FencingToken()]; used && user != i {
		t.Fatalf("fencing token %d is used by two owners", o.FencingToken())
	}
	m.tokenOwners[o.FencingToken()] = i
	m.inFlight = append(m.inFlight, order{o.FencingToken(), m.now})
}

func (m *fleetModel) deliverOrder(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "order")
	o := m.inFlight[at]
	m.inFlight = append(m.inFlight[:at:at], m.inFlight[at+1:]...)
	if m.now.Sub(o.sent) > SendTimeout {
		return // The sender has closed the connection.
	}
	if o.fencingToken < m.lastToken {
		t.Fatalf("order with fencing token %d was executed after token %d", o.fencingToken, m.lastToken)
	}
	m.lastToken = o.fencingToken
}

func TestOrdersOfEarlierOwnersAreNotExecutedLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{now: epoch, tokenOwners: map[int64]int{}}
		for i := range m.witnesses {
			m.witnesses[i] = NewWitness(epoch.Add(-time.Hour))
		}
		for i := range m.owners {
			m.owners[i] = &Owner{}
		}
		t.Repeat(map[string]func(*rapid.T){
			"round":  m.acquireRound,
			"send":   m.sendOrder,
			"arrive": m.deliverOrder,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) {
				m.witnesses[rapid.IntRange(0, WitnessCount-1).Draw(t, "witness")] = NewWitness(m.now)
			},
		})
	})
}

func TestNewOwnerWaitsUnlessTargetChecksFencing(t *testing.T) {
	var o Owner
	o.StartRound(1, epoch)
	o.AddGrant(epoch)
	if !o.MayOrder(true, epoch) || o.MayOrder(true, epoch.Add(TTL)) {
		t.Fatal("MayOrder for a target that checks fencing tokens: want true at the grant and false at the end of the lease")
	}
	if o.MayOrder(false, epoch.Add(SendTimeout)) || !o.MayOrder(false, epoch.Add(SendTimeout+1)) || o.MayOrder(false, epoch.Add(TTL)) {
		t.Fatal("MayOrder for a target that ignores fencing tokens: want true only between the end of the wait and the end of the lease")
	}
}
