package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/gateway"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/origin"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/quarantine"
	"github.com/bamboostep/bamboostep/quota"
	"github.com/bamboostep/bamboostep/route"
)

const (
	headerTimeout  = 30 * time.Second // an old device may send its headers slowly
	headerPatience = 2                // times the published limit, which begins with the first byte
	firstTableWait = 500 * time.Millisecond
	sweepInterval  = time.Second
	demandInterval = 500 * time.Millisecond
	suspectsWait   = 2 * time.Second // after the start, for what voters know of suspects

	pollInterval = 20 * time.Millisecond

	leastBurst = 1.0
	budgetUse  = 0.8 // part of the retry budget that is used, for entries that count differently
)

// entry is a process that takes callers' requests.
type entry struct {
	*process
	fleet    *fleet.Fleet
	links    *fleet.Links
	follower *fleet.Follower
	suspects *quarantine.Follower
	quotas   *quota.Meter
	client   *ledger.Client
	gateway  *gateway.Gateway
	pool     *origin.Pool
	table    atomic.Pointer[route.Table]
	stopping atomic.Bool
	began    time.Time

	mu      sync.Mutex
	budgets map[string]*dispatch.Budget
}

func runEntry(p *process) error {
	e := &entry{process: p, began: time.Now(), budgets: make(map[string]*dispatch.Budget)}
	e.fleet = &fleet.Fleet{Domain: p.cfg.FailureDomain, Seed: rand.Uint64()}
	e.fleet.RegisterMetrics(p.registry)
	seeds := p.voters()
	e.client = &ledger.Client{Node: p.wire, Members: seeds, Recorder: p.recorder, Applied: func(s *ledger.State) { noteTable(p, s, &e.table) }}
	e.client.RegisterMetrics(p.registry)
	e.links = &fleet.Links{Node: p.wire, Fleet: e.fleet, Port: p.cfg.FirstPort, Services: func() []string { return e.table.Load().EngineServices() }, Recorder: p.recorder}
	e.follower = &fleet.Follower{
		Node:      p.wire,
		Fleet:     e.fleet,
		Voters:    func() []string { return addresses(e.client, seeds) },
		Directory: p.directory(),
		Recorder:  p.recorder,
	}
	e.pool = &origin.Pool{Dialect: platform.HTTP{}, Metrics: origin.NewMetrics(p.registry)}
	guard := e.newGuard()
	e.quotas = &quota.Meter{Voters: e.quotaVoters, Entries: e.follower.Entries, Recorder: p.recorder, Metrics: quota.NewMetrics(p.registry)}
	e.gateway = &gateway.Gateway{
		Dialect:  platform.CacheMoves{Client: platform.NewEngineClient(engineTimeout)},
		Table:    e.table.Load,
		Fleet:    e.fleet,
		Pool:     e.pool,
		Adapters: e.links,
		Budget:   e.budget,
		Guard:    guard,
		Quotas:   e.quotas,
		Lease:    &ledger.Lease{Client: e.client, For: leaseOn(p.cfg.RevokeTimeout)},
		Recorder: p.recorder,
		Metrics:  gateway.NewMetrics(p.registry),
	}
	return e.run()
}

// quotaVoters returns the voters that are reached.
func (e *entry) quotaVoters() []quota.Voter {
	conns, _ := e.follower.Conns()
	voters := make([]quota.Voter, len(conns))
	for i, c := range conns {
		voters[i] = c
	}
	return voters
}

// leaseOn returns how long an entry goes by the keys that it knows, well within the time
// in which a key that was taken away must be of no use.
func leaseOn(revoke time.Duration) time.Duration { return revoke * 4 / 5 }

// newGuard returns the guard against requests that crash backend servers, and has the
// entry follow what voters know of them.
func (e *entry) newGuard() *quarantine.Guard {
	table := &quarantine.Table{}
	e.suspects = &quarantine.Follower{Table: table, Voters: e.follower.Conns, Recorder: e.recorder}
	e.follower.Reached = e.suspects.Watch
	return &quarantine.Guard{
		Table:    table,
		Tell:     e.suspects.Tell,
		Try:      e.suspects.Try,
		Recorder: e.recorder,
		Metrics:  quarantine.NewMetrics(e.registry, table),
	}
}

