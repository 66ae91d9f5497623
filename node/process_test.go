package main

import (
	"errors"
	"testing"

	"github.com/bamboostep/bamboostep/platform"
)

func TestCheckSettings(t *testing.T) {
	base := platform.Settings{IP: "10.0.0.1", FirstPort: 7000}
	full := base
	full.CallerAddr, full.ReadyAddr, full.OperatorAddr, full.EngineAddr = "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:4"
	for name, c := range map[string]struct {
		role string
		cfg  platform.Settings
		ok   bool
	}{
		"entry":                   {"entry", full, true},
		"voter without a disk":    {"voter", full, true},
		"holder":                  {"holder", full, true},
		"entry without callers":   {"entry", base, false},
		"voter without operators": {"voter", base, false},
		"holder without engine":   {"holder", base, false},
		"no own address":          {"holder", platform.Settings{EngineAddr: "10.0.0.1:4"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkSettings(c.role, c.cfg)
			var missing *settingsError
			if c.ok != (err == nil) || !c.ok && !errors.As(err, &missing) {
				t.Errorf("error: got %v, want ok %v", err, c.ok)
			}
		})
	}
}

// Seeds name the operators' addresses; voters are reached on the same VMs on the port
// for the system's own processes. What cannot be read is left out.
func TestVotersFromSeeds(t *testing.T) {
	p := testProcess(platform.Settings{FirstPort: 7000, Seeds: []string{"10.0.0.2:99", "no port", "10.0.0.1:99"}})
	got := p.seedVoters()
	if len(got) != 2 || got[0].Address != "10.0.0.1:7000" || got[1].Name != "10.0.0.2:7000" {
		t.Errorf("voters: got %+v", got)
	}
}
