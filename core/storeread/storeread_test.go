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

var testStart = time.Unix(1_000_000, 0)

func TestReaderAcrossEras(t *testing.T) {
	var r Reader
	at := testStart
	if p := r.NextCall(time.Second, at); !p.Full {
		t.Fatalf("first NextCall = %+v, want a full read", p)
	}
	if r.HandleFullRead(1, 50, at) != Accept || r.ItemPosition(40, at) != hostlist.NewPosition(1, 40) {
		t.Fatal("first full read of era 1 is not accepted with positions in era 1")
	}
	if r.HandleWatch(1, 60, at) != Accept || r.ChangePosition(55) != hostlist.NewPosition(1, 55) {
		t.Fatal("watch answer of era 1 is not accepted with positions in era 1")
	}
	if r.HandleWatch(2, 70, at) != Reread || !r.NextCall(time.Second, at).Full {
		t.Fatal("watch answer of era 2 does not lead to a full read, although its revision is higher")
	}
	if r.HandleFullRead(1, 65, at) != Ignore || r.HandleFullRead(2, 45, at) != Accept {
		t.Fatal("late full read of era 1 is not ignored, or that of era 2 is not accepted")
	}
	if r.ItemPosition(40, at) != hostlist.NewPosition(1, 40) || r.ChangePosition(46) != hostlist.NewPosition(2, 46) {
		t.Error("item of an unsettled full read is not in era 1, or a change not in era 2")
	}
	if r.HandleWatch(1, 66, at) != Ignore {
		t.Error("late watch answer of era 1 is not ignored")
	}
	p := r.NextCall(time.Minute, at.Add(time.Second))
	if p.Full || p.After != 45 || p.Wait != SettleTime-time.Second {
		t.Errorf("NextCall 1 s into the era = %+v, want a watch after 45 for the rest of SettleTime", p)
	}
	at = at.Add(SettleTime)
	if !r.NextCall(time.Minute, at).Full || r.HandleFullRead(2, 47, at) != Accept || r.ItemPosition(40, at) != hostlist.NewPosition(2, 40) {
		t.Error("no full read of the settled era, or it is not accepted with positions in era 2")
	}
	if p := r.NextCall(time.Minute, at); p.Full {
		t.Errorf("NextCall after the full read of the settled era = %+v, want a watch", p)
	}
}

// A store that is empty is at revision zero. Read in full again and again, it would get calls without a pause.
func TestEmptyStoreIsWatched(t *testing.T) {
	var r Reader
	for era := range int64(3) {
		if r.HandleFullRead(era, 0, testStart) != Accept {
			t.Fatalf("the full read of era %d is not accepted", era)
		}
		if p := r.NextCall(time.Second, testStart); p.Full || p.After != 0 {
			t.Errorf("NextCall after the full read of an empty store = %+v, want a watch after 0", p)
		}
	}
}

// TestFullReadAfterHistoryGone checks that items changed after the last read have positions in
// the current era at once, before it has settled.
func TestFullReadAfterHistoryGone(t *testing.T) {
	var r Reader
	r.HandleFullRead(3, 50, testStart)
	r.HandleHistoryGone()
	if !r.NextCall(time.Second, testStart).Full || r.HandleFullRead(3, 60, testStart) != Accept {
		t.Fatal("NextCall after HandleHistoryGone asks for no full read, or it is not accepted")
	}
	if r.ItemPosition(55, testStart) != hostlist.NewPosition(3, 55) || r.ItemPosition(45, testStart) != hostlist.NewPosition(2, 45) {
		t.Errorf("ItemPosition(55) = %v, ItemPosition(45) = %v, want 3.55 and 2.45", r.ItemPosition(55, testStart), r.ItemPosition(45, testStart))
	}
}

// TestReadOfEmptyCopyIsRemembered covers a store restored from an empty copy, whose revision is
// zero: the items of the next full read used to be taken for items of the copy.
func TestReadOfEmptyCopyIsRemembered(t *testing.T) {
	var r Reader
	r.HandleFullRead(2, 0, testStart)
	r.HandleFullRead(2, 3, testStart)
	if r.ItemPosition(1, testStart) != hostlist.NewPosition(2, 1) {
		t.Errorf("ItemPosition(1) after a read up to 0 = %v, want 2.1", r.ItemPosition(1, testStart))
	}
}

