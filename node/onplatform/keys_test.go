package onplatform

import (
	"net/http"
	"strings"
	"testing"

	"doorstack.dev/platform/standin"
)

// TestConfigurationWithoutTenantsNeedsNoKeys covers a configuration that has no tenants, so that requests carry no keys, and
// one with an empty list of them, which takes all keys away and is logged once.
func TestConfigurationWithoutTenantsNeedsNoKeys(t *testing.T) {
	const warning = "no caller can reach some paths"
	f := newFleet(t, 2, 1)
	f.scriptAll(standin.Succeed("ok"))
	apply := func(c standin.Config) {
		f.store.PutConfig(c)
		for _, d := range f.daemons {
			f.eventually("the version", func() bool { return f.settingsRevision(d) == int64(c.Version) })
		}
	}
	send := func(key string) int {
		r := f.newRequest(unsafePath)
		r.APIKey = key
		return f.do(r).Status
	}
	without := testConfig(2)
	without.Tenants = nil
	apply(without)
	if status := send(""); status != http.StatusOK {
		t.Errorf("without tenants: status %d, want 200", status)
	}
	if calls := f.targets["t1"].Calls(); calls[len(calls)-1].Account() != "" {
		t.Errorf("without tenants: sent for the tenant %q", calls[len(calls)-1].Account())
	}
	for version := 3; version <= 4; version++ {
		empty := testConfig(version)
		empty.Tenants = []standin.Tenant{}
		apply(empty)
		if status := send(apiKey); status != http.StatusUnauthorized {
			t.Errorf("with an empty list of tenants: status %d, want 401", status)
		}
	}
	if n := strings.Count(f.daemons[0].log.String(), warning); n != 1 {
		t.Errorf("%d warnings, want one", n)
	}
	apply(testConfig(5))
	if status := send(apiKey); status != http.StatusOK {
		t.Errorf("with a tenant again: status %d, want 200", status)
	}
}
