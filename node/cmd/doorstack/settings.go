package main

import (
	"bufio"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"doorstack.dev/core/settings"
	"doorstack.dev/node/admin"
	"github.com/go-faster/errors"
)

// checkCommand checks settings files.
type checkCommand struct {
	Path string `arg:"" type:"path" help:"A settings file, or a directory with the parts settings.yaml and tree/**.yaml."`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	tree, err := loadTree(c.Path)
	if err != nil {
		return errors.Wrap(err, c.Path)
	}
	fmt.Printf("ok: %d accounts, %d pools\n", len(tree.Accounts()), len(tree.Pools()))
	return nil
}

// loadTree parses a settings file, or a directory with the parts as the configuration service has
// them.
func loadTree(path string) (*settings.Tree, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		return settings.Parse(data)
	}
	parts, err := readParts(path)
	if err != nil {
		return nil, err
	}
	return settings.ParseParts(parts)
}

// readParts reads the YAML files of a directory. The key of a part is the file's path relative to
// the directory, without the extension.
func readParts(dir string) (map[string][]byte, error) {
	parts := map[string][]byte{}
	err := filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".yaml" {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		parts[strings.TrimSuffix(filepath.ToSlash(name), ".yaml")] = data
		return nil
	})
	return parts, err
}

// settingsCommand groups the commands about the settings tree.
type settingsCommand struct {
	Effective effectiveCommand `cmd:"" help:"Show each value in effect at a path, and the node that sets it."`
}

// effectiveCommand shows the values in effect at a path of the tree.
type effectiveCommand struct {
	adminFlags
	Path string `arg:"" help:"A path in the tree, such as /desks/north."`
	File string `type:"path" placeholder:"FILE" help:"Read this settings file instead of asking a daemon."`
}

// Run implements the command.
func (c *effectiveCommand) Run() error {
	var e admin.Effective
	if c.File != "" {
		tree, err := loadTree(c.File)
		if err != nil {
			return err
		}
		if e.Values, err = tree.EffectiveValues(c.Path); err != nil {
			return err
		}
	} else if err := c.getJSON("/v1/effective?path="+url.QueryEscape(c.Path), &e, false); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e)
	}
	t := newTable(os.Stdout, "KEY", "VALUE", "SET BY")
	for _, v := range e.Values {
		t.addRow(v.Name, v.Value, v.Origin)
	}
	t.flush()
	return nil
}

// hashKeyCommand prints the hash of an API key.
type hashKeyCommand struct{}

// Run implements the command.
func (hashKeyCommand) Run() error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read the key")
	}
	key := strings.TrimSpace(line)
	if key == "" {
		return errors.New("there is no key on standard input; write it as a single line")
	}
	hash := settings.HashKey(key)
	fmt.Printf("%x\n", hash[:])
	return nil
}
