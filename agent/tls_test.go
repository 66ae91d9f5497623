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

// writeCertificate writes a self-signed certificate for 127.0.0.1, which is also its own
// CA, to dir.
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

// With TLS configured, the agent must accept only peers whose certificate the configured
// CA has signed: neither a peer without a certificate nor one without TLS gets reports.
func TestMutualTLS(t *testing.T) {
	e := startEngine(t, &fakeEngine{})
	cfg := defaultConfig()
	cfg.Name, cfg.Kind, cfg.BackendURL, cfg.MemoryMiB = "vm-1", bamboostep.EnginePlace, e.URL, 1000
	cfg.TLS = writeCertificate(t, t.TempDir())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go serve(ctx, cfg, ln, daemon.NewLogger(io.Discard, cfg.Name))

	trusted, err := cfg.TLS.Config()
	if err != nil {
		t.Fatal(err)
	}
	untrusted := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
	reportsByPeer := make(map[string]chan struct{})
	for name, tlsConfig := range map[string]*tls.Config{"trusted": trusted, "untrusted": untrusted, "plain": nil} {
		reports := make(chan struct{}, 100)
		reportsByPeer[name] = reports
		c := &backend.Client{
			Node:     &wire.Node{Hello: wire.Hello{Name: name}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}, TLS: tlsConfig},
			VM:       bamboostep.VM{Name: "vm-1", Address: ln.Addr().String()},
			OnReport: func(bamboostep.Report) { reports <- struct{}{} },
		}
		go c.Run(ctx)
	}
	for range 5 { // while the trusted peer gets 5 reports, an accepted peer would get at least 1
		select {
		case <-reportsByPeer["trusted"]:
		case <-time.After(testDeadline):
			t.Fatal("the trusted peer got no report in time")
		}
	}
	for _, name := range []string{"untrusted", "plain"} {
		if n := len(reportsByPeer[name]); n > 0 {
			t.Errorf("peer %q got %d reports, want none", name, n)
		}
	}
}
