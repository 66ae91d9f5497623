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

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/gateway"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/origin"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/quarantine"
	"github.com/bamboostep/bamboostep/quota"
	"github.com/bamboostep/bamboostep/release"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	headerTimeout       = 30 * time.Second       // long, because old devices may send their headers slowly
	headerTimeoutFactor = 2                      // on the published limit, which counts from the first byte and not from the accept
	routesWait          = 500 * time.Millisecond // after the start, for the first routes
	sweepInterval       = time.Second
	periodicInterval    = 500 * time.Millisecond // of runPeriodicTasks
	syncWait            = 2 * time.Second        // after the start, for voters to send the suspected requests and limits

	pollInterval = 20 * time.Millisecond // of awaitRoutes and awaitShutdown

	waitingShare     = 0.05 // of the memory limit, for bodies of requests that wait for engines
	minRetryBurst    = 1.0  // retries; the least that a budget may save up
	retryBudgetShare = 0.8  // share of the retry budget in use; the rest allows for entries that count differently
)

// entry is the process that serves callers' requests.
type entry struct {
	*process
	fleet     *fleet.Fleet         // known backend servers and their load
	links     *fleet.HolderLinks   // connections to holders
	follower  *fleet.ListFollower  // connections to voters
	suspects  *quarantine.Follower // requests that may crash backend servers, as shared with voters
	quotas    *quota.Limiter
	limits    *quota.ServerLimiter
	releases  *release.Tracker // software versions at which streams began
	client    *ledger.Client
	gateway   *gateway.Gateway
	pool      *origin.Pool
	table     atomic.Pointer[route.Table] // routes in force; nil before the first
	stopping  atomic.Bool                 // the process was told to stop
	startedAt time.Time

	mu           sync.Mutex
	retryBudgets map[string]*dispatch.RetryBudget // by service
}

// runEntry runs an entry, see run.
func runEntry(p *process) error {
	e := &entry{process: p, startedAt: time.Now(), retryBudgets: make(map[string]*dispatch.RetryBudget)}
	e.fleet = &fleet.Fleet{Domain: p.cfg.FailureDomain, Seed: rand.Uint64(), HasService: hasService(&e.table)}
	e.fleet.RegisterMetrics(p.registry)
	seeds := p.newSeedList()
	e.client = p.ledgerClient(seeds, func(s *ledger.State) { applyRoutes(p, s, &e.table) })
	e.client.Follow = followedVoters
	e.client.RegisterMetrics(p.registry)
	e.links = &fleet.HolderLinks{Node: p.wire, Fleet: e.fleet, Port: p.cfg.FirstPort, Services: func() []string { return e.table.Load().EngineServices() }, Sent: true, Recorder: p.recorder}
	e.follower = &fleet.ListFollower{
		Node:      p.wire,
		Fleet:     e.fleet,
		Voters:    func() []string { return p.coordinatorAddresses(e.client, seeds) },
		Directory: p.directory(),
		Recorder:  p.recorder,
	}
	e.pool = &origin.Pool{Dialect: platform.HTTPDialect{}, Metrics: origin.NewMetrics(p.registry), MaxIdle: p.resources().Descriptors.Part(daemon.IdleServersPart)}
	guard := e.newGuard()
	e.quotas = &quota.Limiter{Voters: e.reachableVoters, EntryCount: e.follower.Entries, Name: p.cfg.VMName, Span: p.cfg.QuotaWindow, Recorder: p.recorder, Metrics: quota.NewMetrics(p.registry)}
	e.limits = &quota.ServerLimiter{Voters: e.limitVoters, EntryCount: e.follower.Entries, Recorder: p.recorder, Metrics: quota.NewServerLimitMetrics(p.registry)}
	e.releases = &release.Tracker{Voters: e.releaseVoters, Metrics: release.NewMetrics(p.registry)}
	e.follower.OnConnect = func(ctx context.Context, c *wire.Conn) {
		e.quotas.Report(ctx)
		e.releases.Resend(c)
		go e.limits.Watch(ctx, c)
		e.suspects.Watch(ctx, c)
	}
	e.gateway = &gateway.Gateway{
		Dialect:      platform.CacheMoveDialect{Client: platform.NewCacheMoveClient(engineTimeout)},
		RouteTable:   e.table.Load,
		Fleet:        e.fleet,
		Pool:         e.pool,
		Adapters:     e.links,
		RetryBudget:  e.retryBudget,
		Quarantine:   guard,
		QuotaLimiter: e.quotas,
		ServerLimits: e.limits,
		Releases:     e.releases,
		Proof:        e.client,
		KeyLease:     &ledger.Lease{Client: e.client, For: leaseDuration(p.cfg.RevokeTimeout)},
		Memory:       p.memory().NewBudget(p.registry, p.recorder),
		Recorder:     p.recorder,
		Metrics:      gateway.NewMetrics(p.registry),

		MaxWaitingBytes: int64(waitingShare * float64(p.cfg.MemoryLimitMB) * (1 << 20)),
	}
	return e.run(seeds)
}

