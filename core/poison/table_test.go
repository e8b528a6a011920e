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

// recordCrashes records a crash of a different target at each of the times, and reports whether
// the request is then quarantined.
func recordCrashes(t *Table, k Key, times ...time.Duration) bool {
	for i, d := range times {
		t.RecordCrash(Crash{Request: k, Target: fmt.Sprint("t", i)}, at(d))
	}
	return t.Check(k, at(times[len(times)-1])).Quarantined
}

func TestQuarantineAfterThreeTargetCrashes(t *testing.T) {
	s := time.Second
	for name, c := range map[string]struct {
		times []time.Duration
		want  bool
	}{
		"two":                       {[]time.Duration{0, s}, false},
		"three in turn":             {[]time.Duration{0, s, 2 * s}, true},
		"two at one time, then one": {[]time.Duration{0, 0, s}, true},
		"many at one time":          {[]time.Duration{0, 0, 0, s / 10, s / 10, s / 5}, false},
		"three, far apart in time":  {[]time.Duration{0, 8 * 60 * s, 16 * 60 * s}, false},
	} {
		if got := recordCrashes(NewTable(), request, c.times...); got != c.want {
			t.Errorf("%s: quarantined = %v, want %v", name, got, c.want)
		}
	}
}

// TestCopiesAtOneTargetCountAsOneCrash runs five copies of a request at one target, which fail
// together. A crash of the target's next process counts again.
func TestCopiesAtOneTargetCountAsOneCrash(t *testing.T) {
	table := NewTable()
	for i := range 5 {
		table.RecordCrash(Crash{Request: request, Target: "t"}, at(time.Duration(i)*100*time.Millisecond))
	}
	if table.Check(request, at(time.Second)).Quarantined {
		t.Fatal("Check after one crash with five copies: quarantined, want only suspected")
	}
	table.RecordCrash(Crash{Request: request, Target: "t"}, at(5*time.Second))
	if table.Check(request, at(5*time.Second)).Quarantined {
		t.Fatal("Check after two crashes: quarantined, want only suspected")
	}
	if !table.RecordCrash(Crash{Request: request, Target: "t"}, at(10*time.Second)).Quarantined {
		t.Fatal("RecordCrash of the third process of one target: not quarantined, want quarantined")
	}
}

// TestCrashOfSuspectedRequestIsDistinct covers a request that is sent to the next target right
// after a crash: the crashes are separate events, although they happen at the same time.
func TestCrashOfSuspectedRequestIsDistinct(t *testing.T) {
	table := NewTable()
	for i := range 3 {
		c := Crash{Request: request, Target: fmt.Sprint("t", i), Suspected: table.Check(request, at(0)).Suspected}
		if quarantined := table.RecordCrash(c, at(0)).Quarantined; quarantined != (i == 2) {
			t.Errorf("RecordCrash number %d: quarantined = %v, want %v", i+1, quarantined, i == 2)
		}
	}
}

// TestSuccessClearsCrashesAndLiftsQuarantine checks that a success clears earlier crashes, that
// crashes within successValidity after it do not count, and that the daemon answers another daemon's
// quarantine with a verdict that lifts it at both.
func TestSuccessClearsCrashesAndLiftsQuarantine(t *testing.T) {
	local, remote := NewTable(), NewTable()
	local.RecordCrash(Crash{Request: request, Target: "t0"}, at(0))
	local.RecordCrash(Crash{Request: request, Target: "t1"}, at(time.Second))
	local.RecordSuccess(request, at(2*time.Second))
	if recordCrashes(local, request, 3*time.Second, 4*time.Second, 5*time.Second) {
		t.Error("Check after three crashes just after a success: quarantined, want not quarantined")
	}
	recordCrashes(remote, request, 0, time.Second, 2*time.Second)
	for _, v := range remote.Verdicts(at(6 * time.Second)) {
		merged, isNew := local.Merge(v, at(6*time.Second))
		if !isNew || !merged.Lifted {
			t.Fatalf("Merge(%+v) after a success = %+v, %v, want a new verdict that lifts the quarantine", v, merged, isNew)
		}
		remote.Merge(merged, at(6*time.Second))
	}
	for _, table := range []*Table{local, remote} {
		if table.Check(request, at(6*time.Second)).Quarantined {
			t.Error("Check after the quarantine was lifted: quarantined, want not quarantined")
		}
	}
	if !recordCrashes(remote, request, 10*time.Second, 11*time.Second, 12*time.Second) {
		t.Error("Check after three more crashes: not quarantined, want quarantined")
	}
	if later := 2*time.Second + successValidity; !recordCrashes(local, request, later+time.Second, later+2*time.Second, later+3*time.Second) {
		t.Error("Check after three crashes later than successValidity: not quarantined, want quarantined")
	}
}

