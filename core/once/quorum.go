package once

// Vote is the answer of a daemon that is asked to hold a claim, as far as it is known.
type Vote uint8

// The votes of a holder.
const (
	// Pending means that the holder has not answered, and that its answer is due.
	Pending Vote = iota
	// Late means that the holder has not answered in the time that it usually takes.
	Late
	// Granted means that the holder holds the claim now.
	Granted
	// Denied means that the holder holds another claim to the request, and Contested that it does and that this claim may be
	// withdrawn, since both arrivals may have come at once.
	Denied
	Contested
	// Absent means that there is no process which could hold a claim.
	Absent
)

// Verdict says whether a request may be sent.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota
	Send
	Repeated
)

// Decide returns the verdict that follows from the votes of a claim's holders. A request may be sent if none of them denies it and
// more than half of those that run grant it, so that two requests with the same holders have one in common. An answer that is due is
// waited for also where the others would do, since two daemons may not see the same holders. Where none grants a contested
// request, all hold the claim of an earlier arrival, which was not one of two at once.
func Decide(votes []Vote) Verdict {
	count := [Absent + 1]int{}
	for _, v := range votes {
		count[v]++
	}
	running := len(votes) - count[Absent]
	switch {
	case count[Denied] > 0, count[Contested] > 0 && count[Pending]+count[Granted] == 0:
		return Repeated
	case count[Pending]+count[Contested] == 0 && (running == 0 || 2*count[Granted] > running):
		return Send
	default:
		return Undecided
	}
}
