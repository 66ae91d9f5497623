package main

import (
	"strings"
	"testing"

	"github.com/bamboostep/bamboostep/settings"
)

func TestExampleSettings(t *testing.T) {
	cfg := defaultSettings()
	if err := settings.Load("example.toml", &cfg); err != nil {
		t.Fatal(err)
	}
	if got, want := len(cfg.voters()), 3; got != want {
		t.Errorf("got %d voters, want %d", got, want)
	}
}

// All errors in the settings are reported together, each with its key.
func TestInvalidSettings(t *testing.T) {
	text := `
name = "entry-a"
operators = "nowhere"
listen = "10.0.1.1:1"
platform_url = "x"
router = "dice"
admission = "dice"
max_body_bytes = 0
drain_timeout = "0s"
[tls]
cert = "a.pem"
[[peer]]
name = "entry-a"
address = "10.0.1.1:1"
region = "norte"
voter = true
`
	cfg := defaultSettings()
	err := settings.Parse("e.toml", []byte(text), &cfg)
	if err == nil {
		t.Fatal("got no error")
	}
	for _, key := range []string{
		"failure_domain", "region", "operators", "platform_url", "router", "admission", "max_body_bytes", "drain_timeout", "data_dir", "tls.key", "tls.ca",
	} {
		if want := `key "` + key + `"`; !strings.Contains(err.Error(), want) {
			t.Errorf("got error without %s:\n%v", want, err)
		}
	}
}
