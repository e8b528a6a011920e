package engine

// minSlowdown is the reported factor from which an engine counts as slow: below it, prompts
// that were predicted to be answered in time still are.
const minSlowdown = 1.3

// Slowdown returns the factor by which an engine's work takes longer than usual, given the
// factor that the engine reports; reports below minSlowdown count as one.
func Slowdown(reported float64) float64 {
	if reported < minSlowdown {
		return 1
	}
	return reported
}
