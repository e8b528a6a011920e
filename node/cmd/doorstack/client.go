package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// adminFlags are the flags of all commands that query a daemon.
type adminFlags struct {
	Admin string `default:"${admin}" placeholder:"IP:PORT" help:"The admin address of any daemon (default ${admin})."`
	JSON  bool   `help:"Print JSON."`
}

// requestTimeout is the timeout of a request to a daemon.
const requestTimeout = 10 * time.Second

// getJSON requests a path of the daemon's admin address and decodes the JSON answer. With
// accept404, the body of a 404 answer is decoded too.
func (f *adminFlags) getJSON(path string, into any, accept404 bool) error {
	client := &http.Client{Timeout: requestTimeout}
	resp, err := client.Get("http://" + f.Admin + path)
	if err != nil {
		return errors.Wrap(err, "connect to the daemon; give the admin address of a living one with --admin")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read the daemon's answer")
	}
	if resp.StatusCode != http.StatusOK && (!accept404 || resp.StatusCode != http.StatusNotFound) {
		return errors.New(fmt.Sprintf("the daemon answered %s: %s", resp.Status, body))
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrap(err, "decode the daemon's answer")
	}
	return nil
}

// printJSON writes v to standard output as indented JSON.
func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

// columnGap is the number of spaces between columns.
const columnGap = 2

// newTable returns a table with a header row.
func newTable(out io.Writer, header ...any) *table {
	t := &table{w: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	t.addRow(header...)
	return t
}

func (t *table) addRow(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.w, "\t")
		}
		_, _ = fmt.Fprint(t.w, c)
	}
	_, _ = fmt.Fprintln(t.w)
}

func (t *table) flush() { _ = t.w.Flush() }
