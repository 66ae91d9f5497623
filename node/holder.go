package main

import (
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/holder"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/wire"
)

// engineTimeout bounds one HTTP request to an engine.
const engineTimeout = time.Second

// runHolder runs a holder: it gives the engine on its VM its orders, and sends the engine's
// reports to entries and voters.
func runHolder(p *process) error {
	var table atomic.Pointer[route.Table]
	seeds := p.newSeedList()
	client := p.ledgerClient(seeds, func(s *ledger.State) { applyRoutes(p, s, &table) })
	client.RegisterMetrics(p.registry)
	h := &holder.Holder{
		Name:    p.cfg.VMName,
		Address: p.cfg.EngineAddr,
		Service: p.cfg.EngineService,
		Domain:  p.cfg.FailureDomain,
		Engine: &platform.Engine{
			Address:    p.cfg.EngineAddr,
			Client:     platform.NewEngineClient(engineTimeout),
			HealthPath: func() string { return table.Load().HealthPath(p.cfg.EngineService) },
		},
		Spec:     func() *route.Engine { return table.Load().Engine(p.cfg.EngineService) },
		Recorder: p.recorder,
	}
	h.Metrics = holder.NewMetrics(p.registry, h)
	mux := &wire.Mux{}
	h.Register(mux)
	wireListener, err := p.listenWire()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(p.ctx)
	group.Go(func() error { return h.Run(ctx) })
	group.Go(func() error { return client.Run(ctx) })
	group.Go(func() error { return p.watchSeeds(ctx, seeds) })
	group.Go(func() error {
		return (&wire.Listener{Node: p.wire, Net: wireListener, Handler: mux, Limit: p.resources().Connections(daemon.HolderPeersPart), Patient: true}).Run(ctx)
	})
	return ignoreShutdown(group.Wait())
}
