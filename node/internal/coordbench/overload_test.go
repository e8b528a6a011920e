package coordbench

import (
	"testing"
	"time"
)

// TestOverloadedPoolRefusesBeforeCallersLeave checks that, at 1.4 times the workload's call rates, more
// than the engines can prefill, audits that cannot be placed are refused before their callers give up:
// none of the callers abandons its call in three simulations of 30 s, including the periods of many
// audits.
func TestOverloadedPoolRefusesBeforeCallersLeave(t *testing.T) {
	_, _, classes := simulateSeeds(t, &workloadCase{"overload", Dense(), 20, 1.4}, 30*time.Second, 3)
	audits := classes["audit"]
	if audits.Refused == 0 {
		t.Error("no audit was refused: the simulated load is no overload")
	}
	if audits.Abandoned > 0 {
		t.Errorf("%d of %d audits were abandoned without a refusal, want 0", audits.Abandoned, audits.Calls)
	}
}
