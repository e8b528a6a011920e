package main

import (
	"context"
	"os"

	"doorstack.dev/node/internal/tryout"
)

// tryCommand runs a fleet with stand-ins for the platform and the targets on loopback.
type tryCommand struct {
	Logs bool `help:"Print the daemons' log lines to standard error."`
}

// Run implements the command.
func (c *tryCommand) Run() error {
	return tryout.Run(context.Background(), os.Stdout, os.Stderr, c.Logs)
}