func (e *entry) run() error {
	callers, err := net.Listen("tcp", e.cfg.CallerAddr)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", e.cfg.ReadyAddr)
	if err != nil {
		return err
	}
	// What the entry knows is kept up to date until it ends, after its last request.
	work, end := context.WithCancel(context.Background())
	defer end()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return e.client.Run(work) })
	group.Go(func() error { return e.follower.Run(work) })
	group.Go(func() error { return e.links.Run(work) })
	group.Go(func() error { return e.quotas.Run(work) })
	group.Go(func() error { return e.sweep(work) })
	group.Go(func() error { return serve(work, ready, e.readyHandler()) })
	group.Go(func() error { return e.serveCallers(work, callers) })
	group.Go(func() error {
		e.awaitStop(work)
		end()
		return nil
	})
	return ignoreEnd(group.Wait())
}

func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serve serves until ctx ends, then closes all connections.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	return s.Serve(l)
}

// serveCallers serves callers under the limits of the first routes. Until they are
// there, connections wait to be accepted.
func (e *entry) serveCallers(ctx context.Context, l net.Listener) error {
	s := &http.Server{Handler: e.gateway, ReadHeaderTimeout: headerTimeout}
	if t := e.firstTable(ctx); t != nil {
		s.ReadHeaderTimeout = headerPatience * t.Limits.HeaderTime
		s.IdleTimeout = t.Limits.IdleTime
	}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	return s.Serve(l)
}

// firstTable returns the first routes, or nil if none come for a while.
func (e *entry) firstTable(ctx context.Context) *route.Table {
	until := time.Now().Add(firstTableWait)
	for ctx.Err() == nil && time.Now().Before(until) {
		if t := e.table.Load(); t != nil {
			return t
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// awaitStop returns when the process has been told to end and may.
func (e *entry) awaitStop(work context.Context) {
	select {
	case <-work.Done():
		return
	case <-e.ctx.Done():
	}
	began := time.Now()
	e.event("stopping", fmt.Sprintf("%d requests", e.gateway.Running()))
	e.stopping.Store(true)
	plan := gateway.Stopping{Grace: e.cfg.GracePeriod, Since: began}
	e.gateway.Stop(plan)
	for {
		passed := time.Since(began)
		if plan.Ends(passed, e.gateway.Running()) {
			e.event("stopped", fmt.Sprintf("%d requests", e.gateway.Running()))
			return
		}
		time.Sleep(pollInterval)
	}
}

// knowsSuspects reports whether a voter has told which requests are refused, or none
// could for a while.
func (e *entry) knowsSuspects() bool {
	return e.suspects.Synced() || time.Since(e.began) > suspectsWait
}

func (e *entry) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PatternReady, func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() || e.table.Load() == nil || !e.knowsSuspects() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// budget returns the retry budget of a service: this entry's part of what all
// entries have together.
func (e *entry) budget(service string) *dispatch.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = &dispatch.Budget{
			Share:     e.cfg.RetryRatio * budgetUse,
			PerSecond: 0.01,
			Burst:     leastBurst, // an entry that has just started has saved nothing
		}
		e.budgets[service] = b
	}
	return b
}

// retryBurst is this entry's part of the retries that all entries may make beside
// their share. While it does not know how many they are, it takes hardly any.
func (e *entry) retryBurst() float64 {
	n := e.follower.Entries()
	if n == 0 {
		return leastBurst
	}
	return max(leastBurst, e.cfg.RetryExtra*budgetUse/float64(n))
}

// shareBudgets follows the number of entries.
func (e *entry) shareBudgets() {
	burst := e.retryBurst()
	e.mu.Lock()
	defer e.mu.Unlock()
	for service, b := range e.budgets {
		b.SetBurst(burst)
		e.gateway.Metrics.BudgetLeft(service, b.Left(time.Now()))
	}
}

// sweep does what is due from time to time.
func (e *entry) sweep(ctx context.Context) error {
	t := time.NewTicker(demandInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.fleet.HasNews():
			e.tellNews()
			continue
		case <-e.fleet.Urgent():
		case now := <-t.C:
			e.pool.Sweep(now)
			e.shareBudgets()
			for address, used := range e.fleet.TakeUsed() {
				e.links.NoteUsed(address, used)
			}
		}
		e.follower.SendDemand(fleet.DemandNote{Entry: e.cfg.VMName, Demand: e.fleet.TakeDemand()})
	}
}

// tellNews tells holders which beginnings of prompts their engines read.
func (e *entry) tellNews() {
	for address, parts := range e.fleet.TakeNews() {
		e.links.NoteKept(address, parts)
	}
}
