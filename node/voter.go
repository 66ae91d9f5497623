package main

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/operator"
	"github.com/bamboostep/bamboostep/placement"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/quarantine"
	"github.com/bamboostep/bamboostep/quota"
	"github.com/bamboostep/bamboostep/release"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/stock"
	"github.com/bamboostep/bamboostep/wire"
)

// ledgerDirName is the ledger's directory in the data directory. It must hold nothing else:
// the ledger deletes files that it does not know.
const ledgerDirName = "ledger"

// quarantineFileName is the file in the data directory that holds the suspected requests.
const quarantineFileName = "quarantine"

// releaseFileName is the file in the data directory that holds the software versions at which streams began.
const releaseFileName = "streams"

// minWorkToMove is the load of an engine, in tokens per second, below which models are not
// moved. It is about a tenth of the rate at which an engine reads prompts.
const minWorkToMove = 3000

// runVoter runs a voter of the ledger. It also places models while it leads, counts quotas,
// collects crash reports, distributes the list of backend servers and serves operators. On a VM
// without a disk it runs an observer.
func runVoter(p *process) error {
	if p.cfg.DataDir == "" {
		return runObserver(p)
	}
	seeds := p.newSeedList()
	mux := &wire.Mux{}
	v := &ledger.Voter{
		Name:      p.wireAddress(),
		Address:   p.wireAddress(),
		Domain:    p.cfg.FailureDomain,
		Tolerance: p.tolerance(),
		Members:   seeds.voters(),
		Seeds:     seeds.voters,
		Dir:       filepath.Join(p.cfg.DataDir, ledgerDirName),
		Heal:      true,
		Joining:   !p.cfg.Bootstrap,
		Node:      p.wire,
		Recorder:  p.recorder,
		Registry:  p.registry,
	}
	v.Register(mux)
	client := p.ledgerClient(seeds, nil)
	client.Local = v
	client.RegisterMetrics(p.registry)
	var table atomic.Pointer[route.Table]
	backends := &fleet.Fleet{Domain: p.cfg.FailureDomain, HasService: hasService(&table)}
	backends.RegisterMetrics(p.registry)
	v.Applied = func(s *ledger.State) { applyRoutes(p, s, &table) }
	reader := &fleet.ListReader{Directory: p.directory(), Fleet: backends, Active: v.Coordinates, Recorder: p.recorder}
	reader.Register(mux)
	counter := &quota.BucketServer{StartFull: p.cfg.Bootstrap, Span: p.cfg.QuotaWindow, Quota: func(workspace string) (route.Quota, bool) { return table.Load().Quota(workspace) }}
	counter.Register(mux)
	limits := &quota.ServerLimitCoordinator{}
	limits.Register(mux)
	board, boardFile := newQuarantineBoard(p)
	board.Register(mux)
	releases := newReleaseRegistry(p)
	releases.Register(mux)
	links := &fleet.HolderLinks{
		Node:  p.wire,
		Fleet: backends,
		Port:  p.cfg.FirstPort,
		Services: func() []string {
			if !v.Coordinates() {
				return nil
			}
			return table.Load().EngineServices()
		},
		Recorder: p.recorder,
	}
	placer := &placement.Placement{
		Fleet:  backends,
		Orders: links,
		Table:  table.Load,
		Leader: func() (uint64, bool) {
			_, term, leads := v.Leader()
			return term, leads
		},
		NewPlacer: func(string) bamboostep.Placer { return &stock.Spread{MinTokenRate: minWorkToMove} },
		Limit: func(r fleet.Report) (float64, bool) {
			return limits.Rate(quota.ServerID{Instance: r.Instance, StartedMS: r.StartedMS})
		},
		Recorder:        p.recorder,
		Metrics:         placement.NewMetrics(p.registry),
		StoreWindow:     p.cfg.StoreWindow,
		StoreRateFactor: p.cfg.StoreRateFactor,
	}
	placer.Register(mux)
	wireListener, operatorListener, err := p.listenVoter()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(p.ctx)
	group.Go(func() error { return v.Run(ctx) })
	group.Go(func() error { return p.watchSeeds(ctx, seeds) })
	group.Go(func() error { return client.Run(ctx) })
	group.Go(func() error { return reader.Run(ctx) })
	group.Go(func() error { return boardFile.Run(ctx) })
	group.Go(func() error { return releases.File.Run(ctx) })
	group.Go(func() error { return links.Run(ctx) })
	group.Go(func() error { return placer.Run(ctx) })
	group.Go(func() error {
		return (&wire.Listener{Node: p.wire, Net: wireListener, Handler: mux, Limit: p.resources().Connections(daemon.VoterPeersPart)}).Run(ctx)
	})
	group.Go(func() error {
		return serveOperators(ctx, p, client, operatorListener)
	})
	return ignoreShutdown(group.Wait())
}

