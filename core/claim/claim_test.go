package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleetModel runs the state machines of this package through the events of model/claim.pml and
// checks the invariant: a key is sent at most once.
type fleetModel struct {
	now               time.Time
	witnesses         map[string]*Witness
	histories         []*History // one per claiming daemon
	revision          int64
	hosts             []string
	nextHost          int
	claims            []*modelClaim
	creationTimeKnown bool
	keyCreated        time.Time
	sends             int
}

type modelClaim struct {
	claimer *Claimer
	open    []string
	ended   bool
}

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{now: epoch, witnesses: map[string]*Witness{}, creationTimeKnown: rapid.Bool().Draw(t, "creation time known")}
	for range 6 {
		m.addHost()
	}
	for range 2 {
		m.histories = append(m.histories, &History{})
	}
	m.publish()
	// All witnesses are old enough to grant any key.
	m.now = m.now.Add(RetryWindow + time.Minute)
	m.keyCreated = m.now
	m.readLists()
	return m
}

func (m *fleetModel) addHost() {
	name := fmt.Sprint("h", m.nextHost)
	m.nextHost++
	m.hosts = append(m.hosts, name)
	m.witnesses[name] = NewWitness(m.now)
}

func (m *fleetModel) publish() {
	m.revision++
	list := HostList{Revision: m.revision, Published: m.now, Hosts: append([]string(nil), m.hosts...)}
	for _, h := range m.histories {
		h.lists = append(h.lists, list)
	}
}

func (m *fleetModel) readLists() {
	for _, h := range m.histories {
		h.confirmed = m.now
	}
}

// creationTime returns the creation time that claimers read from the key.
func (m *fleetModel) creationTime() CreationTime {
	return CreationTime{Known: m.creationTimeKnown, At: m.keyCreated}
}

func (m *fleetModel) claim(t *rapid.T) {
	if len(m.claims) >= 5 {
		return
	}
	h := m.histories[rapid.IntRange(0, 1).Draw(t, "daemon")]
	r := Request{Key: "k", Attempt: fmt.Sprint("a", len(m.claims)), Holder: "d", Created: m.creationTime()}
	if !h.Fresh(m.now) {
		return
	}
	c := NewClaimer(r, h.Sets(r, m.now), m.now)
	m.claims = append(m.claims, &modelClaim{claimer: c, open: c.Witnesses()})
}

// deliver lets one witness answer one claim, or drops the message.
func (m *fleetModel) deliver(t *rapid.T) {
	if len(m.claims) == 0 {
		return
	}
	c := rapid.SampledFrom(m.claims).Draw(t, "claim")
	if len(c.open) == 0 {
		return
	}
	at := rapid.IntRange(0, len(c.open)-1).Draw(t, "witness")
	name := c.open[at]
	c.open = append(c.open[:at:at], c.open[at+1:]...)
	w := m.witnesses[name]
	if w == nil || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		c.claimer.RecordNoAnswer(name)
		return
	}
	c.claimer.Receive(name, w.Claim(c.claimer.Request, m.now))
}

// sendOrGiveUp lets a claimer send or give up, at any time after its answers.
func (m *fleetModel) sendOrGiveUp(t *rapid.T) {
	if len(m.claims) == 0 {
		return
	}
	c := rapid.SampledFrom(m.claims).Draw(t, "claim")
	if c.ended {
		return
	}
	if c.claimer.State() == Won {
		c.ended = true
		if c.claimer.MaySend(m.now) {
			m.sends++
		}
		return
	}
	if c.claimer.GiveUp() {
		c.ended = true
		for _, name := range c.claimer.Witnesses() {
			if w := m.witnesses[name]; w != nil {
				w.GiveUp("k", c.claimer.Request.Attempt)
			}
		}
	}
}

func (m *fleetModel) restart(t *rapid.T) {
	name := rapid.SampledFrom(m.hosts).Draw(t, "host")
	m.witnesses[name] = NewWitness(m.now)
}

func (m *fleetModel) replace(t *rapid.T) {
	at := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	// The old host may still run on the other side of a partition: its witness still answers.
	m.hosts = append(m.hosts[:at:at], m.hosts[at+1:]...)
	m.addHost()
	m.publish()
}

