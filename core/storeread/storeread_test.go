package storeread

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"doorstack.dev/core/hostlist"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestAnAnswerOfAnotherEra(t *testing.T) {
	var r Reader
	at := start
	if p := r.Next(time.Second, at); !p.Whole {
		t.Fatalf("the first call is %+v", p)
	}
	if r.ReadWhole(1, 50, at) != Take || r.Listed(40, at) != hostlist.At(1, 40) {
		t.Fatal("a first read of a store that never came back does not count in full")
	}
	if r.Watched(1, 60, at) != Take || r.Changed(55) != hostlist.At(1, 55) {
		t.Fatal("a change is not taken")
	}
	if r.Watched(2, 70, at) != Anew || !r.Next(time.Second, at).Whole {
		t.Fatal("the whole is not read after a return, though the store has later revisions than were read")
	}
	if r.ReadWhole(1, 65, at) != Ignore || r.ReadWhole(2, 45, at) != Take {
		t.Fatal("an answer that was on its way is not told from one of the new era")
	}
	if r.Listed(40, at) != hostlist.At(1, 40) || r.Changed(46) != hostlist.At(2, 46) {
		t.Error("what the copy may hold is not told from what was changed since")
	}
	if r.Watched(1, 66, at) != Ignore {
		t.Error("a watch of the era before counts")
	}
	p := r.Next(time.Minute, at.Add(time.Second))
	if p.Whole || p.After != 45 || p.Wait != Settles-time.Second {
		t.Errorf("before the era has settled the next call is %+v", p)
	}
	at = at.Add(Settles)
	if !r.Next(time.Minute, at).Whole || r.ReadWhole(2, 47, at) != Take || r.Listed(40, at) != hostlist.At(2, 40) {
		t.Error("when the era has settled the whole is not read, or does not count in full")
	}
	if p := r.Next(time.Minute, at); p.Whole {
		t.Errorf("it is read again: %+v", p)
	}
}

// TestADroppedHistory: what changed beyond what was read counts as of its era, at once.
func TestADroppedHistory(t *testing.T) {
	var r Reader
	r.ReadWhole(3, 50, start)
	r.HistoryGone()
	if !r.Next(time.Second, start).Whole || r.ReadWhole(3, 60, start) != Take {
		t.Fatal("the whole is not read")
	}
	if r.Listed(55, start) != hostlist.At(3, 55) || r.Listed(45, start) != hostlist.At(2, 45) {
		t.Errorf("%v, %v", r.Listed(55, start), r.Listed(45, start))
	}
}

// entry is a target's entry in the store of the model.
type entry struct {
	state    hostlist.State
	revision int64
}

// model is a store, the targets that write to it and the daemons that read it.
type model struct {
	t        *rapid.T
	now      time.Time
	era      int64
	revision int64
	entries  map[string]entry
	log      []change
	copies   []model // only what a store keeps
	// truth is what each target that lives would say of itself.
	truth   map[string]hostlist.State
	daemons []*daemon
	next    int
}

type change struct {
	id string
	entry
}

// daemon reads the store, or only hears of it from others.
type daemon struct {
	reader Reader
	table  *hostlist.Table
	left   map[string]bool // targets that it has known to leave or to be gone
}

func (m *model) write(id string, state hostlist.State) {
	m.revision++
	e := entry{state, m.revision}
	m.log = append(m.log, change{id, e})
	if state == hostlist.Gone {
		delete(m.entries, id)
		return
	}
	m.entries[id] = e
}

func (m *model) copy() {
	m.copies = append(m.copies, model{revision: m.revision, entries: maps.Clone(m.entries), log: slices.Clone(m.log), now: m.now})
}

// restore brings the store back from a copy. The targets write again what it lacks, and the
// entries of those that are dead run out, before the era has settled.
func (m *model) restore(c *model) {
	m.era++
	m.revision, m.entries, m.log = c.revision, maps.Clone(c.entries), slices.Clone(c.log)
	m.pass(rapid.IntRange(0, 1000).Draw(m.t, "away"))
	for _, d := range m.daemons {
		if rapid.Bool().Draw(m.t, "reads the copy") {
			m.read(d)
		}
	}
	ids := slices.Sorted(maps.Keys(m.entries))
	for id := range m.truth {
		if _, listed := m.entries[id]; !listed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		m.pass(rapid.IntRange(0, 100).Draw(m.t, "until it writes"))
		state, lives := m.truth[id]
		e, listed := m.entries[id]
		switch {
		case !lives && listed:
			m.write(id, hostlist.Gone)
		case lives && (!listed || e.state != state):
			m.write(id, state)
		}
		m.someRead()
	}
}

func (m *model) someRead() {
	d := rapid.SampledFrom(m.daemons).Draw(m.t, "reader")
	if rapid.Bool().Draw(m.t, "from the store") {
		m.read(d)
		return
	}
	m.hear(d, rapid.SampledFrom(m.daemons).Draw(m.t, "teller"))
}

