package membership

// minStrongShare is the fraction of the highest capacity in the fleet from which a host counts
// as strong. Hosts of equal capacity are all strong; in mixed fleets the capacities differ
// fourfold.
const minStrongShare = 0.5

// StrongMembers returns the members on strong hosts, those with at least half the processor
// capacity of the strongest; work for the whole fleet goes to these. A member of unknown
// capacity counts as weak, unless no member's capacity is known: then all are strong.
func StrongMembers(members []Member) []Member {
	most := 0.0
	for _, m := range members {
		most = max(most, m.Cores)
	}
	var strong []Member
	for _, m := range members {
		if m.Cores >= minStrongShare*most {
			strong = append(strong, m)
		}
	}
	return strong
}
