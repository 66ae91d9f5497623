package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/roster"
	"github.com/bamboostep/bamboostep/stock"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	callerHeaderTimeout = 10 * time.Second // callers' devices may be old and on slow links
	callerIdleTimeout   = 2 * time.Minute
	adminCloseTimeout   = 2 * time.Second
	platformReadTimeout = 2 * time.Second
	proofInterval       = time.Second

	ledgerDir = "ledger"   // in DataDir
	feedFile  = "feed.set" // in DataDir
)

// The implementations that the settings "router", "placer" and "admission" select.
var (
	routers = map[string]func() bamboostep.Router{
		"score":       func() bamboostep.Router { return &dispatch.Balanced{} },
		"least_load":  func() bamboostep.Router { return &dispatch.LeastLoad{} },
		"round_robin": func() bamboostep.Router { return &dispatch.RoundRobin{} },
	}
	placers = map[string]func() bamboostep.Placer{
		"demand":    func() bamboostep.Placer { return &stock.Placer{} },
		"on_demand": func() bamboostep.Placer { return stock.OnDemand{} },
		"static":    func() bamboostep.Placer { return &stock.Static{} },
	}
	admissions = map[string]dispatch.Admission{
		"predicted_wait": {},
		"none":           dispatch.AdmitAll,
	}
)

// entry holds the components of the process.
type entry struct {
	cfg      entrySettings
	log      *log.Logger
	registry *prometheus.Registry
	recorder *timeline.Recorder
	node     *wire.Node
	mux      *wire.Mux

	voter         *ledger.Voter // nil without a data directory
	client        *ledger.Client
	feed          *catalog.Feed
	peers         *peers
	servers       *serverPool
	callerHandler *callerHandler
	held          *memory.Budget // for what is held for callers and operators
	placementLoop *placementLoop

	stateMu    sync.Mutex
	stateIndex uint64 // ledger index of the newest state applied; guarded by stateMu

	draining       atomic.Bool
	configured     chan struct{} // closed once a configuration is active
	configuredOnce sync.Once
}

func newEntry(cfg entrySettings) (*entry, error) {
	tlsConfig, err := cfg.TLS.Config()
	if err != nil {
		return nil, err
	}
	logger := daemon.NewLogger(os.Stderr, cfg.Name)
	registry := daemon.NewRegistry()
	clock := &timeline.Clock{Wall: daemon.SystemClock{}}
	e := &entry{
		cfg:      cfg,
		log:      logger,
		registry: registry,
		recorder: &timeline.Recorder{Process: cfg.Name, Clock: clock, Log: logger},
		node: &wire.Node{
			Hello:   wire.Hello{Name: cfg.Name, Role: "entry", Incarnation: uint64(time.Now().UnixNano())},
			Clock:   clock,
			Metrics: wire.NewMetrics(registry),
			TLS:     tlsConfig,
			Source:  cfg.sourceIP(),
		},
		mux:        &wire.Mux{},
		configured: make(chan struct{}),
	}
	e.node.Memory = cfg.memory().NewWireBudget(registry, e.recorder)
	e.held = cfg.memory().NewBudget(registry, e.recorder)
	e.buildLedger()
	e.buildServers()
	e.buildCallers()
	e.buildPlacement()
	return e, nil
}

func (e *entry) buildLedger() {
	e.feed = &catalog.Feed{Node: e.node, Recorder: e.recorder, Registry: e.registry, Changed: e.handleNewSet}
	e.feed.Register(e.mux)
	if e.cfg.DataDir != "" {
		e.feed.File = filepath.Join(e.cfg.DataDir, feedFile)
		e.voter = &ledger.Voter{
			Name:     e.cfg.Name,
			Members:  e.cfg.voters(),
			Dir:      filepath.Join(e.cfg.DataDir, ledgerDir),
			Node:     e.node,
			Recorder: e.recorder,
			Registry: e.registry,
			Applied:  e.applyLedgerState,
		}
		e.voter.Register(e.mux)
	}
	e.client = &ledger.Client{
		Node:     e.node,
		Members:  e.cfg.voters(),
		Local:    e.voter,
		Recorder: e.recorder,
		Applied:  e.applyLedgerState,
		NoSet:    true, // the feed delivers configurations as deltas
	}
}

func (e *entry) buildServers() {
	e.servers = &serverPool{
		Node:       e.node,
		Platform:   &httpPlatform{URL: e.cfg.PlatformURL, Client: &http.Client{Timeout: platformReadTimeout}},
		Recorder:   e.recorder,
		Log:        e.log,
		CurrentSet: e.feed.Set,
		OnSuspect:  e.handleSuspects,
		OnReport:   func(r bamboostep.Report) { e.placementLoop.HandleReport(r) },
		Dropped:    newDroppedPieces(e.registry),
		Reach:      roster.VMConnections{Self: e.cfg.Name, Region: e.cfg.Region, ConnectAll: e.cfg.DataDir != ""}, // a voter may become leader, and then places models in all regions
		LookupHolders: func(ctx context.Context, w roster.SearchTarget, onReply func(string, []string)) {
			e.peers.AskHolders(ctx, w, onReply)
		},
	}
	e.registerConnectedAgents()
}

func (e *entry) registerConnectedAgents() {
	for region, otherRegions := range map[string]bool{"own": false, "other": true} {
		e.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace:   "bamboostep",
			Name:        "agents_connected",
			Help:        "Agents that this entry is connected to, by their region.",
			ConstLabels: prometheus.Labels{"region": region},
		}, func() float64 { return float64(e.servers.Connected(otherRegions)) }))
	}
}

