package once

// Word is what a daemon that is asked to hold a claim has said.
type Word uint8

// The words of a holder.
const (
	// Silent means that the holder has not answered, and that its answer is due.
	Silent Word = iota
	// Late means that the holder has not answered in the time that it usually takes.
	Late
	// Agrees means that the holder holds the claim now.
	Agrees
	// Objects means that the holder holds another claim to the request, and Contends that it does and that this claim may be
	// withdrawn, since both arrivals may have come at once.
	Objects
	Contends
	// Ended means that there is no process which could hold a claim.
	Ended
)

// Verdict says whether a request may be sent.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota
	Send
	Repeated
)

// Decide returns the verdict that follows from the words of a claim's holders. A request may be sent if none of them objects and
// more than half of those that run hold its claim, so that two requests with the same holders have one in common: silence is no
// consent. An answer that is due is waited for also where the others would do, since two daemons may not see the same holders. Where
// no holder agrees, an earlier arrival has been claimed by all, and was not one of two at once.
func Decide(words []Word) Verdict {
	count := [Ended + 1]int{}
	for _, w := range words {
		count[w]++
	}
	running := len(words) - count[Ended]
	switch {
	case count[Objects] > 0, count[Contends] > 0 && count[Silent]+count[Agrees] == 0:
		return Repeated
	case count[Silent]+count[Contends] == 0 && (running == 0 || 2*count[Agrees] > running):
		return Send
	default:
		return Undecided
	}
}
