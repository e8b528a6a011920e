package forward

import (
	"math"
	"strconv"
)

// Limit is a target's word on how many requests a second it takes from all daemons together. The
// zero value is no word.
type Limit struct {
	// Named is true where the target names a limit, Lifted where it answered a call and named none.
	Declared, Lifted bool
	// PerSecond is the named limit in requests a second.
	PerSecond float64
}

// maxPerSecond bounds what is read as a limit; more than that binds nobody.
const maxPerSecond = 1e6

// DeclaredLimit returns the word of a target that names a limit, and no word for what is none.
func DeclaredLimit(perSecond float64) Limit {
	if math.IsNaN(perSecond) || perSecond < 0 {
		return Limit{}
	}
	return Limit{Declared: true, PerSecond: min(perSecond, maxPerSecond)}
}

// String is the limit as logs show it.
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