// runObserver runs in place of a voter on a VM without a disk: it serves operators through the voters,
// and does nothing else that voters do.
func runObserver(p *process) error {
	p.recordEvent("ledger_without_disk", "")
	seeds := p.newSeedList()
	client := p.ledgerClient(seeds, nil)
	client.Follow = followedVoters
	client.RegisterMetrics(p.registry)
	observer := &ledger.Observer{Name: p.wireAddress(), Client: client}
	client.Applied = func(*ledger.State) { observer.Changed() }
	mux := &wire.Mux{}
	observer.Register(mux)
	wireListener, operatorListener, err := p.listenVoter()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(p.ctx)
	group.Go(func() error { return p.watchSeeds(ctx, seeds) })
	group.Go(func() error { return client.Run(ctx) })
	group.Go(func() error {
		return (&wire.Listener{Node: p.wire, Net: wireListener, Handler: mux, Limit: p.resources().Connections(daemon.VoterPeersPart)}).Run(ctx)
	})
	group.Go(func() error {
		return serveOperators(ctx, p, client, operatorListener)
	})
	return ignoreShutdown(group.Wait())
}

// newQuarantineBoard returns the board that collects which requests crash backend servers, and its
// file, from which it is restored.
func newQuarantineBoard(p *process) (*quarantine.Aggregator, *quarantine.File) {
	table := &quarantine.Table{}
	quarantine.NewMetrics(p.registry, table)
	board := &quarantine.Aggregator{Table: table, Recorder: p.recorder}
	file := &quarantine.File{Path: filepath.Join(p.cfg.DataDir, quarantineFileName), Table: table, Recorder: p.recorder}
	file.Restore()
	board.OnChange = file.ScheduleSave
	return board, file
}

// newReleaseRegistry returns the registry of the software versions at which streams began, with its file.
func newReleaseRegistry(p *process) *release.Registry {
	return &release.Registry{
		Recorder: p.recorder,
		Metrics:  release.NewMetrics(p.registry),
		File:     &release.File{Path: filepath.Join(p.cfg.DataDir, releaseFileName), Recorder: p.recorder},
	}
}

// listenVoter opens the ports for the system's other processes and for operators.
func (p *process) listenVoter() (forProcesses, forOperators net.Listener, err error) {
	if forProcesses, err = p.listenWire(); err != nil {
		return nil, nil, err
	}
	forOperators, err = net.Listen("tcp", p.cfg.OperatorAddr)
	return forProcesses, forOperators, err
}

// serveOperators serves the publication and the reading of routes on l until ctx ends.
func serveOperators(ctx context.Context, p *process, client *ledger.Client, l net.Listener) error {
	held := p.memory().NewBudget(p.registry, p.recorder)
	routes := &operator.Routes{Ledger: client, Decode: platform.ParseRoutes, Recorder: p.recorder, Memory: held}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PatternPublishRoutes, routes.Publish)
	mux.HandleFunc(platform.PatternReadRoutes, routes.Read)
	return serve(ctx, l, mux, held, p.resources().Connections(daemon.VoterOperatorPart))
}
