package hostlist

import "fmt"

// Position is a point in the history of a store that may be restored from an older copy: its
// era, which rises with each restore, and its revision within the era. Positions are ordered by
// era first, so a write after a restore is newer than all writes that the restore lost,
// though its revision may be lower. The zero position is before all others.
type Position int64

const (
	// eraShift is the bit at which the era starts. The bits below it are enough for the revisions
	// of 12 days with half a million changes a second.
	eraShift = 40
	// settledBit marks the position of a read made after the era had settled (see package
	// storeread). That position lies between the read's revision and the next.
	settledBit = 1
)

// FirstEra is the era of a store that was never restored.
const FirstEra = 1

// NewPosition returns the position of a revision in an era; the era is zero if the store reports none.
func NewPosition(era, revision int64) Position { return Position(era<<eraShift + revision<<1) }

// AsSettled returns the position of a read at p that was made after the era had settled.
func (p Position) AsSettled() Position { return p | settledBit }

// isSettled reports whether p is the position of a read made after the era had settled.
func (p Position) isSettled() bool { return p&settledBit != 0 }

// Era returns the store's era.
func (p Position) Era() int64 { return int64(p) >> eraShift }

// Revision returns the store's revision within the era.
func (p Position) Revision() int64 { return int64(p) & (1<<eraShift - 1) >> 1 }

// String returns "era.revision" for logs, or the revision alone if the era is zero.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Revision())
	}
	return fmt.Sprintf("%d.%d", p.Era(), p.Revision())
}
