package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/internal/standin"
	"github.com/go-faster/errors"
)

// standinCommand runs stand-ins for the platform and the targets in one process, for trials of real
// daemons.
type standinCommand struct {
	Settings string            `required:"" type:"path" placeholder:"FILE" help:"The settings document to publish."`
	Listen   string            `default:"127.0.0.1:9000" help:"The address that the platform's service listens on; use loopback only."`
	Daemon   map[string]string `placeholder:"NAME=IP:PORT" help:"A daemon to list as a host, with its address for peers. May be repeated."`
	Targets  int               `default:"3" help:"The number of targets of each pool."`
	Region   string            `default:"pt" help:"The region of all hosts."`
	Centre   string            `default:"lis-1" help:"The data centre of all hosts."`
}

// Run implements the command.
func (c *standinCommand) Run() error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "read the settings")
	}
	tree, err := settings.Parse(data)
	if err != nil {
		return err
	}
	p := standin.NewPlatform()
	p.Put(map[string]string{"doorstack/" + settings.MainPartKey: string(data)})
	hosts, err := c.startTargets(tree)
	if err != nil {
		return err
	}
	for name, address := range c.Daemon {
		hosts = append(hosts, c.newHost(name, hostlist.RoleDaemon, address, ""))
	}
	p.SetHosts(hosts)
	server, err := standin.Listen(c.Listen, p.Handler(), nil)
	if err != nil {
		return errors.Wrap(err, "listen on the address of --listen")
	}
	defer server.Close()
	fmt.Printf("platform at %s, %d hosts listed\n", server.Address, len(hosts))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	return nil
}

// newHost returns an entry of the host list.
func (c *standinCommand) newHost(id string, role hostlist.Role, address, pool string) hostlist.Host {
	return hostlist.Host{ID: id, Role: role, Address: address, Pool: pool, DataCentre: c.Centre, Region: c.Region, State: hostlist.Live}
}

// startTargets starts the targets of all pools and returns their host list entries.
func (c *standinCommand) startTargets(tree *settings.Tree) ([]hostlist.Host, error) {
	var hosts []hostlist.Host
	for _, pool := range tree.Pools() {
		for i := range c.Targets {
			name := fmt.Sprintf("%s-%d", strings.ReplaceAll(pool.Name, "/", "-"), i+1)
			server, err := startTarget(name, pool)
			if err != nil {
				return nil, err
			}
			hosts = append(hosts, c.newHost(name, hostlist.RoleTarget, server.Address, pool.Name))
		}
	}
	return hosts, nil
}

// startTarget starts a target with the protocol of the pool.
func startTarget(name string, pool *settings.ResolvedPool) (*standin.Server, error) {
	if pool.Kind.Protocol == settings.ProtocolService {
		return standin.Listen("", standin.NewService(name).Handler(), nil)
	}
	cost := standin.DefaultCostModel()
	cost.MemoryTokens = pool.Kind.MemoryTokens
	engine := standin.NewEngine(name, cost, pool.Model)
	return standin.Listen("", engine.Handler(), engine.Run)
}
