package config

import (
	"strings"
	"testing"

	"doorstack.dev/examples"
)

func TestExampleFilesParse(t *testing.T) {
	for name, data := range map[string][]byte{"clara": examples.ClaraDaemon, "kilnmark": examples.KilnmarkDaemon} {
		if _, err := Parse(data); err != nil {
			t.Errorf("Parse of the %s example: %v", name, err)
		}
	}
}

func TestParseReportsEveryProblem(t *testing.T) {
	_, err := Parse([]byte("name: d1\nlisten: localhost:80\nadmin: 127.0.0.1:1\nper: x\nworkers: 0\npeer_keys: [short]\nplatform: {configuration: ftp://x}\n"))
	if err == nil {
		t.Fatal("Parse of an invalid file succeeded, want an error")
	}
	for _, want := range []string{
		`line 2, column 1: listen: "localhost" is not an IP address`,
		`line 4, column 1: per: unknown key "per"; did you mean "peer"?`,
		"peer: \"\" is not an address",
		"line 5, column 1: workers: is not above zero",
		"peer_keys[0]: is too short",
		"data_centre: is missing",
		`platform.configuration: "ftp://x" is not a URL`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("Parse reported no %q, got:\n%v", want, err)
		}
	}
}
