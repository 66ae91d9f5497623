package main

import (
	"path/filepath"
	"sync/atomic"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/placement"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/stock"

	"net"
	"net/http"
	"os"

	"golang.org/x/sync/errgroup"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/operator"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/quarantine"
	"github.com/bamboostep/bamboostep/quota"
	"github.com/bamboostep/bamboostep/wire"
)

// ledgerFolder is below the data folder. The ledger empties its own folder of whatever
// it does not know.
const ledgerFolder = "ledger"

const quarantineFile = "quarantine"

// leastWork is the work of an engine, in tokens a second, that is not worth a move:
// about a tenth of what an engine reads.
const leastWork = 3000

// runVoter runs a process that votes in the ledger and serves operators.
func runVoter(p *process) error {
	dir, err := ledgerDir(p)
	if err != nil {
		return err
	}
	seeds := p.voters()
	mux := &wire.Mux{}
	v := &ledger.Voter{
		Name:     p.ownAddress(),
		Address:  p.ownAddress(),
		Domain:   p.cfg.FailureDomain,
		Members:  seeds,
		Dir:      dir,
		Heal:     true,
		Joining:  !p.cfg.Bootstrap,
		Node:     p.wire,
		Recorder: p.recorder,
		Registry: p.registry,
	}
	v.Register(mux)
	client := &ledger.Client{Node: p.wire, Members: seeds, Local: v, Recorder: p.recorder}
	client.RegisterMetrics(p.registry)
	known := &fleet.Fleet{Domain: p.cfg.FailureDomain}
	known.RegisterMetrics(p.registry)
	var table atomic.Pointer[route.Table]
	v.Applied = func(s *ledger.State) { noteTable(p, s, &table) }
	reader := &fleet.Reader{Directory: p.directory(), Fleet: known, Recorder: p.recorder}
	reader.Register(mux)
	counter := &quota.Counter{Fresh: p.cfg.Bootstrap, Quota: func(w string) (route.Quota, bool) { return table.Load().Quota(w) }}
	counter.Register(mux)
	board, file := newBoard(p)
	board.Register(mux)
	links := &fleet.Links{
		Node:     p.wire,
		Fleet:    known,
		Port:     p.cfg.FirstPort,
		Services: func() []string { return table.Load().EngineServices() },
		Recorder: p.recorder,
	}
	place := &placement.Placement{
		Fleet:  known,
		Orders: links,
		Table:  table.Load,
		Leader: func() (uint64, bool) {
			_, term, leads := v.Leader()
			return term, leads
		},
		Placer:      func(string) bamboostep.Placer { return &stock.Spread{LeastWork: leastWork} },
		Recorder:    p.recorder,
		Metrics:     placement.NewMetrics(p.registry),
		StoreWindow: p.cfg.StoreWindow,
		StoreOver:   p.cfg.StoreRateFactor,
	}
	place.Register(mux)
	own, err := p.listen()
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", p.cfg.OperatorAddr)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(p.ctx)
	group.Go(func() error { return v.Run(ctx) })
	group.Go(func() error { return client.Run(ctx) })
	group.Go(func() error { return reader.Run(ctx) })
	if file != nil {
		group.Go(func() error { return file.Run(ctx) })
	}
	group.Go(func() error { return links.Run(ctx) })
	group.Go(func() error { return place.Run(ctx) })
	group.Go(func() error {
		return (&wire.Listener{Node: p.wire, Net: own, Handler: mux}).Run(ctx)
	})
	group.Go(func() error { return serve(ctx, operators, operatorHandler(p, client)) })
	return ignoreEnd(group.Wait())
}

// newBoard returns what puts together which requests crash backend servers, and the file
// that keeps it; nil on a VM without a disk.
func newBoard(p *process) (*quarantine.Board, *quarantine.File) {
	table := &quarantine.Table{}
	quarantine.NewMetrics(p.registry, table)
	board := &quarantine.Board{Table: table, Recorder: p.recorder}
	if p.cfg.DataDir == "" {
		return board, nil
	}
	file := &quarantine.File{Name: filepath.Join(p.cfg.DataDir, quarantineFile), Table: table, Recorder: p.recorder}
	file.Restore()
	board.Changed = file.Changed
	return board, file
}

// ledgerDir returns the ledger's folder. On a VM without a disk it lasts as long as
// the process; after that the voter is taken in anew by the others.
func ledgerDir(p *process) (string, error) {
	if p.cfg.DataDir != "" {
		return filepath.Join(p.cfg.DataDir, ledgerFolder), nil
	}
	p.event("ledger_without_disk", "")
	return os.MkdirTemp("", ledgerFolder)
}

func operatorHandler(p *process, client *ledger.Client) http.Handler {
	routes := &operator.Routes{Ledger: client, Decode: platform.ParseRoutes, Recorder: p.recorder}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PatternPublishRoutes, routes.Publish)
	mux.HandleFunc(platform.PatternReadRoutes, routes.Read)
	return mux
}
