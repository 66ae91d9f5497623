package main

import (
	"path/filepath"
	"testing"

	"github.com/bamboostep/bamboostep/settings"
)

// The agent settings of every example deployment must load without a problem.
func TestDeploymentSettings(t *testing.T) {
	files, err := filepath.Glob("../examples/settings/*/agent-*.toml")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(files), 4; got != want {
		t.Fatalf("got %d files, want %d", got, want)
	}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			cfg := defaultConfig()
			if err := settings.Load(file, &cfg); err != nil {
				t.Error(err)
			}
		})
	}
}
