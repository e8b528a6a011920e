package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func claim(id string, owner Owner, at time.Time) Claim {
	return NewClaim(KeyOf(id, []byte("POST"), []byte("/a")), owner, at, 3*time.Second)
}

// TestOnlyOneOwnerSendsRequest guards against a second owner that sends a request before no repeat of it is expected any more.
func TestOnlyOneOwnerSendsRequest(t *testing.T) {
	l := NewLedger()
	first := claim("id", 1, start)
	if !l.Begin(first, start) || !l.Begin(first, start.Add(time.Second)) {
		t.Fatal("the first owner may not send, want that it may, also after its send was rejected")
	}
	for _, later := range []time.Duration{0, 3 * time.Second, 6 * time.Second, minRetention - 1} {
		if l.Begin(claim("id", 2, start.Add(later)), start.Add(later)) {
			t.Errorf("a repeat %v later may be sent", later)
		}
	}
	if !l.Begin(claim("id", 2, start.Add(minRetention)), start.Add(minRetention)) {
		t.Error("the id cannot be used again after minRetention")
	}
}

// TestRequestIsRememberedForTheTimesOfItsCaller guards against a repeat that is sent although no library would have given up: callers
// with a short time send several, those with a long one send late.
func TestRequestIsRememberedForTheTimesOfItsCaller(t *testing.T) {
	for _, waits := range []time.Duration{5 * time.Millisecond, time.Second, time.Minute, 10 * time.Minute} {
		l := NewLedger()
		l.Begin(NewClaim(KeyOf("id"), 1, start, waits), start)
		last := max(callerTimes*waits, 2*time.Minute) - 1
		if repeat := NewClaim(KeyOf("id"), 2, start.Add(last), waits); l.Begin(repeat, start.Add(last)) {
			t.Errorf("a repeat %v later may be sent, whose caller waits for %v", last, waits)
		}
	}
}

// TestWithdrawnRequestMayComeAgain guards against the refusal of a request that was told to come back.
func TestWithdrawnRequestMayComeAgain(t *testing.T) {
	l := NewLedger()
	l.Begin(claim("id", 1, start), start)
	l.Withdraw(claim("id", 2, start), start)
	if l.Begin(claim("id", 2, start), start) {
		t.Error("an owner without a claim has withdrawn another's")
	}
	l.Withdraw(claim("id", 1, start), start)
	if !l.Begin(claim("id", 2, start), start) {
		t.Error("a withdrawn request may not be sent")
	}
}

// TestClaimIsNotMadeAfterItsWithdrawal guards against a request that is refused as a repeat for good although it was never sent, because the
// withdrawal of its claim has overtaken the claim.
func TestClaimIsNotMadeAfterItsWithdrawal(t *testing.T) {
	l := NewLedger()
	first := claim("id", 1, start)
	l.Withdraw(first, start)
	l.Begin(first, start)
	if l.Claimed("id", start) {
		t.Error("a claim that was withdrawn before it was made is known")
	}
	if !l.Begin(claim("id", 2, start), start) {
		t.Error("another arrival may not be sent")
	}
	if l.Begin(claim("id", 3, start), start) {
		t.Error("a third arrival may be sent beside the second")
	}
	l.Withdraw(claim("id", 2, start), start)
	l.Begin(claim("id", 3, start.Add(minRetention)), start.Add(minRetention))
	if l.Len() != 1 || len(l.byID) != 1 {
		t.Errorf("%d claims and %d ids, want those of the last arrival", l.Len(), len(l.byID))
	}
}

// TestClaimedIDIsKnownUntilItIsWithdrawn guards against a refusal that says that a request has not run, of a repeat whose body has not
// been read.
func TestClaimedIDIsKnownUntilItIsWithdrawn(t *testing.T) {
	l := NewLedger()
	l.Begin(claim("id", 1, start), start)
	l.Begin(claim("id", 1, start), start)
	other := NewClaim(KeyOf("id", []byte("other")), 2, start, time.Second)
	l.Begin(other, start)
	l.Withdraw(other, start)
	if !l.Claimed("id", start) || l.Claimed("another", start) {
		t.Error("a claimed id is not known, or another is")
	}
	l.Withdraw(claim("id", 1, start), start)
	if l.Claimed("id", start) {
		t.Error("an id without claims is known")
	}
}

// TestRequestsWithOneIDAreKeptApart guards against refusals where a caller uses one id for different requests.
func TestRequestsWithOneIDAreKeptApart(t *testing.T) {
	keys := map[Key]bool{}
	for _, parts := range [][]string{{"POST", "/a"}, {"POST", "/b"}, {"GET", "/a"}, {"POST/", "a"}, {"POST", "/a", ""}, {"POST", "/a", "body"}} {
		var content [][]byte
		for _, p := range parts {
			content = append(content, []byte(p))
		}
		keys[KeyOf("id", content...)] = true
	}
	if len(keys) != 6 {
		t.Errorf("%d keys of 6 different requests", len(keys))
	}
}

// TestLedgerIsBounded guards against memory that grows with the requests.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	for i := range 3 * maxClaims {
		l.Begin(claim(fmt.Sprint(i), Owner(i), start), start)
	}
	if n := l.Len(); n > maxClaims || len(l.order) > maxClaims {
		t.Errorf("%d claims, want %d at most", n, maxClaims)
	}
	l.Begin(claim("last", 1, start.Add(minRetention)), start.Add(minRetention))
	if n := l.Len(); n != 1 {
		t.Errorf("%d claims after all but one have expired", n)
	}
}

// BenchmarkFullLedger measures the memory of a full ledger.
func BenchmarkFullLedger(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := NewLedger()
		for i := range 3 * maxClaims {
			l.Begin(claim(fmt.Sprint(i), Owner(i), start), start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxClaims, "heap-bytes/claim")
		runtime.KeepAlive(l)
	}
}
