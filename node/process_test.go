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
		"entry":                          {"entry", full, true},
		"voter without a disk":           {"voter", full, true},
		"holder":                         {"holder", full, true},
		"entry without caller address":   {"entry", base, false},
		"voter without operator address": {"voter", base, false},
		"holder without engine address":  {"holder", base, false},
		"no address of the VM":           {"holder", platform.Settings{EngineAddr: "10.0.0.1:4"}, false},
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

// TestVotersFromSeeds checks that voters are on the hosts of the seeds and on FirstPort, sorted,
// and that malformed seeds are skipped.
func TestVotersFromSeeds(t *testing.T) {
	p := testProcess(platform.Settings{FirstPort: 7000, Seeds: []string{"10.0.0.2:99", "no port", "10.0.0.1:99"}})
	got := p.votersOf(p.cfg.Seeds)
	if len(got) != 2 || got[0].Address != "10.0.0.1:7000" || got[1].Name != "10.0.0.2:7000" {
		t.Errorf("voters: got %+v", got)
	}
}