func newDroppedPieces(r prometheus.Registerer) prometheus.Counter {
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "bamboostep",
		Name:      "dropped_pieces_total",
		Help:      "Pieces of answers that nothing waited for: crossed, late or repeated.",
	})
	r.MustRegister(dropped)
	return dropped
}

func (e *entry) buildCallers() {
	e.peers = &peers{
		Node:            e.node,
		Mux:             e.mux,
		Self:            e.cfg.Name,
		Peers:           e.cfg.Peers,
		Feed:            e.feed,
		Recorder:        e.recorder,
		Region:          e.cfg.Region,
		ConnectAll:      e.cfg.DataDir != "",
		Holders:         e.servers.Holders,
		LocalFleet:      e.fleetStatus,
		AgentTimeline:   e.servers.Timeline,
		OnSuspects:      func(s []bamboostep.Suspect) { e.callerHandler.RecordSuspects(s) },
		RefusedSuspects: func() []bamboostep.Suspect { return e.callerHandler.RefusedSuspects() },
		OnDemand:        func(entry string, d []bamboostep.Demand) { e.placementLoop.RecordDemand(entry, d) },
	}
	e.peers.Register()
	e.callerHandler = &callerHandler{
		Name:              e.cfg.Name,
		FailureDomain:     e.cfg.FailureDomain,
		Region:            e.cfg.Region,
		Fleet:             e.servers,
		Ledger:            e.client,
		LedgerReachableAt: e.ledgerReachableAt,
		Router:            routers[e.cfg.Router](),
		Admission:         admissions[e.cfg.Admission],
		ShareSuspects:     e.peers.ShareSuspects,
		Recorder:          e.recorder,
		Registry:          e.registry,
		Clock:             daemon.SystemClock{},
		Seed:              uint64(time.Now().UnixNano()),
	}
	e.callerHandler.Memory = e.held
	e.callerHandler.Limits.MaxBodyBytes = e.cfg.MaxBodyBytes
}

func (e *entry) buildPlacement() {
	e.placementLoop = &placementLoop{
		Name:       e.cfg.Name,
		Placer:     placers[e.cfg.Placer](),
		Servers:    e.servers,
		Set:        e.feed.Set,
		Leader:     e.leader,
		Demand:     e.callerHandler.Demand,
		SendDemand: e.peers.SendDemand,
		Recorder:   e.recorder,
		Log:        e.log,
		Registry:   e.registry,
	}
}

// handleSuspects records the crash suspects that an agent reported and shares them
// with the other entries.
func (e *entry) handleSuspects(suspects []bamboostep.Suspect) {
	e.callerHandler.RecordSuspects(suspects)
	e.peers.ShareSuspects(suspects)
}

// applyLedgerState handles a newly applied state of the ledger. It comes from this
// entry's own voter or, if that one is behind or was refused, from the other
// voters. The two sources are not ordered with each other, so states older than
// the last one are ignored.
func (e *entry) applyLedgerState(s *ledger.State) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if s.Index() < e.stateIndex {
		return
	}
	e.stateIndex = s.Index()
	e.servers.SetDrained(s.Drains())
	encoded, revision := s.Set()
	if revision == 0 || len(encoded) == 0 {
		return
	}
	if current := e.feed.Set(); current != nil && current.Revision() >= revision {
		return
	}
	set, err := catalog.Decode(encoded)
	if err != nil {
		e.log.Error("set_not_readable", "revision", revision, "error", err)
		return
	}
	e.feed.Offer(set.WithRevision(revision))
}

// handleNewSet activates a newer configuration, whether it came from the ledger or
// the feed.
func (e *entry) handleNewSet(s *catalog.Set) {
	e.recorder.Record(timeline.Event{Kind: "revision_in_force", Revision: s.Revision()})
	e.servers.SetRevision(s.Revision())
	e.configuredOnce.Do(func() { close(e.configured) })
}

func (e *entry) leader() (string, uint64, bool) {
	if e.voter != nil {
		return e.voter.Leader()
	}
	name, term := e.client.Leader()
	return name, term, false
}

// forwardProofs passes the ledger's proof that this entry's revision is the newest
// on to the feed, which distributes it to entries that cannot reach the ledger.
func (e *entry) forwardProofs(ctx context.Context) error {
	t := time.NewTicker(proofInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			// Read the proof first: a state that is read after it is at least as
			// new.
			at := e.client.Current()
			if s := e.client.State(); s != nil {
				_, revision := s.Set()
				e.feed.Prove(revision, at)
			}
		}
	}
}

// ledgerReachableAt returns when the ledger was last proved to be reachable, by
// this entry's own client or by a proof from another entry.
func (e *entry) ledgerReachableAt() time.Time {
	return laterOf(e.client.Current(), e.feed.ProvenAt())
}

func (e *entry) revision() uint64 {
	if s := e.feed.Set(); s != nil {
		return s.Revision()
	}
	return 0
}

// ready returns why the load balancer should prefer other entries, or nil.
func (e *entry) ready() error {
	if e.draining.Load() {
		return fmt.Errorf("entry %q is stopping", e.cfg.Name)
	}
	if e.feed.Set() == nil {
		return fmt.Errorf("entry %q has no configuration yet", e.cfg.Name)
	}
	if !e.servers.AnyAvailable() {
		return fmt.Errorf("entry %q reaches no backend server", e.cfg.Name)
	}
	if age := time.Since(e.feed.ProvenAt()); age > e.cfg.StaleAfter.Duration {
		return fmt.Errorf("entry %q has not heard from the ledger's leader for %v", e.cfg.Name, age.Round(time.Second))
	}
	return nil
}
