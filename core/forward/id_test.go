package forward

import (
	"strings"
	"testing"
	"unicode/utf8"
)

func TestLocalIDIsBoundedAndUnique(t *testing.T) {
	long := strings.Repeat("x", 8<<10)
	for _, id := range []string{"", "9c41d07be2a35f68", strings.Repeat("x", maxLocalID)} {
		if got := LocalID(id); got != id {
			t.Errorf("LocalID(%.40q) = %q, want it as it is", id, got)
		}
	}
	seen := map[string]string{}
	for _, id := range []string{long, long + "y", "y" + long, strings.Repeat("\xff", 8<<10), "\xff", "\xfe", strings.Repeat("é", 4<<10)} {
		got := LocalID(id)
		if len(got) > maxLocalID || !utf8.ValidString(got) || got == id {
			t.Errorf("LocalID(%.40q) = %q, want a shorter text of at most %d bytes", id, got, maxLocalID)
		}
		if seen[got] != "" {
			t.Errorf("%.40q and %.40q have the same local id", id, seen[got])
		}
		if again := LocalID(got); again != got {
			t.Errorf("LocalID(%q) = %q, want no further change", got, again)
		}
		seen[got] = id
	}
}
