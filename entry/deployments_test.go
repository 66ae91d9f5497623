package main

import (
	"path/filepath"
	"testing"

	"github.com/bamboostep/bamboostep/settings"
)

// The entry settings of the example deployments are valid.
func TestExampleDeploymentSettings(t *testing.T) {
	files, err := filepath.Glob("../examples/settings/*/entry-*.toml")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(files), 6; got != want {
		t.Fatalf("got %d files, want %d", got, want)
	}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			cfg := defaultSettings()
			if err := settings.Load(file, &cfg); err != nil {
				t.Error(err)
			}
		})
	}
}
