package engine

// minSlowdown is the pace, as a multiple of the usual time, from which an engine counts as
// slow: with less its prompts are still answered in time where they were foreseen so.
const minSlowdown = 1.3

// Slowdown is the factor by which an engine's work takes longer, from what it reports.
func Slowdown(reported float64) float64 {
	if reported < minSlowdown {
		return 1
	}
	return reported
}
