package main

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/backend"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// run listens on cfg.Listen and runs the agent. It returns after ctx ends and the
// running attempts have finished or been handed over.
func run(ctx context.Context, cfg config) error {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	return serve(ctx, cfg, ln, daemon.NewLogger(os.Stderr, cfg.Name))
}

// serve runs the agent on ln, which it closes. Connections stay open after ctx ends,
// until the server has drained.
func serve(ctx context.Context, cfg config, ln net.Listener, logger *log.Logger) error {
	tlsConfig, err := cfg.TLS.Config()
	if err != nil {
		ln.Close()
		return err
	}
	registry := daemon.NewRegistry()
	clock := &timeline.Clock{Wall: daemon.SystemClock{}}
	recorder := &timeline.Recorder{Process: cfg.Name, Clock: clock, Log: logger}
	defer recorder.Flush()
	node := &wire.Node{
		Hello:   wire.Hello{Name: cfg.Name, Role: "agent", Incarnation: uint64(time.Now().UnixNano())},
		Clock:   clock,
		Metrics: wire.NewMetrics(registry),
		TLS:     tlsConfig,
	}
	own := cfg.resources()
	own.Memory.LimitHeap()
	node.Memory = own.Memory.NewWireBudget(registry, recorder)
	server := newServer(cfg, node, ln.Addr().String())
	server.Recorder = recorder
	server.Registry = registry
	mux := &wire.Mux{}
	server.Register(mux)
	listener := &wire.Listener{Node: node, Net: ln, Handler: mux, Up: server.Up, Down: server.Down, Limit: own.Connections(daemon.HolderPeersPart), Patient: true}
	admin := &daemon.AdminServer{Address: cfg.Admin, Registry: registry, Recorder: recorder, Ready: server.Ready, Resources: own}
	recorder.Record(timeline.Event{Kind: "agent_started", VM: cfg.Name, Detail: ln.Addr().String()})
	return runAll(ctx, server, listener, admin)
}

// runAll runs the server, the listener and the admin endpoint. When ctx ends the server
// drains; the listener and the admin endpoint stop only after that. If the admin
// endpoint fails, the server drains too, and runAll returns the error.
func runAll(ctx context.Context, server *backend.Server, listener *wire.Listener, admin *daemon.AdminServer) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var adminErr error
	var wg sync.WaitGroup
	wg.Go(func() { _ = listener.Run(serveCtx) })
	wg.Go(func() {
		adminErr = admin.Run(serveCtx)
		stop()
	})
	_ = server.Run(ctx)
	stopServing()
	wg.Wait()
	return adminErr
}

// newServer returns a server for the engine or application that cfg names. address is
// the host and port on which the agent listens.
func newServer(cfg config, node *wire.Node, address string) *backend.Server {
	s := &backend.Server{
		Node: node,
		VM: bamboostep.VM{
			Name:          cfg.Name,
			Address:       address,
			Place:         cfg.Place,
			FailureDomain: cfg.FailureDomain,
			State:         bamboostep.VMLive,
		},
		MemoryMiB:    cfg.MemoryMiB,
		Concurrency:  cfg.Concurrency,
		Queue:        cfg.Queue,
		MaxOutput:    int(cfg.resources().Memory.WireBytes() / 2), // it waits once more as frames, as long as the entry reads slowly
		DrainTimeout: cfg.DrainTimeout.Duration,
		Settle:       cfg.SettleTime.Duration,
	}
	if cfg.Kind == bamboostep.EnginePlace {
		s.Engine = newEngine(cfg.BackendURL, cfg.Name)
		return s
	}
	s.Application = newApplication(cfg.BackendURL)
	return s
}
