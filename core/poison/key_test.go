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
		t.Errorf("the same request has the keys %v and %v", base, again)
	}
	for name, other := range map[string]Key{
		"another account":     KeyOf("/b", parts("POST", "h", "/x", "body")...),
		"another body":        KeyOf("/a", parts("POST", "h", "/x", "bodx")...),
		"parts cut elsewhere": KeyOf("/a", parts("POST", "h/", "x", "body")...),
		"a part less":         KeyOf("/a", parts("POST", "h", "/xbody")...),
	} {
		if other == base {
			t.Errorf("%s: the same key", name)
		}
	}
	if KeyOf("/a", []byte("other")).accountPrefix() != base.accountPrefix() {
		t.Error("two requests of an account do not share its part")
	}
}
