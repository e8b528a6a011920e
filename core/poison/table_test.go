package poison

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var request = KeyOf("/a", []byte("request"))

// recordCrashes notes ends at targets of different names and tells whether the request is refused then.
func recordCrashes(t *Table, k Key, moments ...time.Duration) bool {
	for i, m := range moments {
		t.RecordCrash(Crash{Request: k, Target: fmt.Sprint("t", i)}, at(m))
	}
	return t.Check(k, at(moments[len(moments)-1])).Quarantined
}

func TestQuarantineAfterThreeTargetCrashes(t *testing.T) {
	s := time.Second
	for name, c := range map[string]struct {
		ends []time.Duration
		want bool
	}{
		"two":                       {[]time.Duration{0, s}, false},
		"three in turn":             {[]time.Duration{0, s, 2 * s}, true},
		"two at once, then one":     {[]time.Duration{0, 0, s}, true},
		"many at one moment":        {[]time.Duration{0, 0, 0, s / 10, s / 10, s / 5}, false},
		"three, long after another": {[]time.Duration{0, 8 * 60 * s, 16 * 60 * s}, false},
	} {
		if got := recordCrashes(NewTable(), request, c.ends...); got != c.want {
			t.Errorf("%s: refused %v, want %v", name, got, c.want)
		}
	}
}

// TestCopiesAtOneTargetCountAsOneCrash: five copies of a request at one target are one end; its next
// process is another one.
func TestCopiesAtOneTargetCountAsOneCrash(t *testing.T) {
	table := NewTable()
	for i := range 5 {
		table.RecordCrash(Crash{Request: request, Target: "t"}, at(time.Duration(i)*100*time.Millisecond))
	}
	if table.Check(request, at(time.Second)).Quarantined {
		t.Fatal("one end counts more than once")
	}
	table.RecordCrash(Crash{Request: request, Target: "t"}, at(5*time.Second))
	if table.Check(request, at(5*time.Second)).Quarantined {
		t.Fatal("two ends are taken for three")
	}
	if !table.RecordCrash(Crash{Request: request, Target: "t"}, at(10*time.Second)).Quarantined {
		t.Fatal("three processes of one target ended, and the request is not refused")
	}
}

// TestCrashOfSuspectedRequestIsDistinct: a request that is sent on as soon as its target has ended.
func TestCrashOfSuspectedRequestIsDistinct(t *testing.T) {
	table := NewTable()
	for i := range 3 {
		c := Crash{Request: request, Target: fmt.Sprint("t", i), Suspected: table.Check(request, at(0)).Suspected}
		if refused := table.RecordCrash(c, at(0)).Quarantined; refused != (i == 2) {
			t.Errorf("after %d ends: refused %v", i+1, refused)
		}
	}
}

// TestSuccessClearsCrashesAndLiftsQuarantine: what was held against it is lifted, no end counts for a
// minute, and a peer that holds it against the request hears so.
func TestSuccessClearsCrashesAndLiftsQuarantine(t *testing.T) {
	here, there := NewTable(), NewTable()
	here.RecordCrash(Crash{Request: request, Target: "t0"}, at(0))
	here.RecordCrash(Crash{Request: request, Target: "t1"}, at(time.Second))
	here.RecordSuccess(request, at(2*time.Second))
	if recordCrashes(here, request, 3*time.Second, 4*time.Second, 5*time.Second) {
		t.Error("a request that was just answered is refused")
	}
	recordCrashes(there, request, 0, time.Second, 2*time.Second)
	for _, v := range there.Verdicts(at(6 * time.Second)) {
		answer, news := here.Merge(v, at(6*time.Second))
		if !news || !answer.Lifted {
			t.Fatalf("the verdict is taken as %+v", answer)
		}
		there.Merge(answer, at(6*time.Second))
	}
	for _, table := range []*Table{here, there} {
		if table.Check(request, at(6*time.Second)).Quarantined {
			t.Error("a sound request is refused")
		}
	}
	if !recordCrashes(there, request, 10*time.Second, 11*time.Second, 12*time.Second) {
		t.Error("three more ends are not held against it")
	}
	if later := 2*time.Second + successValidity; !recordCrashes(here, request, later+time.Second, later+2*time.Second, later+3*time.Second) {
		t.Error("an answer long ago protects it")
	}
}

// TestQuarantineTrials: once, by the daemon that may, and later each time that
// one more target has ended.
func TestQuarantineTrials(t *testing.T) {
	table := NewTable()
	now := at(2 * time.Second)
	recordCrashes(table, request, 0, time.Second, 2*time.Second)
	for trial, wait := range []time.Duration{firstTrialDelay, trialBackoffFactor * firstTrialDelay, trialBackoffFactor * trialBackoffFactor * firstTrialDelay} {
		early := now.Add(wait - time.Millisecond)
		if got := table.Check(request, early); got.TrialDue || got.RetryAfter > wait || table.StartTrial(request, early) {
			t.Fatalf("trial %d comes early: %+v", trial, got)
		}
		now = now.Add(wait)
		if got := table.Check(request, now); !got.TrialDue || !got.Quarantined || !table.StartTrial(request, now) {
			t.Fatalf("trial %d is not made: %+v", trial, got)
		}
		if table.StartTrial(request, now) {
			t.Fatal("it is tried twice at a time")
		}
		found := table.RecordCrash(Crash{Request: request, Target: "another", Suspected: true}, now.Add(time.Millisecond))
		if !found.Quarantined || found.Verdict.Count != uint32(trial+2) {
			t.Fatalf("after trial %d: %+v", trial, found)
		}
		now = now.Add(time.Millisecond)
	}
	if table.StartTrial(request, now.Add(firstTrialDelay)) {
		t.Error("it is tried as often as at first")
	}
	if v, lifted := table.RecordSuccess(request, now); !lifted || !v.Lifted || table.Check(request, now).Quarantined {
		t.Error("an answer does not lift it")
	}
}

