package examples

import (
	"testing"

	"doorstack.dev/core/settings"
)

func TestExampleSettingsParse(t *testing.T) {
	for name, data := range map[string][]byte{"clara": Clara, "kilnmark": Kilnmark} {
		tree, err := settings.Parse(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(tree.Accounts()) != 10 {
			t.Errorf("%s has %d accounts, want 10", name, len(tree.Accounts()))
		}
	}
}