// TestEmptyCopyReadBeforeTargetsWriteAgain covers two daemons of which one reads an empty copy, and the
// other reads once the first target has written again: the first daemon left out that target,
// told the other that it had ended, and the other ignored its entry in every later read.
func TestEmptyCopyReadBeforeTargetsWriteAgain(t *testing.T) {
	m := &model{now: testStart, era: 2, entries: map[string]entry{}, actual: map[string]hostlist.State{}}
	early, late := &daemon{table: hostlist.NewTable()}, &daemon{table: hostlist.NewTable()}
	m.daemons = []*daemon{early, late}
	m.read(early)
	m.write("t0", hostlist.Leaving)
	m.read(late)
	m.write("t1", hostlist.Live)
	m.read(early)
	m.syncFrom(late, early)
	m.advance(int(SettleTime.Milliseconds()))
	m.read(late)
	m.read(early)
	for name, d := range map[string]*daemon{"first": early, "second": late} {
		if hosts := d.table.Hosts(); len(hosts) != 2 || hosts[0].State != hostlist.Leaving {
			t.Errorf("%s daemon has %+v, want t0 leaving and t1 live", name, hosts)
		}
	}
}

// entry is a target's entry in the model's store.
type entry struct {
	state    hostlist.State
	revision int64
}

// model simulates a store, the targets that write to it and the daemons that read it.
type model struct {
	t        *rapid.T
	now      time.Time
	era      int64
	revision int64
	entries  map[string]entry
	log      []change
	copies   []model // with the fields of the store only
	// actual is the real state of each target that has not ended.
	actual map[string]hostlist.State
	// announced is where each target first wrote that it leaves, or where its entry was first removed.
	announced  map[string]hostlist.Position
	daemons    []*daemon
	nextTarget int
}

// change is a write in the store's log.
type change struct {
	id string
	entry
}

// daemon reads the store and gets updates from other daemons.
type daemon struct {
	reader     Reader
	table      *hostlist.Table
	seenEnding map[string]bool // targets that the daemon knew to be leaving or gone
}

// write records a target's new state in the store.
func (m *model) write(id string, state hostlist.State) {
	m.revision++
	e := entry{state, m.revision}
	m.log = append(m.log, change{id, e})
	if _, known := m.announced[id]; state != hostlist.Live && !known {
		if m.announced == nil {
			m.announced = map[string]hostlist.Position{}
		}
		m.announced[id] = hostlist.NewPosition(m.era, m.revision)
	}
	if state == hostlist.Gone {
		delete(m.entries, id)
		return
	}
	m.entries[id] = e
}

// takeCopy keeps a copy of the store to restore later.
func (m *model) takeCopy() {
	m.copies = append(m.copies, model{revision: m.revision, entries: maps.Clone(m.entries), log: slices.Clone(m.log), now: m.now})
}

// restore restores the store from a copy. Before the era has settled, the targets write again
// what the copy lacks, and the entries of ended targets expire.
func (m *model) restore(c *model) {
	m.era++
	m.revision, m.entries, m.log = c.revision, maps.Clone(c.entries), slices.Clone(c.log)
	m.advance(rapid.IntRange(0, 1000).Draw(m.t, "outage"))
	for _, d := range m.daemons {
		if rapid.Bool().Draw(m.t, "reads the copy") {
			m.read(d)
		}
	}
	ids := slices.Sorted(maps.Keys(m.entries))
	for id := range m.actual {
		if _, listed := m.entries[id]; !listed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		m.advance(rapid.IntRange(0, 100).Draw(m.t, "write delay"))
		state, alive := m.actual[id]
		e, listed := m.entries[id]
		switch {
		case !alive && listed:
			m.write(id, hostlist.Gone)
		case alive && (!listed || e.state != state):
			m.write(id, state)
		}
		m.randomRead()
	}
}

// randomRead makes one daemon read the store or another daemon.
func (m *model) randomRead() {
	d := rapid.SampledFrom(m.daemons).Draw(m.t, "reader")
	if rapid.Bool().Draw(m.t, "from the store") {
		m.read(d)
		return
	}
	m.syncFrom(d, rapid.SampledFrom(m.daemons).Draw(m.t, "source"))
}

// read makes a daemon's next call of the store.
func (m *model) read(d *daemon) {
	plan := d.reader.NextCall(0, m.now)
	if !plan.Full {
		if plan.After > m.revision {
			d.reader.HandleHistoryGone()
			plan.Full = true
		} else if d.reader.HandleWatch(m.era, m.revision, m.now) == Reread {
			plan.Full = true
		}
	}
	update := hostlist.Update{Full: plan.Full}
	if plan.Full {
		d.reader.HandleFullRead(m.era, m.revision, m.now)
		for _, id := range slices.Sorted(maps.Keys(m.entries)) {
			update.Hosts = append(update.Hosts, host(id, m.entries[id].state, d.reader.ItemPosition(m.entries[id].revision, m.now)))
		}
	} else {
		for _, c := range m.log {
			if c.revision > plan.After {
				update.Hosts = append(update.Hosts, host(c.id, c.state, d.reader.ChangePosition(c.revision)))
			}
		}
	}
	update.AsOf = d.reader.ReadPosition(plan.Full, m.now)
	d.table.Merge(update, m.now)
	m.checkNoReversal(d)
}