// TestQuarantineTrials checks that a trial is allowed once per delay, that the delay grows with
// each trial that crashes its target, and that a success lifts the quarantine.
func TestQuarantineTrials(t *testing.T) {
	table := NewTable()
	now := at(2 * time.Second)
	recordCrashes(table, request, 0, time.Second, 2*time.Second)
	for trial, wait := range []time.Duration{firstTrialDelay, trialBackoffFactor * firstTrialDelay, trialBackoffFactor * trialBackoffFactor * firstTrialDelay} {
		early := now.Add(wait - time.Millisecond)
		if got := table.Check(request, early); got.TrialDue || got.RetryAfter > wait || table.StartTrial(request, early) {
			t.Fatalf("Check before trial %d: %+v, want no trial due, a RetryAfter of at most %v and StartTrial false", trial, got, wait)
		}
		now = now.Add(wait)
		if got := table.Check(request, now); !got.TrialDue || !got.Quarantined || !table.StartTrial(request, now) {
			t.Fatalf("Check at trial %d: %+v, want quarantined with a trial due and StartTrial true", trial, got)
		}
		if table.StartTrial(request, now) {
			t.Fatalf("StartTrial during trial %d = true, want false", trial)
		}
		result := table.RecordCrash(Crash{Request: request, Target: "another", Suspected: true}, now.Add(time.Millisecond))
		if !result.Quarantined || result.Verdict.Count != uint32(trial+2) {
			t.Fatalf("RecordCrash in trial %d = %+v, want quarantined with count %d", trial, result, trial+2)
		}
		now = now.Add(time.Millisecond)
	}
	if table.StartTrial(request, now.Add(firstTrialDelay)) {
		t.Error("StartTrial after firstTrialDelay = true, want a longer delay after failed trials")
	}
	if v, lifted := table.RecordSuccess(request, now); !lifted || !v.Lifted || table.Check(request, now).Quarantined {
		t.Error("the quarantine holds after RecordSuccess, want it lifted")
	}
}

// TestLateCrashesDoNotCountAsTrials covers copies that were sent before the quarantine and crash
// their targets after its start.
func TestLateCrashesDoNotCountAsTrials(t *testing.T) {
	table := NewTable()
	recordCrashes(table, request, 0, time.Second, 2*time.Second)
	for i := range 5 {
		late := at(3*time.Second + time.Duration(i)*duplicateWindow)
		if table.RecordCrash(Crash{Request: request, Target: "late"}, late).Quarantined {
			t.Fatal("RecordCrash of a copy sent before the quarantine began another one, want no new quarantine")
		}
	}
	if !table.StartTrial(request, at(2*time.Second+firstTrialDelay)) {
		t.Error("StartTrial after firstTrialDelay = false, want true in spite of the late crashes")
	}
}

// TestQuarantineExpires checks that a quarantine expires when no caller has sent the request for
// longer than retention.
func TestQuarantineExpires(t *testing.T) {
	table := NewTable()
	recordCrashes(table, request, 0, time.Second, 2*time.Second)
	asked := at(retention)
	if !table.Check(request, asked).Quarantined {
		t.Fatal("Check less than retention after the last crash: not quarantined, want quarantined")
	}
	if !table.Check(request, asked.Add(retention-time.Second)).Quarantined {
		t.Fatal("Check less than retention after the last Check: not quarantined, want quarantined")
	}
	if table.Check(request, asked.Add(3*retention)).Quarantined {
		t.Fatal("Check long after the last Check: quarantined, want expired")
	}
	if table.Digest(asked.Add(3*retention)) != 0 || !table.Empty() {
		t.Error("the table holds an expired record, want it empty")
	}
}

