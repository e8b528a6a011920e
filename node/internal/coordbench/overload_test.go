package coordbench

import (
	"testing"
	"time"
)

// TestOverloadedPoolRefusesBeforeCallersLeave: at 1.4 times the load that the engines can read, callers whose prompts find no
// room are told so before they leave: of three plays of 30 s with a swing to audits none of these
// callers left without a word.
func TestOverloadedPoolRefusesBeforeCallersLeave(t *testing.T) {
	_, _, classes := simulateSeeds(t, &workloadCase{"overload", Dense(), 20, 1.4}, 30*time.Second, 3)
	audits := classes["audit"]
	if audits.Refused == 0 {
		t.Error("no audit is refused: the play is no overload")
	}
	if audits.Abandoned > 0 {
		t.Errorf("%d of %d audits' callers left without a word", audits.Abandoned, audits.Calls)
	}
}
