package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/core/membership"
	"doorstack.dev/core/reach"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// Client opens connections to targets through relays. It implements target.Relays.
type Client struct {
	Board *blackboard.Blackboard
	Hub   *peer.Hub
	// Dial opens the connections to relays.
	Dial func(ctx context.Context, address string) (target.Socket, error)

	mu sync.Mutex
	// candidates are the relays as of view.
	view       *blackboard.MembersView
	candidates []reach.Relay
}

// Candidates implements target.Relays: all living daemons but this one.
func (c *Client) Candidates() (self reach.Relay, relays []reach.Relay) {
	view := c.Board.Members.View()
	own := c.Board.Self
	self = reach.Relay{Name: own.Name, DataCentre: own.DataCentre}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != view {
		c.view, c.candidates = view, candidatesAmong(view.Members, own.Name)
	}
	return self, c.candidates
}

func candidatesAmong(members []membership.Member, self string) []reach.Relay {
	var living []membership.Member
	for _, m := range members {
		if m.State == membership.Alive && !m.Leaving && m.Name != self && m.Address != "" {
			living = append(living, m)
		}
	}
	strong := map[string]bool{}
	for _, m := range membership.StrongMembers(living) {
		strong[m.Name] = true
	}
	relays := make([]reach.Relay, 0, len(living))
	for _, m := range living {
		relays = append(relays, reach.Relay{Name: m.Name, DataCentre: m.DataCentre, Strong: strong[m.Name]})
	}
	return relays
}

// Usable implements target.Relays. Connections through a daemon that leaves or is dead carry no further calls.
func (c *Client) Usable(relay string) bool {
	_, relays := c.Candidates()
	for _, r := range relays {
		if r.Name == relay {
			return true
		}
	}
	return false
}

// Targets implements target.Relays.
func (c *Client) Targets() map[string]bool {
	addresses := map[string]bool{}
	for _, t := range c.Board.Targets.Addresses() {
		addresses[t.Address] = true
	}
	return addresses
}

// Open implements target.Relays.
func (c *Client) Open(ctx context.Context, relay, address string) (target.Socket, error) {
	to := peer.Address{Name: relay, Address: c.Board.Members.Address(relay)}
	var answer openAnswer
	if err := c.Hub.Call(ctx, to, peer.KindRelay, openRequest{Address: address}, &answer); err != nil {
		return nil, errors.Wrap(err, "ask "+relay+" to relay")
	}
	switch answer.Outcome {
	case connected:
	case unreachable:
		return nil, errors.Wrap(target.ErrUnreachableFromRelay, relay)
	default:
		return nil, errors.New(relay + " does not relay: " + string(answer.Outcome))
	}
	conn, err := c.Dial(ctx, to.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the relay "+relay)
	}
	relayed, err := upgrade(ctx, conn, to.Address, answer.Ticket)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "use the ticket of the relay "+relay)
	}
	return relayed, nil
}

// maxUpgradeSize bounds the answer to an upgrade, in bytes.
const maxUpgradeSize = 4 << 10

// upgrade exchanges a ticket for the relayed connection.
func upgrade(ctx context.Context, conn target.Socket, host, ticket string) (target.Socket, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req, err := http.NewRequest(http.MethodGet, "http://"+host+path+ticket, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", offeredProtocols)
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(io.LimitReader(conn, maxUpgradeSize))
	resp, err := http.ReadResponse(reader, req) //nolint:bodyclose // The connection's bytes follow; there is no body.
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.New("status " + resp.Status)
	}
	if !stop() {
		return nil, ctx.Err()
	}
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil, err
	}
	in := io.MultiReader(bytes.NewReader(buffered), conn)
	if resp.Header.Get("Upgrade") == framedProtocol {
		return &framedSocket{Socket: conn, in: in}, nil
	}
	return &plainSocket{Socket: conn, in: in}, nil
}
