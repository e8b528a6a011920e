package hostlist

import "fmt"

// Position is a place in the history of a store that may come back from an older copy: its era,
// which rises with each such return, and its revision within the era. Positions are ordered by
// era first, so what was written after a return is newer than all that was lost by it, though
// its revision is lower. The zero position is before everything.
type Position int64

const (
	// eraShift is where the era begins: half a million changes a second for 12 days fit below.
	eraShift = 40
	// confirmed marks the position of a read that was made when an era had settled. It lies
	// between its revision and the next.
	settledBit = 1
)

// FirstEra is the era of a store that never came back from a copy.
const FirstEra = 1

// NewPosition is the position of a revision in an era; the era of a store that tells none is zero.
func NewPosition(era, revision int64) Position { return Position(era<<eraShift + revision<<1) }

// Confirmed is the position of a read at p when the era had settled.
func (p Position) AsSettled() Position { return p | settledBit }

func (p Position) isSettled() bool { return p&settledBit != 0 }

// Era is the store's era.
func (p Position) Era() int64 { return int64(p) >> eraShift }

// Revision is the store's revision within the era.
func (p Position) Revision() int64 { return int64(p) & (1<<eraShift - 1) >> 1 }

// String is era and revision as logs show them; without the era where there are none.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Revision())
	}
	return fmt.Sprintf("%d.%d", p.Era(), p.Revision())
}
