package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"

	"doorstack.dev/node/admin"
	"doorstack.dev/node/api"
	"doorstack.dev/node/connguard"
	"github.com/go-faster/errors"
	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// provisionServers opens the listeners for callers, operators, peers and, on a platform, readiness
// checks.
func (d *Daemon) provisionServers() error {
	setKratosLogger(d.Log)
	limits := api.DefaultLimits()
	limits.Memory = d.director.Memory
	callers := api.NewServer(d.Board, d.director, d.Metrics, limits)
	operators := &admin.Server{Board: d.Board, Metrics: d.Metrics, Fleet: d.cluster, Paths: d.relays.Status}
	d.cluster.HandleExplain(func(request string) ([]byte, error) { return json.Marshal(operators.Explain(request)) })
	var err error
	handler := callers.Handler()
	if d.adapter != nil {
		handler = callers.PathHandler(d.adapter.Dialect)
	}
	guards := d.connectionLimits()
	if d.callerServer, err = d.newServer(guards.callers, &d.Config.Listen, api.RequireAnswer(handler), api.ExplainBadRequests); err != nil {
		return err
	}
	adminServer, err := d.newServer(guards.admin, &d.Config.Admin, d.rejectCalls(operators.Handler()))
	if err != nil {
		return err
	}
	peerAddress := &d.Config.Peer
	if d.Config.PeerListen != "" {
		peerAddress = &d.Config.PeerListen
	}
	peerServer, err := d.newServer(guards.peers, peerAddress, d.rejectCalls(d.relays.Handler(d.hub.Handler())))
	if err != nil {
		return err
	}
	servers := []transport.Server{d.callerServer, adminServer, peerServer}
	if d.adapter != nil {
		ready, err := d.newServer(guards.ready, &d.adapter.ReadyAddress, d.rejectCalls(operators.ReadyHandler()))
		if err != nil {
			return err
		}
		servers = append(servers, ready)
		d.callerServer.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return api.WithCallerConn(connguard.WithConn(ctx, conn), conn)
		}
	}
	d.app = kratos.New(
		kratos.Name("doorstackd"),
		kratos.ID(d.Config.Name),
		kratos.Server(servers...),
		kratos.StopTimeout(stopTimeout),
		// Kratos must not handle signals: it would stop the listeners at once,
		// while the daemon drains before it stops them.
		kratos.Signal(unusedSignal{}),
	)
	return nil
}

// rejectCalls wraps the handler of a listener that serves no callers.
func (d *Daemon) rejectCalls(next http.Handler) http.Handler {
	if d.adapter == nil {
		return next
	}
	return api.RejectCalls(d.adapter.Dialect, next)
}

// newServer opens a listener with limits on its clients and stores the actual address in *address, as its port may be 0. The
// server accepts connections through the listeners that wrap returns. The request timeout of Kratos, one second, is disabled, as
// requests have their own deadlines.
func (d *Daemon) newServer(limits connguard.Config, address *string, handler http.Handler, wrap ...func(net.Listener) net.Listener) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		return nil, errors.Wrap(err, fmt.Sprintf("open the address of %q; free the port or change the file", limits.Name))
	}
	*address = listener.Addr().String()
	for _, w := range wrap {
		listener = w(listener)
	}
	listener = connguard.NewListener(listener, limits)
	server := khttp.NewServer(
		khttp.Listener(retryingListener{listener}),
		khttp.Endpoint(&url.URL{Scheme: "http", Host: listener.Addr().String()}),
		khttp.Timeout(0),
		khttp.StrictSlash(false),
	)
	// Bypass the router of Kratos, which would redirect some paths to a cleaned form.
	server.Handler = connguard.Handler(handler)
	server.ConnState, server.ConnContext = connguard.TrackState, connguard.WithConn
	// The listener has limits of its own, which may change while the server runs.
	server.MaxHeaderBytes = math.MaxInt32
	server.ErrorLog = slog.NewLogLogger(d.Log.With("server", limits.Name).Handler(), slog.LevelError)
	return server, nil
}