// TestEvictionIsPerAccount lets one account crash targets with ever new requests: the records of
// other accounts stay, and the size of the table is bounded.
func TestEvictionIsPerAccount(t *testing.T) {
	table := NewTable()
	recordCrashes(table, request, 0, time.Second, 2*time.Second)
	now := at(3 * time.Second)
	for i := range 3 * maxRecordsPerAccount {
		body := binary.BigEndian.AppendUint32(nil, uint32(i))
		now = now.Add(time.Millisecond)
		table.RecordCrash(Crash{Request: KeyOf("/many", body), Target: "t"}, now)
		table.RecordSuccess(KeyOf("/another", body), now)
	}
	if !table.Check(request, now).Quarantined {
		t.Error("Check of another account's request: not quarantined, want its record kept")
	}
	if n := len(table.records); n > maxRecordsPerAccount+1 {
		t.Errorf("%d records, want at most %d", n, maxRecordsPerAccount+1)
	}
	if n := len(table.successes.current) + len(table.successes.previous); n > maxSuccesses {
		t.Errorf("%d successes, want at most %d", n, maxSuccesses)
	}
	for account := range maxRecords / 8 {
		for i := range 10 {
			now = now.Add(time.Millisecond)
			table.RecordCrash(Crash{Request: KeyOf(fmt.Sprint("/", account), []byte{byte(i)}), Target: "t"}, now)
		}
	}
	if n := len(table.records); n > maxRecords {
		t.Errorf("%d records of many accounts, want at most %d", n, maxRecords)
	}
	if !table.Check(request, now).Quarantined {
		t.Error("the record of a quarantined request was evicted before those of others")
	}
}

// TestVerdictsConverge gives each daemon random crashes and successes, and verdicts late, repeated
// and in any order. After an exchange of all verdicts the daemons must agree.
func TestVerdictsConverge(t *testing.T) {
	keys := []Key{request, KeyOf("/a", []byte("other")), KeyOf("/b", []byte("request"))}
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		var sent []Verdict
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			table := rapid.SampledFrom(tables).Draw(t, "table")
			k := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				target := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))
				if f := table.RecordCrash(Crash{Request: k, Target: target, Suspected: table.Check(k, now).Suspected}, now); f.Quarantined {
					sent = append(sent, f.Verdict)
				}
			case 2:
				if v, lifted := table.RecordSuccess(k, now); lifted {
					sent = append(sent, v)
				}
			case 3:
				if len(sent) == 0 {
					continue
				}
				if v, isNew := table.Merge(rapid.SampledFrom(sent).Draw(t, "verdict"), now); isNew {
					sent = append(sent, v)
				}
			case 4:
				if table.Check(k, now).TrialDue {
					table.StartTrial(k, now)
				}
			}
		}
		for range 3 { // Merging can change a verdict, so one round is not enough.
			for _, from := range tables {
				for _, v := range from.Verdicts(now) {
					for _, to := range tables {
						to.Merge(v, now)
					}
				}
			}
		}
		for _, k := range keys {
			var quarantined []bool
			for _, table := range tables {
				quarantined = append(quarantined, table.Check(k, now).Quarantined)
			}
			if slices.Contains(quarantined, true) && slices.Contains(quarantined, false) {
				t.Fatalf("quarantined for request %v at each daemon = %v, want all equal", k, quarantined)
			}
		}
		for _, table := range tables[1:] {
			if table.Digest(now) != tables[0].Digest(now) {
				t.Fatalf("Digest = %x, want %x as at the first daemon", table.Digest(now), tables[0].Digest(now))
			}
		}
	})
}
