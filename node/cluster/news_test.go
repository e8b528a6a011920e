package cluster

import "testing"

// TestNewsDoesNotPileUp: while a daemon acted on one peer's news, the others' waited;
// with one exchange for each, the queue grew to 3.5 s in a fleet of nine.
func TestNewsDoesNotPileUp(t *testing.T) {
	c := &Cluster{heard: make(chan heartbeatNews, heardQueue), compared: map[string]bool{}}
	for i := range 20 {
		c.heard <- heartbeatNews{from: "a", revision: int64(i), targets: int64(100 - i)}
	}
	c.heard <- heartbeatNews{from: "b", revision: 7, targets: 200}
	revision, targets := c.newest(heartbeatNews{from: "c", revision: 3, targets: 1})
	if len(c.heard) != 0 || revision.revision != 19 || targets.targets != 200 || targets.from != "b" {
		t.Fatalf("%d left, settings of %+v, targets of %+v", len(c.heard), revision, targets)
	}
	for _, name := range []string{"a", "b", "c"} {
		if !c.compared[name] {
			t.Errorf("%s has told its revision and does not count as compared", name)
		}
	}
}
