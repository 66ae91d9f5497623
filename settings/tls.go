package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLS is the [tls] table of a settings file: the PEM files of a process's certificate,
// its private key and the certificate authority. With all three set, every connection
// between the system's processes uses mutual TLS 1.3; with none set, none uses TLS.
type TLS struct {
	Cert string `toml:"cert"` // certificate
	Key  string `toml:"key"`  // private key
	CA   string `toml:"ca"`   // certificate of the authority that signs every process's certificate
}

// Check implements Checker. It returns a problem for each key that is not set while
// another one is.
func (t TLS) Check() []Problem {
	if t == (TLS{}) {
		return nil
	}
	var problems []Problem
	for _, f := range []struct{ key, file string }{{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.ca", t.CA}} {
		if f.file == "" {
			problems = append(problems, Problem{Key: f.key, Issue: "is missing: cert, key and ca of [tls] must be set together"})
		}
	}
	return problems
}

// Config loads the files and returns a configuration for servers and clients, or nil
// if no key is set. Servers require a client certificate signed by the authority.
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
		return nil, fmt.Errorf("key %q: file %q contains no PEM certificate", "tls.ca", t.CA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
