package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/backend"
)

// application is a plain service that speaks HTTP/1.1.
//
// The hard point is that net/http sends some requests a second time by itself:
// when a kept-alive connection ends before the answer, it repeats a GET, and even
// a POST with an Idempotency-Key header. A call that may not be repeated would
// run twice. Therefore every call gets a connection of its own, on which
// net/http never repeats anything; both ends are on one VM, so it costs little.
type application struct {
	host      string
	transport *http.Transport
}

var (
	_ bamboostep.Application = (*application)(nil)
	_ backend.Prober         = (*application)(nil)
)

const (
	requestHeader = "Bamboostep-Request"
	pieceBytes    = 32 << 10
)

func newApplication(base string) *application {
	u, err := url.Parse(base)
	if err != nil {
		panic(err) // the settings were checked
	}
	return &application{
		host:      u.Host,
		transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true},
	}
}

// Probe implements backend.Prober.
func (a *application) Probe(ctx context.Context) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", a.host)
	if err != nil {
		return err
	}
	return nc.Close()
}

// Serve implements bamboostep.Application.
func (a *application) Serve(ctx context.Context, offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	req, err := a.request(ctx, offer.Request)
	if err != nil {
		return failedError(bamboostep.NotRun, "bad_request", err.Error())
	}
	resp, err := a.transport.RoundTrip(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	first := bamboostep.Answer{Status: resp.StatusCode, Header: withoutHopByHop(resp.Header)}
	if resp.ContentLength >= 0 && resp.ContentLength <= pieceBytes {
		return yieldWhole(first, resp.Body, yield)
	}
	if err := yield(first); err != nil {
		return err
	}
	return yieldPieces(resp.Body, yield)
}

func (a *application) request(ctx context.Context, r bamboostep.Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, err
	}
	u.Scheme = "http"
	u.Host = a.host
	req, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header = withoutHopByHop(r.Header)
	req.Header.Set(requestHeader, string(r.ID))
	req.Host = req.Header.Get("Host")
	req.Header.Del("Host")
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	return req, nil
}

func yieldWhole(first bamboostep.Answer, body io.Reader, yield func(bamboostep.Answer) error) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	first.Data = data
	first.Last = true
	return yield(first)
}

func yieldPieces(body io.Reader, yield func(bamboostep.Answer) error) error {
	for {
		buf := make([]byte, pieceBytes)
		n, err := body.Read(buf)
		if err != nil && err != io.EOF {
			return err
		}
		last := err == io.EOF
		if yieldErr := yield(bamboostep.Answer{Data: buf[:n], Last: last}); yieldErr != nil || last {
			return yieldErr
		}
	}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withoutHopByHop returns a copy of h without the headers of one connection.
func withoutHopByHop(h map[string][]string) http.Header {
	c := http.Header(h).Clone()
	if c == nil {
		c = make(http.Header)
	}
	for _, list := range c["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		c.Del(name)
	}
	return c
}
