package main

import (
	"fmt"
	"maps"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/settings"
)

const (
	defaultDrainDelay   = 3 * time.Second
	defaultDrainTimeout = 30 * time.Second
	defaultStaleAfter   = 10 * time.Second
)

// entrySettings is the settings file of an entry.
type entrySettings struct {
	Name          string            `toml:"name"`
	FailureDomain string            `toml:"failure_domain"`
	Region        string            `toml:"region"`         // of this entry; empty in a deployment with a single region
	Callers       string            `toml:"callers"`        // host:port of the HTTP API for callers; empty on a VM that serves no callers
	Operators     string            `toml:"operators"`      // host:port of the HTTP API for operators, of metrics and of health checks
	Listen        string            `toml:"listen"`         // host:port for connections from other entries
	PlatformURL   string            `toml:"platform_url"`   // URL of the platform's list of VMs
	DataDir       string            `toml:"data_dir"`       // set if and only if this entry is a voter of the ledger
	OperatorToken string            `toml:"operator_token"` // bearer token required from operators; empty to require none
	Router        string            `toml:"router"`         // score, least_load or round_robin
	Placer        string            `toml:"placer"`         // placement policy: demand, on_demand or static
	Admission     string            `toml:"admission"`      // load shedding policy: predicted_wait or none
	MaxBodyBytes  int64             `toml:"max_body_bytes"` // largest request body accepted from a caller
	MemoryMiB     int64             `toml:"memory_mib"`     // memory that this process may use; 0 for that of the machine
	HeldMiB       int64             `toml:"held_mib"`       // of it, for what is held for callers and servers; 0 for a quarter
	MaxConns      int               `toml:"max_conns"`      // connections of callers, and of operators, that are open at once; 0 for as many as the memory takes
	DrainDelay    settings.Duration `toml:"drain_delay"`    // time between reporting not ready and refusing new connections, for the load balancer to notice
	DrainTimeout  settings.Duration `toml:"drain_timeout"`  // time that running requests get to finish on shutdown
	StaleAfter    settings.Duration `toml:"stale_after"`    // age of the last freshness proof above which the entry reports not ready
	TLS           settings.TLS      `toml:"tls"`
	Peers         []peerSettings    `toml:"peer"` // all entries, including this one
}

// peerSettings describes one entry of the deployment.
type peerSettings struct {
	Name          string `toml:"name"`
	Address       string `toml:"address"`
	FailureDomain string `toml:"failure_domain"`
	Region        string `toml:"region"` // empty in a deployment with a single region
	Voter         bool   `toml:"voter"`
}

func defaultSettings() entrySettings {
	return entrySettings{
		Router:       "score",
		Placer:       "demand",
		Admission:    "predicted_wait",
		MaxBodyBytes: defaultMaxBodyBytes,
		DrainDelay:   settings.Duration{Duration: defaultDrainDelay},
		DrainTimeout: settings.Duration{Duration: defaultDrainTimeout},
		StaleAfter:   settings.Duration{Duration: defaultStaleAfter},
	}
}

// Check implements settings.Checker.
func (s *entrySettings) Check() []settings.Problem {
	var problems []settings.Problem
	add := func(key, format string, args ...any) {
		problems = append(problems, settings.Problem{Key: key, Issue: fmt.Sprintf(format, args...)})
	}
	s.checkNames(add)
	s.checkAddresses(add)
	s.checkChoices(add)
	s.checkPeers(add)
	return append(problems, s.TLS.Check()...)
}

type reportProblem func(key, format string, args ...any)

func (s *entrySettings) checkNames(add reportProblem) {
	if s.Name == "" {
		add("name", "is missing")
	}
	if s.FailureDomain == "" {
		add("failure_domain", "is missing")
	}
}

