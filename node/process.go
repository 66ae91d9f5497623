package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// dialTimeout bounds one attempt to connect to another process. A partitioned VM does not
// answer, so a longer timeout would delay the reconnection once the partition ends.
const dialTimeout = 700 * time.Millisecond

// redialDelay is the maximum backoff between two attempts to connect. It is short so that
// processes that all start at once after a power loss connect to each other quickly.
const redialDelay = 150 * time.Millisecond

// process holds what all roles share.
type process struct {
	ctx      context.Context
	role     string
	cfg      platform.Settings
	registry *prometheus.Registry
	recorder *timeline.Recorder
	wire     *wire.Node
}

// newProcess returns a process with its metrics, event log and wire node. It starts the
// metrics endpoint and the SIGHUP handler, which run until ctx ends.
func newProcess(ctx context.Context, role string, cfg platform.Settings) *process {
	name := cfg.VMName + "/" + role
	clock := &timeline.Clock{Wall: daemon.SystemClock{}}
	registry := daemon.NewRegistry()
	p := &process{
		ctx:      ctx,
		role:     role,
		cfg:      cfg,
		registry: registry,
		recorder: &timeline.Recorder{Process: name, Clock: clock, Log: daemon.NewLogger(os.Stdout, name)},
		wire: &wire.Node{
			Hello:   wire.Hello{Name: name, Role: role, Incarnation: uint64(time.Now().UnixNano())},
			Clock:   clock,
			Metrics: wire.NewMetrics(registry),
			Source:  net.ParseIP(cfg.IP),
			Dial:    dialTimeout,
			Redial:  redialDelay,
		},
	}
	p.wire.Memory = p.memory().NewWireBudget(registry, p.recorder)
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "bamboostep", Subsystem: "log", Name: "lines_dropped_total",
		Help: "Log lines left out, because the log took them too slowly or they were too many.",
	}, func() float64 { return float64(p.recorder.Dropped()) }))
	go p.logReloads()
	go p.serveMetrics()
	return p
}

// resources returns what the process may use of its VM.
func (p *process) resources() daemon.Resources {
	return daemon.Resources{Memory: p.memory(), Descriptors: daemon.ProcessDescriptors(p.cfg.MaxDescriptors)}
}

// memory returns what the process may use of the VM's memory.
func (p *process) memory() daemon.Memory {
	return daemon.Memory{Bytes: int64(p.cfg.MemoryLimitMB) << 20, Held: int64(p.cfg.HeldMB) << 20, Connections: p.cfg.MaxConnections}
}

// serveMetrics serves the metrics endpoint until the process ends. A failure is recorded
// and does not stop the process.
func (p *process) serveMetrics() {
	address := net.JoinHostPort(p.cfg.IP, metricsPorts[p.role])
	admin := &daemon.AdminServer{Address: address, Registry: p.registry, Recorder: p.recorder, Resources: p.resources()}
	if err := admin.Run(p.ctx); err != nil {
		p.recordEvent("metrics_not_served", err.Error())
	}
}

// metricsPorts are the ports of the metrics endpoints in the deployment file. They differ
// because several roles may share a VM.
var metricsPorts = map[string]string{"entry": "9100", "voter": "9101", "holder": "9102"}

func (p *process) recordEvent(kind, detail string) {
	p.recorder.Record(timeline.Event{Kind: kind, Detail: detail})
}

// logReloads reads the settings on each SIGHUP and records the seeds, or the error. It
// applies nothing: a running process keeps the settings, seeds included, of its start.
func (p *process) logReloads() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-hup:
			cfg, err := readSettings()
			if err != nil {
				p.recordEvent("settings_unreadable", err.Error())
				continue
			}
			p.recordEvent("settings_reloaded", fmt.Sprintf("seeds %v", cfg.Seeds))
		}
	}
}

// settingsError reports a setting that a role requires and the file does not have.
type settingsError struct{ role, setting string }

func (e *settingsError) Error() string {
	return fmt.Sprintf("role %q requires the setting: %s", e.role, e.setting)
}

// checkSettings checks that the settings which role requires are present.
func checkSettings(role string, cfg platform.Settings) error {
	needs := map[string]map[string]bool{
		"entry":  {"listen address for callers": cfg.CallerAddr != "", "listen address for readiness": cfg.ReadyAddr != ""},
		"voter":  {"listen address for operators": cfg.OperatorAddr != ""},
		"holder": {"address of the engine": cfg.EngineAddr != ""},
	}
	for setting, there := range needs[role] {
		if !there {
			return &settingsError{role, setting}
		}
	}
	if cfg.FirstPort == 0 || cfg.IP == "" {
		return &settingsError{role, "address of the VM and port range"}
	}
	return nil
}

