package main

import (
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/settings"
	"github.com/bamboostep/bamboostep/stock"
)

// config holds the agent's settings file; example.toml describes each key.
type config struct {
	Name          string               `toml:"name"`
	Place         string               `toml:"place"`
	FailureDomain string               `toml:"failure_domain"`
	Listen        string               `toml:"listen"`
	Admin         string               `toml:"admin"`
	Kind          bamboostep.PlaceKind `toml:"kind"`
	BackendURL    string               `toml:"backend_url"`
	MemoryMiB     int64                `toml:"memory_mib"`
	Concurrency   int                  `toml:"concurrency"`
	Queue         int                  `toml:"queue"`
	ProcessMiB    int64                `toml:"process_mib"` // memory that the agent itself may use; 0 for that of the machine
	DrainTimeout  settings.Duration    `toml:"drain_timeout"`
	SettleTime    settings.Duration    `toml:"settle_time"`
	TLS           settings.TLS         `toml:"tls"`
}

func defaultConfig() config {
	return config{
		Concurrency:  32,
		Queue:        64,
		DrainTimeout: settings.Duration{Duration: 30 * time.Second},
		SettleTime:   settings.Duration{Duration: stock.DefaultSettleTime},
	}
}

// Check implements settings.Checker. It returns every invalid key.
func (c *config) Check() []settings.Problem {
	var problems []settings.Problem
	reportIf := func(invalid bool, key, issue string) {
		if invalid {
			problems = append(problems, settings.Problem{Key: key, Issue: issue})
		}
	}
	reportIf(c.Name == "", "name", "is missing")
	reportIf(c.Place == "", "place", "is missing")
	reportIf(c.FailureDomain == "", "failure_domain", "is missing")
	reportIf(!isHostPort(c.Listen), "listen", fmt.Sprintf("is %q, not host:port", c.Listen))
	reportIf(c.Admin != "" && !isHostPort(c.Admin), "admin", fmt.Sprintf("is %q, not host:port", c.Admin))
	reportIf(c.Kind != bamboostep.EnginePlace && c.Kind != bamboostep.ApplicationPlace, "kind", fmt.Sprintf("is %q, not \"engine\" or \"application\"", c.Kind))
	reportIf(!isBaseURL(c.BackendURL), "backend_url", fmt.Sprintf("is %q, not an http URL without a path, such as http://127.0.0.1:8000", c.BackendURL))
	reportIf(c.Kind == bamboostep.EnginePlace && c.MemoryMiB <= 0, "memory_mib", "must be greater than 0 for an engine")
	reportIf(c.Concurrency <= 0, "concurrency", "must be greater than 0")
	reportIf(c.Queue < 0, "queue", "must not be negative")
	reportIf(c.ProcessMiB < 0, "process_mib", "must not be negative")
	reportIf(c.DrainTimeout.Duration <= 0, "drain_timeout", "must be greater than 0")
	reportIf(c.SettleTime.Duration < time.Second, "settle_time", "must be at least 1s")
	return append(problems, c.TLS.Check()...)
}

// resources returns what the agent may use.
func (c *config) resources() daemon.Resources {
	m := daemon.Memory{Bytes: c.ProcessMiB << 20}
	if m.Bytes == 0 {
		m.Bytes = daemon.MachineMemory()
	}
	return daemon.Resources{Memory: m, Descriptors: daemon.ProcessDescriptors(0)}
}

var _ settings.Checker = (*config)(nil)

// isHostPort reports whether s has the form host:port.
func isHostPort(s string) bool {
	_, _, err := net.SplitHostPort(s)
	return err == nil
}

// isBaseURL reports whether s is an http URL with no query and no path other than "/".
func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && u.Host != "" && (u.Path == "" || u.Path == "/") && u.RawQuery == ""
}
