package membership

import (
	"testing"
	"time"
)

func member(name string, cores float64) Member {
	return Member{Host: Host{Name: name, Cores: cores}}
}

func TestStrongMembers(t *testing.T) {
	cases := map[string]struct {
		members []Member
		want    string
	}{
		"two kinds":     {[]Member{member("a", 0.192), member("b", 0.8), member("c", 0.192), member("d", 0.8)}, "bd"},
		"one kind":      {[]Member{member("a", 0.4), member("b", 0.4)}, "ab"},
		"none known":    {[]Member{member("a", 0), member("b", 0)}, "ab"},
		"some known":    {[]Member{member("a", 0), member("b", 0.4)}, "b"},
		"one weak kind": {[]Member{member("a", 0.192), member("c", 0.192)}, "ac"},
	}
	for name, c := range cases {
		got := ""
		for _, m := range StrongMembers(c.members) {
			got += m.Name
		}
		if got != c.want {
			t.Errorf("%s: StrongMembers gave %q, want %q", name, got, c.want)
		}
	}
}

// TestCoresSpreadWithRumors checks that a host's capacity spreads with its announcement and
// with rumors passed on by others.
func TestCoresSpreadWithRumors(t *testing.T) {
	a := NewOpenTable(Host{Name: "a", Address: "a:1", Cores: 0.8}, 1)
	b := NewOpenTable(Host{Name: "b", Address: "b:1", Cores: 0.2}, 1)
	c := NewOpenTable(Host{Name: "c", Address: "c:1"}, 1)
	b.Receive(a.Introduction())
	for _, r := range b.AllRumors() {
		c.Receive(r)
	}
	for name, want := range map[string]float64{"a": 0.8, "b": 0.2} {
		if m, known := c.Member(name); !known || m.Cores != want {
			t.Errorf("Member(%q) = %+v, %v, want %v cores", name, m, known, want)
		}
	}
	restarted := NewOpenTable(Host{Name: "a", Address: "a:1", Cores: 0.4}, 2)
	c.Receive(restarted.Introduction())
	if m, _ := c.Member("a"); m.Cores != 0.4 {
		t.Errorf("Member after a restart on another host = %+v, want 0.4 cores", m)
	}
	c.Tick(time.Time{})
}
