package main

import (
	"fmt"
	"io"
	"os"

	"doorstack.dev/node/report"
	"github.com/go-faster/errors"
)

// reportCommand writes a page about the requests in the daemons' logs.
type reportCommand struct {
	Logs []string `arg:"" help:"Files with the daemons' log lines; - is standard input."`
	Out  string   `short:"o" default:"report.html" help:"The page to write."`
}

// Run implements the command.
func (c *reportCommand) Run() error {
	log := report.NewLog()
	for _, name := range c.Logs {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	summary := log.Summarize()
	if summary.From.IsZero() {
		return errors.New("the logs have no request that ended; give the files with the daemons' log lines")
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return errors.Wrap(err, "write the page")
	}
	if err := errors.Join(summary.Write(out), out.Close()); err != nil {
		return err
	}
	_, err = fmt.Println("wrote", c.Out)
	return err
}

// readLog adds the lines of a file, or of standard input if name is "-".
func readLog(log *report.Log, name string) error {
	var in io.ReadCloser = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "read the log")
		}
		in = file
	}
	return errors.Join(log.Read(in), in.Close())
}
