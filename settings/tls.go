package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLS names the files of a process's certificate. With all three set, every
// connection between the system's processes is mutual TLS 1.3.
type TLS struct {
	Cert string `toml:"cert"` // PEM file
	Key  string `toml:"key"`  // PEM file
	CA   string `toml:"ca"`   // PEM file of the authority that signs all processes' certificates
}

// Check returns a problem for each file that is missing while another is named.
func (t TLS) Check() []Problem {
	if t == (TLS{}) {
		return nil
	}
	var problems []Problem
	for _, f := range []struct{ key, file string }{{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.ca", t.CA}} {
		if f.file == "" {
			problems = append(problems, Problem{Key: f.key, Issue: "is missing, since another key of [tls] is set"})
		}
	}
	return problems
}

// Config returns the configuration for both ends of a connection, or nil if no
// certificate is named.
func (t TLS) Config() (*tls.Config, error) {
	if t == (TLS{}) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, fmt.Errorf("key %q: %w", "tls.cert", err)
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, fmt.Errorf("key %q: %w", "tls.ca", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("key %q: file %q holds no certificate", "tls.ca", t.CA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
