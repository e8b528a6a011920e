package hostlist

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func hostStatesOf(l List) string {
	var names []string
	for _, h := range l.Hosts {
		names = append(names, h.ID+":"+string(h.State))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func TestListApply(t *testing.T) {
	whole := List{Revision: 1, Hosts: []Host{{ID: "a", State: Live}, {ID: "b", State: Live}}}
	next, err := whole.Apply(List{Since: 1, Revision: 3, Hosts: []Host{{ID: "b", State: Leaving}, {ID: "c", State: Live}}, Removed: []string{"a"}})
	if err != nil || hostStatesOf(next) != "b:leaving c:live" || next.Revision != 3 {
		t.Fatalf("%v: %s", err, hostStatesOf(next))
	}
	if same, err := next.Apply(List{Since: 3, Revision: 3}); err != nil || hostStatesOf(same) != hostStatesOf(next) {
		t.Fatalf("%v: %s", err, hostStatesOf(same))
	}
	if _, err := next.Apply(List{Since: 2, Revision: 4}); err == nil {
		t.Fatal("a difference from another revision is taken")
	}
	if again, err := next.Apply(whole); err != nil || hostStatesOf(again) != hostStatesOf(whole) {
		t.Fatalf("a whole list does not replace: %v %s", err, fmt.Sprint(again))
	}
}
