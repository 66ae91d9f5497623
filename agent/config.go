package main

import (
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/settings"
	"github.com/bamboostep/bamboostep/stock"
)

// config is the agent's settings file.
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

// Check implements settings.Checker.
func (c *config) Check() []settings.Problem {
	var problems []settings.Problem
	wrong := func(is bool, key, issue string) {
		if is {
			problems = append(problems, settings.Problem{Key: key, Issue: issue})
		}
	}
	wrong(c.Name == "", "name", "is missing")
	wrong(c.Place == "", "place", "is missing")
	wrong(c.FailureDomain == "", "failure_domain", "is missing")
	wrong(!isAddress(c.Listen), "listen", fmt.Sprintf("is %q, not host:port", c.Listen))
	wrong(c.Admin != "" && !isAddress(c.Admin), "admin", fmt.Sprintf("is %q, not host:port", c.Admin))
	wrong(c.Kind != bamboostep.EnginePlace && c.Kind != bamboostep.ApplicationPlace, "kind", fmt.Sprintf("is %q, not \"engine\" or \"application\"", c.Kind))
	wrong(!isBaseURL(c.BackendURL), "backend_url", fmt.Sprintf("is %q, not like http://127.0.0.1:8000", c.BackendURL))
	wrong(c.Kind == bamboostep.EnginePlace && c.MemoryMiB <= 0, "memory_mib", "must be over 0 for an engine")
	wrong(c.Concurrency <= 0, "concurrency", "must be over 0")
	wrong(c.Queue < 0, "queue", "must not be negative")
	wrong(c.DrainTimeout.Duration <= 0, "drain_timeout", "must be over 0")
	wrong(c.SettleTime.Duration < time.Second, "settle_time", "must be 1s or more")
	return append(problems, c.TLS.Check()...)
}

var _ settings.Checker = (*config)(nil)

func isAddress(s string) bool {
	_, _, err := net.SplitHostPort(s)
	return err == nil
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && u.Host != "" && (u.Path == "" || u.Path == "/") && u.RawQuery == ""
}