// TestLateCrashesDoNotCountAsTrials: copies that were on their way end their targets after the quarantine.
func TestLateCrashesDoNotCountAsTrials(t *testing.T) {
	table := NewTable()
	recordCrashes(table, request, 0, time.Second, 2*time.Second)
	for i := range 5 {
		late := at(3*time.Second + time.Duration(i)*duplicateWindow)
		if table.RecordCrash(Crash{Request: request, Target: "late"}, late).Quarantined {
			t.Fatal("it counts")
		}
	}
	if !table.StartTrial(request, at(2*time.Second+firstTrialDelay)) {
		t.Error("the first trial is put off")
	}
}

// TestQuarantineExpires: ten minutes after the request was last asked for.
func TestQuarantineExpires(t *testing.T) {
	table := NewTable()
	recordCrashes(table, request, 0, time.Second, 2*time.Second)
	asked := at(retention)
	if !table.Check(request, asked).Quarantined {
		t.Fatal("it has ended too soon")
	}
	if !table.Check(request, asked.Add(retention-time.Second)).Quarantined {
		t.Fatal("asking does not renew it")
	}
	if table.Check(request, asked.Add(3*retention)).Quarantined {
		t.Fatal("it does not end")
	}
	if table.Digest(asked.Add(3*retention)) != 0 || !table.Empty() {
		t.Error("it is remembered for ever")
	}
}

// TestEvictionIsPerAccount: it invents requests under which targets end; what is held
// of others' stays, and the memory is bounded.
func TestEvictionIsPerAccount(t *testing.T) {
	table := NewTable()
	recordCrashes(table, request, 0, time.Second, 2*time.Second)
	now := at(3 * time.Second)
	for i := range 3 * maxRecordsPerAccount {
		body := binary.BigEndian.AppendUint32(nil, uint32(i))
		now = now.Add(time.Millisecond)
		table.RecordCrash(Crash{Request: KeyOf("/inventive", body), Target: "t"}, now)
		table.RecordSuccess(KeyOf("/another", body), now)
	}
	if !table.Check(request, now).Quarantined {
		t.Error("another account's request is forgotten")
	}
	if n := len(table.records); n > maxRecordsPerAccount+1 {
		t.Errorf("%d requests are remembered", n)
	}
	if n := len(table.successes.current) + len(table.successes.previous); n > maxSuccesses {
		t.Errorf("%d answers are remembered", n)
	}
	for account := range maxRecords / 8 {
		for i := range 10 {
			now = now.Add(time.Millisecond)
			table.RecordCrash(Crash{Request: KeyOf(fmt.Sprint("/", account), []byte{byte(i)}), Target: "t"}, now)
		}
	}
	if n := len(table.records); n > maxRecords {
		t.Errorf("%d requests are remembered of many accounts", n)
	}
	if !table.Check(request, now).Quarantined {
		t.Error("a quarantined request is forgotten for others that are not")
	}
}

// TestVerdictsConverge: whatever crashes and answers each of them sees, and in
// whatever order verdicts come, late and twice, all hold the same in the end.
func TestVerdictsConverge(t *testing.T) {
	keys := []Key{request, KeyOf("/a", []byte("other")), KeyOf("/b", []byte("request"))}
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		var told []Verdict
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			table := rapid.SampledFrom(tables).Draw(t, "table")
			k := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				target := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))
				if f := table.RecordCrash(Crash{Request: k, Target: target, Suspected: table.Check(k, now).Suspected}, now); f.Quarantined {
					told = append(told, f.Verdict)
				}
			case 2:
				if v, news := table.RecordSuccess(k, now); news {
					told = append(told, v)
				}
			case 3:
				if len(told) == 0 {
					continue
				}
				if v, news := table.Merge(rapid.SampledFrom(told).Draw(t, "verdict"), now); news {
					told = append(told, v)
				}
			case 4:
				if table.Check(k, now).TrialDue {
					table.StartTrial(k, now)
				}
			}
		}
		for range 3 { // What a daemon makes of a verdict is news to others.
			for _, from := range tables {
				for _, v := range from.Verdicts(now) {
					for _, to := range tables {
						to.Merge(v, now)
					}
				}
			}
		}
		for _, k := range keys {
			var refused []bool
			for _, table := range tables {
				refused = append(refused, table.Check(k, now).Quarantined)
			}
			if slices.Contains(refused, true) && slices.Contains(refused, false) {
				t.Fatalf("of %v: %v", k, refused)
			}
		}
		for _, table := range tables[1:] {
			if table.Digest(now) != tables[0].Digest(now) {
				t.Fatal("the digests differ")
			}
		}
	})
}
