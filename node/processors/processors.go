// Package processors limits the number of processors that Go code runs on. By default that is all processors of the machine.
// Each comes with threads, stacks and caches, which on a large machine exceed the memory or the number of threads that a
// process of a small host may have, and a process that cannot start a thread aborts.
//
// A program that imports the package starts on few processors, from before other packages are initialised: a garbage collection
// may start threads for all processors, and there may be one before main. Therefore the package imports hardly anything:
// the dependencies of a package are initialised before it.
package processors

import (
	"math"
	"runtime"
)

// fewest is the number of processors that a process with a smaller share of the host uses. With one, the process would stand
// still whenever the kernel does not schedule that one's thread.
const fewest = 2

// available is the number of processors that the process may use.
var available = startOnFew()

func startOnFew() int {
	n := runtime.GOMAXPROCS(0)
	runtime.GOMAXPROCS(min(n, fewest))
	return n
}

// UseAll lets Go code run on all processors.
func UseAll() { runtime.GOMAXPROCS(available) }

// UseShare lets Go code run on no more processors at a time than a share of the machine covers, in cores.
func UseShare(cores float64) { runtime.GOMAXPROCS(forShare(cores, available)) }

// forShare returns the number of processors, of those available, for a share of the host in cores; zero means that the
// share is not known.
func forShare(cores float64, available int) int {
	if cores <= 0 {
		return available
	}
	return min(available, max(fewest, int(math.Ceil(cores))))
}