// reachableVoters returns the voters to which the entry has a connection.
func (e *entry) reachableVoters() []quota.Voter {
	conns, _ := e.follower.Conns()
	voters := make([]quota.Voter, len(conns))
	for i, c := range conns {
		voters[i] = c
	}
	return voters
}

// limitVoters returns the voters to which the entry has a connection, and the number of all.
func (e *entry) limitVoters() ([]quota.LimitVoter, int) {
	conns, all := e.follower.Conns()
	voters := make([]quota.LimitVoter, len(conns))
	for i, c := range conns {
		voters[i] = c
	}
	return voters, all
}

// releaseVoters returns the voters to which the entry has a connection, and the number of all.
func (e *entry) releaseVoters() ([]release.Voter, int) {
	conns, all := e.follower.Conns()
	voters := make([]release.Voter, len(conns))
	for i, c := range conns {
		voters[i] = c
	}
	return voters, all
}

// leaseDuration returns how long an entry accepts API keys after a quorum last proved them
// current: four fifths of the time in which a withdrawn key must be rejected, the rest is a
// margin. 0, for a revoke of 0, means no limit.
func leaseDuration(revoke time.Duration) time.Duration { return revoke * 4 / 5 }

// newGuard returns the guard against requests that crash backend servers. It shares the
// suspected requests with the voters, over the connections of the follower.
func (e *entry) newGuard() *quarantine.Guard {
	table := &quarantine.Table{}
	e.suspects = &quarantine.Follower{Table: table, Voters: e.follower.Conns, Recorder: e.recorder}
	return &quarantine.Guard{
		Table:        table,
		Broadcast:    e.suspects.Broadcast,
		RequestTrial: e.suspects.RequestTrial,
		Recorder:     e.recorder,
		Metrics:      quarantine.NewMetrics(e.registry, table),
	}
}

// run serves until the process is told to stop and has ended its requests.
func (e *entry) run(seeds *seedList) error {
	callers, err := net.Listen("tcp", e.cfg.CallerAddr)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", e.cfg.ReadyAddr)
	if err != nil {
		return err
	}
	// Not derived from e.ctx, which ends when the process is told to stop: requests that still
	// run need an up-to-date state.
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return e.client.Run(runCtx) })
	group.Go(func() error { return e.watchSeeds(runCtx, seeds) })
	group.Go(func() error { return e.follower.Run(runCtx) })
	group.Go(func() error { return e.links.Run(runCtx) })
	group.Go(func() error { return e.quotas.Run(runCtx) })
	group.Go(func() error { return e.releases.Run(runCtx) })
	group.Go(func() error { return e.runPeriodicTasks(runCtx) })
	group.Go(func() error {
		return serve(runCtx, ready, e.readyHandler(), e.gateway.Memory, e.resources().AdminConnections())
	})
	callersCtx, stopCallers := context.WithCancel(runCtx)
	defer stopCallers()
	served := make(chan struct{})
	group.Go(func() error {
		defer close(served)
		return e.serveCallers(callersCtx, runCtx, callers)
	})
	group.Go(func() error {
		exitAt := e.awaitShutdown(runCtx)
		stopCallers()
		select {
		case <-served:
		case <-time.After(time.Until(exitAt)):
		}
		cancel()
		return nil
	})
	return ignoreShutdown(group.Wait())
}

