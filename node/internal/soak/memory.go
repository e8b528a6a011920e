package soak

import (
	"fmt"
	"os"
	"strings"
)

// maxPeakMemoryMB bounds the memory of a daemon's process. The users of doorstack set it for hosts of the smaller kind.
const maxPeakMemoryMB = 284

// peakMemoryMB returns the largest resident memory of the process so far, in megabytes; 0 if it has exited.
func (p *process) peakMemoryMB() int {
	proc, _ := p.running()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.Pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	if _, err := fmt.Sscan(text, &kb); err != nil {
		return 0 // The process has exited and is not yet reaped.
	}
	return kb >> 10
}

// recordPeakMemory updates the peaks of all daemons.
func (tb *testbed) recordPeakMemory() {
	for _, p := range tb.daemons {
		mb := p.peakMemoryMB()
		tb.mu.Lock()
		tb.peakMemory[p.index] = max(tb.peakMemory[p.index], mb)
		tb.mu.Unlock()
	}
}

// checkPeakMemory checks that no process took more memory than its host has.
func checkPeakMemory(r *Record) []Violation {
	var list []Violation
	for daemon, mb := range r.PeakMemoryMB {
		if mb > maxPeakMemoryMB {
			list = append(list, Violation{"MEMORY", fmt.Sprint("d", daemon+1), fmt.Sprintf("took %d MB, %d allowed", mb, maxPeakMemoryMB)})
		}
	}
	return list
}
