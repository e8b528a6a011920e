// Package examples holds the worked settings of two deployments. Tests check
// them, and "doorstack try" runs on the first one.
package examples

import _ "embed"

// Clara is the settings tree of a booking assistant.
//
//go:embed clara/settings.yaml
var Clara []byte

// Kilnmark is the settings tree of a quality log.
//
//go:embed kilnmark/settings.yaml
var Kilnmark []byte

// ClaraDaemon and KilnmarkDaemon are the own files of one of their daemons.
var (
	//go:embed clara/daemon.yaml
	ClaraDaemon []byte
	//go:embed kilnmark/daemon.yaml
	KilnmarkDaemon []byte
)
