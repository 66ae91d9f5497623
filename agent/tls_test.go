package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/backend"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/settings"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// writeCertificate writes a certificate for loopback that is its own authority.
func writeCertificate(t *testing.T, dir string) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	c := settings.TLS{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "cert.pem")}
	os.WriteFile(c.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)
	os.WriteFile(c.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600)
	return c
}

// Only a peer with a certificate of the named authority connects.
func TestMutualTLS(t *testing.T) {
	e := startEngine(t, &fakeEngine{})
	cfg := defaultConfig()
	cfg.Name, cfg.Kind, cfg.BackendURL, cfg.MemoryMiB = "vm-1", bamboostep.EnginePlace, e.URL, 1000
	cfg.TLS = writeCertificate(t, t.TempDir())
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go serve(ctx, cfg, nl, daemon.NewLogger(io.Discard, cfg.Name))

	known, err := cfg.TLS.Config()
	if err != nil {
		t.Fatal(err)
	}
	stranger := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
	reported := make(map[string]chan struct{})
	for name, security := range map[string]*tls.Config{"known": known, "stranger": stranger, "plain": nil} {
		up := make(chan struct{}, 100)
		reported[name] = up
		c := &backend.Client{
			Node:     &wire.Node{Hello: wire.Hello{Name: name}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}, TLS: security},
			VM:       bamboostep.VM{Name: "vm-1", Address: nl.Addr().String()},
			OnReport: func(bamboostep.Report) { up <- struct{}{} },
		}
		go c.Run(ctx)
	}
	for range 5 { // reports to the known peer, in whose time a stranger would get one
		select {
		case <-reported["known"]:
		case <-time.After(testDeadline):
			t.Fatal("the known peer does not connect")
		}
	}
	for _, name := range []string{"stranger", "plain"} {
		if n := len(reported[name]); n > 0 {
			t.Errorf("peer %q got %d reports, want none", name, n)
		}
	}
}
