package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// dialTimeout is the longest time that a dial takes. A VM that is cut off does not
// answer, and is to be found soon once it is back.
const dialTimeout = 700 * time.Millisecond

// redialDelay is the longest delay between two dials, so that processes that start
// all at once after a loss of power find each other within moments.
const redialDelay = 150 * time.Millisecond

// process is what all roles have in common.
type process struct {
	ctx      context.Context
	role     string
	cfg      platform.Settings
	registry *prometheus.Registry
	recorder *timeline.Recorder
	wire     *wire.Node
}

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
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "bamboostep", Subsystem: "log", Name: "lines_dropped_total",
		Help: "Log lines left out, because the log took them too slowly or they were too many.",
	}, func() float64 { return float64(p.recorder.Dropped()) }))
	go p.noteReloads()
	go p.serveMetrics()
	return p
}

// serveMetrics serves the metrics page until the process ends. Without it the process
// goes on.
func (p *process) serveMetrics() {
	address := net.JoinHostPort(p.cfg.IP, metricsPorts[p.role])
	admin := &daemon.Admin{Address: address, Registry: p.registry, Recorder: p.recorder}
	if err := admin.Run(p.ctx); err != nil {
		p.event("metrics_not_served", err.Error())
	}
}

// metricsPorts are those that the deploy file names. Two roles may share a VM.
var metricsPorts = map[string]string{"entry": "9100", "voter": "9101", "holder": "9102"}

func (p *process) event(kind, detail string) {
	p.recorder.Record(timeline.Event{Kind: kind, Detail: detail})
}

// noteReloads records each SIGHUP. What a process needs of its settings does not
// change while it runs, but for the seeds, which are read at its start only.
func (p *process) noteReloads() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-hup:
			cfg, err := readSettings()
			if err != nil {
				p.event("settings_unreadable", err.Error())
				continue
			}
			p.event("settings_reloaded", fmt.Sprintf("seeds %v", cfg.Seeds))
		}
	}
}

// settingsError says which setting a role lacks.
type settingsError struct{ role, setting string }

func (e *settingsError) Error() string {
	return fmt.Sprintf("role %q needs the setting %s", e.role, e.setting)
}

func checkSettings(role string, cfg platform.Settings) error {
	needs := map[string]map[string]bool{
		"entry":  {"address for callers": cfg.CallerAddr != "", "address for readiness": cfg.ReadyAddr != ""},
		"voter":  {"address for operators": cfg.OperatorAddr != ""},
		"holder": {"address of the engine": cfg.EngineAddr != ""},
	}
	for setting, there := range needs[role] {
		if !there {
			return &settingsError{role, setting}
		}
	}
	if cfg.FirstPort == 0 || cfg.IP == "" {
		return &settingsError{role, "own address and ports"}
	}
	return nil
}

// listen opens the port for the system's own processes.
func (p *process) listen() (net.Listener, error) {
	return net.Listen("tcp", p.ownAddress())
}

func (p *process) ownAddress() string {
	return net.JoinHostPort(p.cfg.IP, strconv.Itoa(p.cfg.FirstPort))
}

// voters returns the voters that the seeds name, by the addresses that voters
// listen on.
func (p *process) voters() []ledger.Member {
	var members []ledger.Member
	for _, seed := range p.cfg.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			p.event("seed_unreadable", seed)
			continue
		}
		address := net.JoinHostPort(host, strconv.Itoa(p.cfg.FirstPort))
		members = append(members, ledger.Member{Name: address, Address: address})
	}
	slices.SortFunc(members, func(a, b ledger.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// addresses returns the voters as they are known now.
func addresses(c *ledger.Client, seeds []ledger.Member) []string {
	members := c.State().Members()
	if len(members) == 0 {
		members = seeds
	}
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}

func (p *process) directory() *platform.Directory {
	return &platform.Directory{
		Address: p.cfg.DirectoryAddr,
		Client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
		OnSkipped: func(raw string) { p.event("listing_skipped", raw[:min(len(raw), 200)]) },
	}
}