// ignoreShutdown returns nil for the errors of an orderly shutdown.
func ignoreShutdown(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// bodyTimeout is for a request of an operator or the platform in all. An operator goes to another process after a second.
const bodyTimeout = 30 * time.Second

// serve serves HTTP on l until ctx ends, then closes all connections. At most maxConnections are open at once, 0 for any number, and their heads count against held.
func serve(ctx context.Context, l net.Listener, h http.Handler, held *memory.Budget, maxConnections int) error {
	s := &http.Server{Handler: &daemon.HeadGuard{Memory: held, Handler: h}, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, WriteTimeout: 2 * bodyTimeout, IdleTimeout: 2 * bodyTimeout}
	s.MaxHeaderBytes = daemon.SmallHeaderBytes
	daemon.LimitConnections(s, maxConnections)
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	return s.Serve(l)
}

// serveCallers serves callers with the timeouts of the first routes. It accepts no connection
// before it has them or routesWait is over; without routes it uses the default timeouts. When ctx
// ends, it closes the listener and returns once the connections have ended that have sent a request
// or may be about to. When runCtx ends, it closes all of them.
func (e *entry) serveCallers(ctx, runCtx context.Context, l net.Listener) error {
	s := &http.Server{Handler: &daemon.HeadGuard{Memory: e.gateway.Memory, Handler: e.gateway}, ReadHeaderTimeout: headerTimeout}
	daemon.LimitHeader(s, 0)
	daemon.ResetIncomplete(s)
	if t := e.awaitRoutes(ctx); t != nil {
		s.ReadHeaderTimeout = headerTimeoutFactor * t.Limits.HeaderTimeout
		s.IdleTimeout = t.Limits.IdleTimeout
		daemon.LimitHeader(s, t.Limits.MaxHeaderBytes)
	}
	stop := context.AfterFunc(runCtx, func() { s.Close() })
	defer stop()
	return daemon.ServeLimited(ctx, l, s, e.cfg.GracePeriod, e.resources().Connections(daemon.CallersPart))
}

// awaitRoutes returns the first routes, or nil if none arrive within routesWait.
func (e *entry) awaitRoutes(ctx context.Context) *route.Table {
	until := time.Now().Add(routesWait)
	for ctx.Err() == nil && time.Now().Before(until) {
		if t := e.table.Load(); t != nil {
			return t
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// awaitShutdown returns when runCtx ends, or once the process has been told to stop and
// gateway.ShutdownPlan lets it end: no request runs and callers have had time to notice, or the
// platform is about to kill it. It returns when the process must exit at the latest.
func (e *entry) awaitShutdown(runCtx context.Context) (exitAt time.Time) {
	select {
	case <-runCtx.Done():
		return time.Now()
	case <-e.ctx.Done():
	}
	began := time.Now()
	e.recordEvent("stopping", fmt.Sprintf("%d requests", e.gateway.ActiveRequests()))
	e.stopping.Store(true)
	stopping := gateway.ShutdownPlan{Grace: e.cfg.GracePeriod, StartedAt: began}
	e.gateway.BeginShutdown(stopping)
	for {
		elapsed := time.Since(began)
		if stopping.ShouldExit(elapsed, e.gateway.ActiveRequests()) {
			e.recordEvent("stopped", fmt.Sprintf("%d requests", e.gateway.ActiveRequests()))
			return stopping.ExitAt()
		}
		time.Sleep(pollInterval)
	}
}

// synced reports whether voters have sent the suspected requests and the limits of backend
// servers. It also reports true after syncWait, so that an entry that reaches no voter becomes
// ready.
func (e *entry) synced() bool {
	return e.suspects.Synced() && e.limits.Synced() || time.Since(e.startedAt) > syncWait
}

// readyHandler answers 200 once the entry has routes and is synced, and 503 before that and
// after it was told to stop.
func (e *entry) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PatternReady, func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() || e.table.Load() == nil || !e.synced() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// retryBudget returns this entry's retry budget for a service, which it creates on first use.
func (e *entry) retryBudget(service string) *dispatch.RetryBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.retryBudgets[service]
	if b == nil {
		b = &dispatch.RetryBudget{
			Share:     e.cfg.RetryRatio * retryBudgetShare,
			PerSecond: 0.01,          // hardly any; 0 would select the default of dispatch.RetryBudget
			Burst:     minRetryBurst, // a new entry has not saved up any retries
		}
		e.retryBudgets[service] = b
	}
	return b
}

// retryBurst returns this entry's part of RetryExtra, which is divided equally among the
// entries. It is minRetryBurst while the number of entries is not known.
func (e *entry) retryBurst() float64 {
	n := e.follower.Entries()
	if n == 0 {
		return minRetryBurst
	}
	return max(minRetryBurst, e.cfg.RetryExtra*retryBudgetShare/float64(n))
}

// updateRetryBursts adjusts the budgets to the present number of entries and updates their
// metrics.
func (e *entry) updateRetryBursts() {
	burst := e.retryBurst()
	e.mu.Lock()
	defer e.mu.Unlock()
	for service, b := range e.retryBudgets {
		b.SetBurst(burst)
		e.gateway.Metrics.SetRetryBudget(service, b.Available(time.Now()))
	}
}

// runPeriodicTasks runs until ctx ends. It sends kept prompt prefixes as soon as there are
// any, announces prompts when that is due, and sends demand at once if it is urgent, otherwise every periodicInterval. On the same
// interval it closes idle connections, updates retry budgets and reports the adapters in use.
func (e *entry) runPeriodicTasks(ctx context.Context) error {
	t := time.NewTicker(periodicInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.fleet.PrefixesReady():
			e.sendKeptPrefixes()
			continue
		case <-e.fleet.AnnouncementsReady():
			for address, u := range e.fleet.TakeAnnouncements() {
				e.links.SendSent(address, u)
			}
			continue
		case <-e.fleet.UrgentDemand():
		case now := <-t.C:
			e.pool.CloseExpired(now)
			e.updateRetryBursts()
			for address, used := range e.fleet.TakeUsedAdapters() {
				e.links.SendAdapterUse(address, used)
			}
			for address, n := range e.fleet.TakeFirstEvents() {
				e.links.SendFirstEvents(address, n)
			}
		}
		e.follower.SendDemand(fleet.DemandUpdate{Entry: e.cfg.VMName, Demand: e.fleet.TakeDemand(), VersionNeeds: e.fleet.TakeVersionNeeds()})
	}
}

// sendKeptPrefixes tells holders which prompt prefixes their engines have read for this entry.
func (e *entry) sendKeptPrefixes() {
	for address, parts := range e.fleet.TakeNewPrefixes() {
		e.links.SendPrefixes(address, parts)
	}
}