// read makes a daemon's next call of the store.
func (m *model) read(d *daemon) {
	plan := d.reader.Next(0, m.now)
	if !plan.Whole {
		if plan.After > m.revision {
			d.reader.HistoryGone()
			plan.Whole = true
		} else if d.reader.Watched(m.era, m.revision, m.now) == Anew {
			plan.Whole = true
		}
	}
	facts := hostlist.Facts{Whole: plan.Whole}
	if plan.Whole {
		d.reader.ReadWhole(m.era, m.revision, m.now)
		for _, id := range slices.Sorted(maps.Keys(m.entries)) {
			facts.Hosts = append(facts.Hosts, host(id, m.entries[id].state, d.reader.Listed(m.entries[id].revision, m.now)))
		}
	} else {
		for _, c := range m.log {
			if c.revision > plan.After {
				facts.Hosts = append(facts.Hosts, host(c.id, c.state, d.reader.Changed(c.revision)))
			}
		}
	}
	facts.AsOf = d.reader.Position(plan.Whole, m.now)
	d.table.Merge(facts, m.now)
	m.check(d)
}

// hear takes in what another daemon knows and this one does not, as heartbeats make them do.
func (m *model) hear(d, from *daemon) {
	if from.table.Revision() > d.table.Revision() {
		d.table.Merge(from.table.Since(d.table.Revision()), m.now)
	}
	m.check(d)
}

func host(id string, state hostlist.State, at hostlist.Position) hostlist.Host {
	return hostlist.Host{ID: id, State: state, Revision: at}
}

func (m *model) pass(milliseconds int) {
	m.now = m.now.Add(time.Duration(milliseconds) * time.Millisecond)
	for _, d := range m.daemons {
		d.table.Tick(m.now)
	}
}

// check tells of a daemon that believes a target to live of which it knew that it leaves or has
// ended, as it does.
func (m *model) check(d *daemon) {
	believed := map[string]hostlist.State{}
	for _, h := range d.table.Hosts() {
		believed[h.ID] = h.State
	}
	for id := range d.left {
		if believed[id] == hostlist.Live {
			m.t.Fatalf("a daemon takes back that %s leaves or has ended", id)
		}
	}
	for i := range m.next {
		id := fmt.Sprint("t", i)
		if state, listed := believed[id]; (!listed || state == hostlist.Leaving) && d.knew(id) && m.truth[id] != hostlist.Live {
			d.left[id] = true
		}
	}
}

// knew tells whether the daemon has ever heard of a target.
func (d *daemon) knew(id string) bool {
	return slices.ContainsFunc(d.table.Since(0).Hosts, func(h hostlist.Host) bool { return h.ID == id })
}

// TestAnyOrderEndsInTheTruth: targets come, leave and end, the store comes back from copies, daemons
// read it or hear of it in any order. In the end all believe what is so, and on the way nobody
// takes back that a target leaves or has ended.
func TestAnyOrderEndsInTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: start, era: 1, entries: map[string]entry{}, truth: map[string]hostlist.State{}}
		for range 3 {
			m.daemons = append(m.daemons, &daemon{table: hostlist.NewTable(), left: map[string]bool{}})
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.pass(rapid.IntRange(0, 1500).Draw(t, "pause"))
			ids := slices.Sorted(maps.Keys(m.truth))
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				id := fmt.Sprint("t", m.next)
				m.next++
				m.truth[id] = hostlist.Live
				m.write(id, hostlist.Live)
			case 2:
				if len(ids) > 0 {
					id := rapid.SampledFrom(ids).Draw(t, "leaves")
					m.truth[id] = hostlist.Leaving
					m.write(id, hostlist.Leaving)
				}
			case 3:
				if len(ids) > 0 {
					id := rapid.SampledFrom(ids).Draw(t, "ends")
					delete(m.truth, id)
					m.write(id, hostlist.Gone)
				}
			case 4:
				m.copy()
			case 5:
				if len(m.copies) > 0 && m.now.Sub(m.copies[len(m.copies)-1].now) < 10*time.Second {
					m.restore(&m.copies[len(m.copies)-1])
					m.copies = nil
					m.pass(int(Settles.Milliseconds())) // One return at a time.
					for _, d := range m.daemons {
						m.read(d)
					}
				}
			case 6: // A daemon starts anew and knows nothing.
				m.daemons[rapid.IntRange(0, 2).Draw(t, "starts anew")] = &daemon{table: hostlist.NewTable(), left: map[string]bool{}}
			default:
				m.someRead()
			}
		}
		m.pass(int(Settles.Milliseconds()))
		for range 3 {
			m.pass(3000)
			for _, d := range m.daemons {
				m.read(d)
			}
			for _, d := range m.daemons {
				for _, from := range m.daemons {
					m.hear(d, from)
				}
			}
		}
		for i, d := range m.daemons {
			var got []string
			for _, h := range d.table.Hosts() {
				got = append(got, fmt.Sprint(h.ID, " ", h.State))
			}
			var want []string
			for _, id := range slices.SortedFunc(maps.Keys(m.truth), cmp.Compare[string]) {
				want = append(want, fmt.Sprint(id, " ", m.truth[id]))
			}
			if !slices.Equal(got, want) {
				t.Fatalf("daemon %d believes %v, want %v", i, got, want)
			}
		}
	})
}