func (m *fleetModel) passTime(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
		10 * time.Millisecond, time.Second, 20 * time.Second, 4 * time.Minute,
	}).Draw(t, "wait"))
	m.readLists()
}

// TestKeyIsSentAtMostOnce checks the invariant of the specification on the state machines that
// run in production.
func TestKeyIsSentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.claim,
			"deliver": m.deliver,
			"act":     m.sendOrGiveUp,
			"restart": m.restart,
			"replace": m.replace,
			"wait":    m.passTime,
			"": func(t *rapid.T) {
				if m.sends > 1 {
					t.Fatalf("the key was sent %d times, want at most once", m.sends)
				}
			},
		})
	})
}

func historyOf(hosts ...string) *History {
	h := &History{}
	h.Add(HostList{Revision: 1, Published: epoch, Hosts: hosts}, epoch)
	return h
}

func TestSingleDaemonGrantsNewKeyAtOnce(t *testing.T) {
	w := NewWitness(epoch)
	now := epoch.Add(MaxClockSkew + time.Second)
	r := Request{Key: "k", Attempt: "a", Created: CreationTime{Known: true, At: now}}
	c := NewClaimer(r, historyOf("d1").Sets(r, now), now)
	c.Receive("d1", w.Claim(r, now))
	if !c.MaySend(now) {
		t.Fatal("MaySend() = false for a new key that the only daemon granted itself, want true")
	}
	old := Request{Key: "other", Attempt: "a", Created: CreationTime{}}
	if reply := w.Claim(old, now); reply.Answer != WitnessTooNew {
		t.Fatalf("Claim of a key of unknown creation time at a new witness = %v, want %v", reply.Answer, WitnessTooNew)
	}
}

func TestExpiredPermitForbidsSend(t *testing.T) {
	w := NewWitness(epoch)
	now := epoch.Add(time.Hour)
	r := Request{Key: "k", Attempt: "a"}
	c := NewClaimer(r, [][]string{{"d1"}}, now)
	c.Receive("d1", w.Claim(r, now))
	if c.State() != Won || c.MaySend(now.Add(PermitTTL)) {
		t.Fatalf("State() = %v, MaySend() after PermitTTL = %v; want %v, false", c.State(), c.MaySend(now.Add(PermitTTL)), Won)
	}
	if c.GiveUp() {
		t.Fatal("GiveUp() of a won claim = true, want false, since the call may have been sent")
	}
}

func TestCreationTimeOfReadsOnlyUUIDv7(t *testing.T) {
	id := uuid.Must(uuid.NewV7())
	created := CreationTimeOf(id.String())
	if !created.Known || time.Since(created.At) > time.Minute {
		t.Fatalf("CreationTimeOf(%q) = %+v, want the current time", id, created)
	}
	for _, key := range []string{"booking-1", uuid.NewString(), ""} {
		if CreationTimeOf(key).Known {
			t.Errorf("CreationTimeOf(%q).Known = true, want false", key)
		}
	}
}

func TestWitnessRemovesExpiredKeys(t *testing.T) {
	w := NewWitness(epoch)
	now := epoch.Add(time.Hour)
	for i := range 1000 {
		w.Claim(Request{Key: fmt.Sprint(i), Attempt: "a", Created: CreationTime{Known: true, At: now}}, now)
	}
	if w.Counts().Keys != 1000 {
		t.Fatalf("Counts() after 1000 claims = %+v, want 1000 keys", w.Counts())
	}
	w.RemoveExpired(now.Add(ClaimWindow + 2*MaxClockSkew))
	if w.Counts().Keys != 0 {
		t.Fatalf("Counts().Keys after all keys have expired = %d, want 0", w.Counts().Keys)
	}
}

func BenchmarkWitnessClaim(b *testing.B) {
	now := epoch.Add(time.Hour)
	w := NewWitness(epoch)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		w.Claim(Request{Key: "account|route|01234567-89ab-7def-8123-" + fmt.Sprintf("%012d", i), Attempt: "01234567-89ab-7def-8123-456789abcdef", Holder: "daemon-1", Created: CreationTime{Known: true, At: now}}, now)
		now = now.Add(time.Millisecond)
	}
}
