package engine

// slowPace is the pace, as a multiple of the usual time, from which an engine counts as
// slow: with less its prompts are still answered in time where they were foreseen so.
const slowPace = 1.3

// Pace is the factor by which an engine's work takes longer, from what it reports.
func Pace(reported float64) float64 {
	if reported < slowPace {
		return 1
	}
	return reported
}
