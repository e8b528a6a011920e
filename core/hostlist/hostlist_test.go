package hostlist

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// hostStatesOf returns the sorted "ID:state" pairs of a list.
func hostStatesOf(l List) string {
	var names []string
	for _, h := range l.Hosts {
		names = append(names, h.ID+":"+string(h.State))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func TestListApply(t *testing.T) {
	full := List{Revision: 1, Hosts: []Host{{ID: "a", State: Live}, {ID: "b", State: Live}}}
	next, err := full.Apply(List{Since: 1, Revision: 3, Hosts: []Host{{ID: "b", State: Leaving}, {ID: "c", State: Live}}, Removed: []string{"a"}})
	if err != nil || hostStatesOf(next) != "b:leaving c:live" || next.Revision != 3 {
		t.Fatalf("Apply of a diff = %s at revision %d, %v, want b:leaving c:live at revision 3", hostStatesOf(next), next.Revision, err)
	}
	if same, err := next.Apply(List{Since: 3, Revision: 3}); err != nil || hostStatesOf(same) != hostStatesOf(next) {
		t.Fatalf("Apply of an empty diff = %s, %v, want %s", hostStatesOf(same), err, hostStatesOf(next))
	}
	if _, err := next.Apply(List{Since: 2, Revision: 4}); err == nil {
		t.Fatal("Apply of a diff from another revision gave no error")
	}
	if replaced, err := next.Apply(full); err != nil || hostStatesOf(replaced) != hostStatesOf(full) {
		t.Fatalf("Apply of a full list = %s, %v, want that list", fmt.Sprint(replaced), err)
	}
}
