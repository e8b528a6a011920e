package examples

import (
	"testing"

	"doorstack.dev/core/settings"
)

// TestExampleSettingsParse checks that the example settings are valid and have all their accounts.
func TestExampleSettingsParse(t *testing.T) {
	for name, data := range map[string][]byte{"clara": Clara, "kilnmark": Kilnmark} {
		tree, err := settings.Parse(data)
		if err != nil {
			t.Fatalf("settings.Parse of %s = %v, want no error", name, err)
		}
		if len(tree.Accounts()) != 10 {
			t.Errorf("%s has %d accounts, want 10", name, len(tree.Accounts()))
		}
	}
}
