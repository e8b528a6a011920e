package telemetry

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"doorstack.dev/core/settings"
	"doorstack.dev/node/config"
	"github.com/prometheus/client_golang/prometheus"
)

// TestOperationsPageListsEveryName checks that docs/OPERATIONS.md names each metric, and each key of
// the settings and of the daemon's configuration file.
func TestOperationsPageListsEveryName(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	descriptions := make(chan *prometheus.Desc, 100)
	NewMetrics().Registry.Describe(descriptions)
	close(descriptions)
	for d := range descriptions {
		name, _, _ := strings.Cut(strings.TrimPrefix(d.String(), `Desc{fqName: "`), `"`)
		if strings.HasPrefix(name, namespace) {
			names = append(names, name)
		}
	}
	for _, v := range []any{
		config.File{}, config.Platform{}, settings.EngineKind{}, settings.Pool{}, settings.Policy{}, settings.Priority{},
		settings.Node{}, settings.Account{}, settings.Route{}, settings.Inherited{}, settings.Limits{},
		settings.PathRoute{}, settings.CallerLimits{}, settings.EngineTiming{},
	} {
		for _, f := range reflect.VisibleFields(reflect.TypeOf(v)) {
			if tag := f.Tag.Get("yaml"); tag != "" && tag != "-" {
				names = append(names, tag)
			}
		}
	}
	for _, name := range names {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not name `%s`", name)
		}
	}
}
