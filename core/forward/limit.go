package forward

import (
	"math"
	"strconv"
)

// Limit is what a target's answer says of the rate of requests that the target accepts from all
// daemons together. The zero value says nothing.
type Limit struct {
	// Declared is true if the answer states a limit. Lifted is true if the answer to a call, rather
	// than to a control request, states none.
	Declared, Lifted bool
	// PerSecond is the declared limit in requests per second.
	PerSecond float64
}

// maxPerSecond is the largest limit, in requests per second; a higher one would limit no caller.
const maxPerSecond = 1e6

// DeclaredLimit returns a declared limit in requests per second, capped at maxPerSecond. A negative
// rate or NaN gives the zero Limit.
func DeclaredLimit(perSecond float64) Limit {
	if math.IsNaN(perSecond) || perSecond < 0 {
		return Limit{}
	}
	return Limit{Declared: true, PerSecond: min(perSecond, maxPerSecond)}
}

// String returns the limit as logs show it.
func (l Limit) String() string {
	switch {
	case l.Declared:
		return strconv.FormatFloat(l.PerSecond, 'g', 4, 64) + "/s"
	case l.Lifted:
		return "lifted"
	default:
		return ""
	}
}