// syncFrom gives a daemon the updates that another one has and it lacks, as heartbeats do.
func (m *model) syncFrom(d, from *daemon) {
	if from.table.Revision() > d.table.Revision() {
		d.table.Merge(from.table.Since(d.table.Extent()), m.now)
	}
	m.checkNoReversal(d)
}

func host(id string, state hostlist.State, at hostlist.Position) hostlist.Host {
	return hostlist.Host{ID: id, State: state, Revision: at}
}

// advance moves the time on and ticks the daemons' tables.
func (m *model) advance(milliseconds int) {
	m.now = m.now.Add(time.Duration(milliseconds) * time.Millisecond)
	for _, d := range m.daemons {
		d.table.Tick(m.now)
	}
}

// checkNoReversal fails if a daemon takes a target for live after it rightly knew it to be
// leaving or ended.
func (m *model) checkNoReversal(d *daemon) {
	known := map[string]hostlist.State{}
	for _, h := range d.table.Hosts() {
		known[h.ID] = h.State
	}
	for id := range d.seenEnding {
		if known[id] == hostlist.Live {
			m.t.Fatalf("a daemon has %s as live, which it knew to be leaving or ended", id)
		}
	}
	for i := range m.nextTarget {
		id := fmt.Sprint("t", i)
		state, listed := known[id]
		if m.actual[id] != hostlist.Live && (listed && state == hostlist.Leaving || !listed && m.knowsEnd(d, id)) {
			d.seenEnding[id] = true
		}
	}
}

// knowsEnd reports whether the daemon's table has a removal of the target that is not older than what the target
// announced. An older one was concluded, while the target lived, from a list that lacked it.
func (m *model) knowsEnd(d *daemon, id string) bool {
	return slices.ContainsFunc(d.table.Since(hostlist.Extent{}).Hosts, func(h hostlist.Host) bool {
		return h.ID == id && h.State == hostlist.Gone && h.Revision >= m.announced[id]
	})
}

// TestTablesConvergeAcrossRestores checks that while targets start, leave and end and the store
// is restored from copies, daemons that read the store or each other in any order end with
// the real states, and never revert that a target leaves or has ended.
func TestTablesConvergeAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: testStart, era: 1, entries: map[string]entry{}, actual: map[string]hostlist.State{}}
		for range 3 {
			m.daemons = append(m.daemons, &daemon{table: hostlist.NewTable(), seenEnding: map[string]bool{}})
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.advance(rapid.IntRange(0, 1500).Draw(t, "pause"))
			ids := slices.Sorted(maps.Keys(m.actual))
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				id := fmt.Sprint("t", m.nextTarget)
				m.nextTarget++
				m.actual[id] = hostlist.Live
				m.write(id, hostlist.Live)
			case 2:
				if len(ids) > 0 {
					id := rapid.SampledFrom(ids).Draw(t, "leaves")
					m.actual[id] = hostlist.Leaving
					m.write(id, hostlist.Leaving)
				}
			case 3:
				if len(ids) > 0 {
					id := rapid.SampledFrom(ids).Draw(t, "ends")
					delete(m.actual, id)
					m.write(id, hostlist.Gone)
				}
			case 4:
				m.takeCopy()
			case 5:
				if len(m.copies) > 0 && m.now.Sub(m.copies[len(m.copies)-1].now) < 10*time.Second {
					m.restore(&m.copies[len(m.copies)-1])
					m.copies = nil
					m.advance(int(SettleTime.Milliseconds())) // The era settles before the next restore.
					for _, d := range m.daemons {
						m.read(d)
					}
				}
			case 6: // A daemon restarts with an empty table.
				m.daemons[rapid.IntRange(0, 2).Draw(t, "restarts")] = &daemon{table: hostlist.NewTable(), seenEnding: map[string]bool{}}
			default:
				m.randomRead()
			}
		}
		m.advance(int(SettleTime.Milliseconds()))
		for range 3 {
			m.advance(3000)
			for _, d := range m.daemons {
				m.read(d)
			}
			for _, d := range m.daemons {
				for _, from := range m.daemons {
					m.syncFrom(d, from)
				}
			}
		}
		for i, d := range m.daemons {
			var got []string
			for _, h := range d.table.Hosts() {
				got = append(got, fmt.Sprint(h.ID, " ", h.State))
			}
			var want []string
			for _, id := range slices.SortedFunc(maps.Keys(m.actual), cmp.Compare[string]) {
				want = append(want, fmt.Sprint(id, " ", m.actual[id]))
			}
			if !slices.Equal(got, want) {
				t.Fatalf("daemon %d has %v, want %v", i, got, want)
			}
		}
	})
}
