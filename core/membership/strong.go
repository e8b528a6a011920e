package membership

// minStrongShare is the part of the strongest host's processor from which a host counts as
// strong. Hosts of one kind are all strong; where kinds are mixed they differ fourfold.
const minStrongShare = 0.5

// StrongMembers keeps the members whose hosts give them much of a processor, which are those to
// take on work for all. A member that has not told counts as weak; where nobody has, all are
// alike.
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