func (s *entrySettings) checkAddresses(add reportProblem) {
	for _, a := range []struct {
		key, value string
		needed     bool
	}{
		{"callers", s.Callers, false},
		{"operators", s.Operators, true},
		{"listen", s.Listen, true},
	} {
		if a.value == "" && !a.needed {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			add(a.key, "is not a host and port: %q", a.value)
		}
	}
	u, err := url.Parse(s.PlatformURL)
	if err != nil || u.Host == "" {
		add("platform_url", "is not a URL: %q", s.PlatformURL)
	}
}

func (s *entrySettings) checkChoices(add reportProblem) {
	if _, ok := routers[s.Router]; !ok {
		add("router", "is %q, not one of %s", s.Router, keyList(routers))
	}
	if _, ok := placers[s.Placer]; !ok {
		add("placer", "is %q, not one of %s", s.Placer, keyList(placers))
	}
	if _, ok := admissions[s.Admission]; !ok {
		add("admission", "is %q, not one of %s", s.Admission, keyList(admissions))
	}
	if s.MaxBodyBytes < 1 {
		add("max_body_bytes", "is %d, want at least 1", s.MaxBodyBytes)
	}
	for key, value := range map[string]int64{"memory_mib": s.MemoryMiB, "held_mib": s.HeldMiB, "max_conns": int64(s.MaxConns)} {
		if value < 0 {
			add(key, "is %d, want at least 0", value)
		}
	}
	if s.DrainDelay.Duration < 0 {
		add("drain_delay", "is %v, want at least 0s", s.DrainDelay)
	}
	if s.DrainTimeout.Duration <= 0 {
		add("drain_timeout", "is %v, want more than 0s", s.DrainTimeout)
	}
	if s.StaleAfter.Duration <= 0 {
		add("stale_after", "is %v, want more than 0s", s.StaleAfter)
	}
}

// memory returns what the process may use of the machine's memory.
func (s *entrySettings) memory() daemon.Memory {
	m := daemon.Memory{Bytes: s.MemoryMiB << 20, Held: s.HeldMiB << 20, Connections: s.MaxConns}
	if m.Bytes == 0 {
		m.Bytes = daemon.MachineMemory()
	}
	return m
}

// resources returns what the process may use.
func (s *entrySettings) resources() daemon.Resources {
	return daemon.Resources{Memory: s.memory(), Descriptors: daemon.ProcessDescriptors(0)}
}

// keyList returns the keys of m, sorted and separated by commas.
func keyList[V any](m map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

func (s *entrySettings) checkPeers(add reportProblem) {
	names := make(map[string]bool)
	voters := 0
	for i, p := range s.Peers {
		key := fmt.Sprintf("peer[%d]", i)
		if p.Name == "" || names[p.Name] {
			add(key+".name", "is missing or a duplicate: %q", p.Name)
		}
		names[p.Name] = true
		if _, _, err := net.SplitHostPort(p.Address); err != nil {
			add(key+".address", "is not a host and port: %q", p.Address)
		}
		if p.Voter {
			voters++
		}
	}
	if voters == 0 {
		add("peer", "contains no voter")
	}
	if self, ok := s.peer(s.Name); ok && self.Region != s.Region {
		add("region", "is %q, but %q in the list of peers", s.Region, self.Region)
	}
	if self, ok := s.peer(s.Name); ok && self.Voter != (s.DataDir != "") {
		add("data_dir", "must be set on a voter, and only there")
	}
}

func (s *entrySettings) peer(name string) (peerSettings, bool) {
	for _, p := range s.Peers {
		if p.Name == name {
			return p, true
		}
	}
	return peerSettings{}, false
}

// sourceIP returns the local address for outgoing connections: the IP address of
// Listen, or nil if Listen does not name a specific one.
func (s *entrySettings) sourceIP() net.IP {
	host, _, err := net.SplitHostPort(s.Listen)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return ip
}

// voters returns the voting members of the ledger.
func (s *entrySettings) voters() []ledger.Member {
	var members []ledger.Member
	for _, p := range s.Peers {
		if p.Voter {
			members = append(members, ledger.Member{Name: p.Name, Address: p.Address, FailureDomain: p.FailureDomain})
		}
	}
	return members
}