// listenWire opens the port for connections from the system's other processes.
func (p *process) listenWire() (net.Listener, error) {
	return net.Listen("tcp", p.wireAddress())
}

// wireAddress returns the host and port of listenWire.
func (p *process) wireAddress() string {
	return net.JoinHostPort(p.cfg.IP, strconv.Itoa(p.cfg.FirstPort))
}

// votersOf returns the voters that seeds name. A seed is the operator address of a
// voter, which accepts connections from other processes on FirstPort of the same host.
// Malformed seeds are recorded and skipped. The result is sorted by name.
func (p *process) votersOf(seeds []string) []ledger.Member {
	var members []ledger.Member
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			p.recordEvent("seed_unreadable", seed)
			continue
		}
		address := net.JoinHostPort(host, strconv.Itoa(p.cfg.FirstPort))
		members = append(members, ledger.Member{Name: address, Address: address})
	}
	slices.SortFunc(members, func(a, b ledger.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// seedsInterval is the time between two readings of the seeds; settings may change without a signal.
const seedsInterval = 2 * time.Second

// watchSeeds keeps the voters that the settings file names now in current, until ctx ends. An unreadable
// file is recorded once and leaves what was read before.
func (p *process) watchSeeds(ctx context.Context, current *seedList) error {
	t := time.NewTicker(seedsInterval)
	defer t.Stop()
	named, readable := p.cfg.Seeds, true
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		cfg, err := readSettings()
		if err != nil {
			if readable {
				p.recordEvent("settings_unreadable", err.Error())
			}
			readable = false
			continue
		}
		readable = true
		if slices.Equal(cfg.Seeds, named) {
			continue
		}
		named = cfg.Seeds
		p.recordEvent("seeds_changed", fmt.Sprint(named))
		voters := p.votersOf(named)
		current.named.Store(&voters)
	}
}

// followedVoters is the number of voters that a process follows at a time whose routes callers or other processes depend on.
const followedVoters = 2

// seedList is the voters that the settings name now.
type seedList struct {
	named atomic.Pointer[[]ledger.Member]
}

// newSeedList returns the voters that the settings named when the process started. See watchSeeds.
func (p *process) newSeedList() *seedList {
	named := p.votersOf(p.cfg.Seeds)
	var l seedList
	l.named.Store(&named)
	return &l
}

func (l *seedList) voters() []ledger.Member { return *l.named.Load() }

// ledgerClient returns a client of the ledger that starts with the voters in seeds. applied may be nil.
func (p *process) ledgerClient(seeds *seedList, applied func(*ledger.State)) *ledger.Client {
	return &ledger.Client{
		Node:       p.wire,
		Members:    seeds.voters(),
		Seeds:      seeds.voters,
		ApplyBound: p.cfg.ApplyBound,
		Domain:     p.cfg.FailureDomain,
		Recorder:   p.recorder,
		Applied:    applied,
	}
}

// tolerance returns which losses the ledger must bear.
func (p *process) tolerance() ledger.Tolerance {
	return ledger.Tolerance{VMs: p.cfg.Lost.VMs, FailureDomains: p.cfg.Lost.Domains()}
}

// coordinatorAddresses returns the addresses of the coordinators among the voters in the ledger's
// state and of the leader, or of seeds while that state is not known.
func (p *process) coordinatorAddresses(c *ledger.Client, seeds *seedList) []string {
	voters := c.State().Members()
	if len(voters) == 0 {
		voters = seeds.voters()
	}
	leader, _ := c.Leader()
	chosen := p.tolerance().Coordinators(voters)
	var out []string
	for _, m := range voters {
		if m.Name == leader || slices.Contains(chosen, m) {
			out = append(out, m.Address)
		}
	}
	return out
}

// directory returns a client for the platform's list of backend servers. Entries that
// cannot be decoded are recorded.
func (p *process) directory() *platform.Directory {
	return &platform.Directory{
		Address:   p.cfg.DirectoryAddr,
		Client:    platform.NewDirectoryClient(),
		OnSkipped: func(raw string) { p.recordEvent("listing_skipped", raw) },
	}
}
