// Package examples embeds the example settings of two deployments. Tests check
// them, and "doorstack try" runs with the first one.
package examples

import _ "embed"

// Clara is the settings tree of a booking assistant, in YAML.
//
//go:embed clara/settings.yaml
var Clara []byte

// Kilnmark is the settings tree of a quality log, in YAML.
//
//go:embed kilnmark/settings.yaml
var Kilnmark []byte

// ClaraDaemon and KilnmarkDaemon are the configuration files of one daemon of each deployment.
var (
	//go:embed clara/daemon.yaml
	ClaraDaemon []byte
	//go:embed kilnmark/daemon.yaml
	KilnmarkDaemon []byte
)
