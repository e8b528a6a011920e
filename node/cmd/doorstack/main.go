// Command doorstack is the tool for operators. It checks settings files, queries daemons for their
// status and decisions, makes reports of log files, and runs stand-ins for trials.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Check    checkCommand     `cmd:"" help:"Check settings files and print every problem with its position."`
	Settings settingsCommand  `cmd:"" help:"Show the settings tree."`
	Explain  explainCommand   `cmd:"" help:"Explain why a request was routed to its target, waited or was refused."`
	Status   statusCommand    `cmd:"" help:"Show the status of a daemon and of the fleet as it knows it."`
	Targets  targetsCommand   `cmd:"" help:"Show the targets as a daemon knows them."`
	Accounts accountsCommand  `cmd:"" help:"Show the use by client accounts at a daemon."`
	HashKey  hashKeyCommand   `cmd:"" help:"Print the hash of an API key read from standard input."`
	Report   reportCommand    `cmd:"" help:"Write a page with plots from the daemons' logs."`
	Try      tryCommand       `cmd:"" help:"Run the whole system on loopback with stand-ins and show what it does."`
	Standin  standinCommand   `cmd:"" help:"Run stand-ins for the platform and the targets, for trials of real daemons."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// version is the version of this program.
const version = "0.1.0"

func main() {
	var c cli
	ctx := kong.Parse(&c,
		kong.Name("doorstack"),
		kong.Description("Inspects a doorstack fleet and checks its settings."),
		kong.Vars{"version": version, "admin": "127.0.0.1:8081"},
		kong.UsageOnError(),
	)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "doorstack:", err)
		os.Exit(1)
	}
}
