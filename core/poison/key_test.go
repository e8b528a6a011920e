package poison

import "testing"

func TestKeyOfIdentifiesAccountAndRequest(t *testing.T) {
	parts := func(list ...string) [][]byte {
		var out [][]byte
		for _, s := range list {
			out = append(out, []byte(s))
		}
		return out
	}
	base := KeyOf("/a", parts("POST", "h", "/x", "body")...)
	if again := KeyOf("/a", parts("POST", "h", "/x", "body")...); again != base {
		t.Errorf("KeyOf gave %v for the same request, want %v", again, base)
	}
	for name, other := range map[string]Key{
		"another account":       KeyOf("/b", parts("POST", "h", "/x", "body")...),
		"another body":          KeyOf("/a", parts("POST", "h", "/x", "bodx")...),
		"another part boundary": KeyOf("/a", parts("POST", "h/", "x", "body")...),
		"one part fewer":        KeyOf("/a", parts("POST", "h", "/xbody")...),
	} {
		if other == base {
			t.Errorf("%s: KeyOf gave %v as for the base request, want another key", name, other)
		}
	}
	if KeyOf("/a", []byte("other")).accountPrefix() != base.accountPrefix() {
		t.Errorf("accountPrefix of another request = %x, want %x as for the base request", KeyOf("/a", []byte("other")).accountPrefix(), base.accountPrefix())
	}
}
