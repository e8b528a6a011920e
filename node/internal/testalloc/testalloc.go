// Package testalloc measures what operations allocate, for tests that compare their cost at two sizes. Allocated
// bytes do not depend on the speed of the host.
package testalloc

import "runtime"

// Noise is what the runtime itself may allocate in an operation, in bytes.
const Noise = 512

// runs is the number of runs that are averaged.
const runs = 200

// BytesPerRun returns the bytes that an operation allocates on average, after a first run.
func BytesPerRun(operation func()) float64 {
	operation()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		operation()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / runs
}
