package onplatform

import (
	"encoding/json"
	"testing"

	"doorstack.dev/platform/standin"
)

// Guards against a version that is never in force, at running daemons and at those that start with it, because of one entry in
// it that the daemon does not understand: a key that the version takes away was served on, and after a loss of all
// daemons nothing was.
func TestOneOddEntryKeepsNoVersionOutOfForce(t *testing.T) {
	route := func(field string, value any) map[string]any {
		r := map[string]any{"name": "late", "host": routeHost, "prefix": safePath + "late/", "kind": "safe", "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 1, "service": plainService, "max_attempts": 2}
		r[field] = value
		return r
	}
	const served, refused = 200, 503
	for name, c := range map[string]struct {
		list  string
		entry any
		// status is that of a call under the prefix of the route.
		status int
	}{
		"route of rank 10":                {"routes", route("priority", 10), served},
		"route of a large rank":           {"routes", route("priority", 1e12), served},
		"route of a rank that is no text": {"routes", route("priority", "first"), refused},
		"route without attempts":          {"routes", route("max_attempts", 0), served},
		"attempts as a fraction":          {"routes", route("max_attempts", 2.5), served},
		"route of an unknown kind":        {"routes", route("kind", "batched"), refused},
		"route without a timeout":         {"routes", route("timeout_ms", 0), served},
		"route to an unknown service":     {"routes", route("service", "none"), refused},
		"prefix without a slash":          {"routes", route("prefix", safePath+"late"), refused},
		"route that is a number":          {"routes", 5, served},
		"engine without memory":           {"services", map[string]any{"name": "odd", "engine": map[string]any{"slots": 16}}, served},
		"service that cannot be decoded":  {"services", map[string]any{"name": "odd", "cold_start_s": "long"}, served},
		"tenant of rank 10":               {"tenants", map[string]any{"name": "odd", "api_keys": []string{"odd"}, "priority": 10}, served},
		"tenant that has a key twice":     {"tenants", map[string]any{"name": "odd", "api_keys": []string{"odd", "odd"}}, served},
		"tenant with the key of another":  {"tenants", map[string]any{"name": "odd", "api_keys": []string{"new-key", "odd"}}, served},
		"tenant without a name":           {"tenants", map[string]any{"api_keys": []string{"odd"}}, served},
		"tenant with one key as text":     {"tenants", map[string]any{"name": "odd", "api_keys": "odd"}, served},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 1)
			next := testConfig(2)
			next.Tenants[0].APIKeys = []string{"new-key"}
			f.store.PutRaw("op/config", withEntry(t, next, c.list, c.entry))
			f.eventually("version 2", func() bool { return f.settingsRevision(f.daemons[0]) == 2 })
			f.addDaemon(1)
			f.eventually("the second daemon ready", func() bool { return f.ready(f.daemons[1]) })
			for _, d := range f.daemons {
				for path, want := range map[string]int{safePath: served, safePath + "late/": c.status} {
					a := f.newRequest(path)
					a.Daemon, a.APIKey = d.boot.CallerAddress, "new-key"
					if got := f.do(a); got.Status != want {
						t.Errorf("%s: call of %s = %d %s, want %d", d.boot.Name, path, got.Status, got.Body, want)
					}
				}
				a := f.newRequest(safePath)
				a.Daemon = d.boot.CallerAddress
				if got := f.do(a); got.Status != 401 {
					t.Errorf("%s: call with the key that was taken away = %d, want 401", d.boot.Name, got.Status)
				}
			}
		})
	}
}

// withEntry returns a configuration with another entry in one of its lists.
func withEntry(t *testing.T, c standin.Config, list string, entry any) []byte {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	entries, _ := fields[list].([]any)
	fields[list] = append(entries, entry)
	if text, err = json.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	return text
}
