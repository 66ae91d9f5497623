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
	"github.com/bamboostep/bamboostep/internal/bodyend"
	"github.com/bamboostep/bamboostep/internal/sse"
)

// application is an HTTP/1.1 client of an application on the same VM.
//
// Every request uses a new connection. On a reused keep-alive connection that closes
// before the response, http.Transport retries some requests by itself: a GET, and
// even a POST with an Idempotency-Key header, so that a call that must not be
// repeated could run twice. It never retries on a new connection, and dialing is
// cheap because both ends are on one VM.
type application struct {
	host      string
	transport *http.Transport
}

var (
	_ bamboostep.Application = (*application)(nil)
	_ backend.Prober         = (*application)(nil)
)

const (
	requestIDHeader = "Bamboostep-Request"
	maxChunkBytes   = 32 << 10 // of a response body, in one bamboostep.Answer
)

func newApplication(baseURL string) *application {
	u, err := url.Parse(baseURL)
	if err != nil {
		panic(err) // config.Check accepts only valid URLs
	}
	return &application{
		host:      u.Host,
		transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: dialForUpload},
	}
}

// Probe implements backend.Prober. It opens and closes a TCP connection.
func (a *application) Probe(ctx context.Context) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", a.host)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Serve implements bamboostep.Application. A response body of known length of at most
// maxChunkBytes is yielded together with the status and headers, any other body and events in
// chunks after them.
func (a *application) Serve(ctx context.Context, offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	req, err := a.newRequest(ctx, offer.Request)
	if err != nil {
		return failedError(bamboostep.NotRun, "bad_request", err.Error())
	}
	up := &upload{body: len(offer.Request.Body)}
	resp, err := a.transport.RoundTrip(req.WithContext(context.WithValue(ctx, uploadKey{}, up)))
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	if err := bodyend.CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	first := bamboostep.Answer{Status: resp.StatusCode, Header: endToEndHeaders(resp.Header)}
	if resp.ContentLength >= 0 && resp.ContentLength <= maxChunkBytes && !sse.Is(resp.Header) {
		return yieldBuffered(first, resp.Body, yield)
	}
	if err := yield(first); err != nil {
		return err
	}
	return a.yieldChunks(ctx, resp, up, yield)
}

// newRequest builds the HTTP request to the application: r's path, body and end-to-end
// headers unchanged, with the request ID added.
func (a *application) newRequest(ctx context.Context, r bamboostep.Request) (*http.Request, error) {
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
	req.Header = endToEndHeaders(r.Header)
	req.Header.Set(requestIDHeader, string(r.ID))
	req.Host = req.Header.Get("Host")
	req.Header.Del("Host")
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	return req, nil
}

// yieldBuffered reads all of body and yields it with first as the only piece.
func yieldBuffered(first bamboostep.Answer, body io.Reader, yield func(bamboostep.Answer) error) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	first.Data = data
	first.Last = true
	return yield(first)
}

// yieldChunks yields the body of resp as it arrives, in chunks of at most maxChunkBytes. It fails
// at the end of a body that is not complete.
func (a *application) yieldChunks(ctx context.Context, resp *http.Response, up *upload, yield func(bamboostep.Answer) error) error {
	end := newBodyEnd(resp, up)
	for {
		buf := make([]byte, maxChunkBytes)
		n, err := resp.Body.Read(buf)
		end.add(buf[:n])
		last := err == io.EOF
		if last {
			err = end.check(ctx, a.host)
		}
		if err != nil {
			return err
		}
		if yieldErr := yield(bamboostep.Answer{Data: buf[:n], Last: last}); yieldErr != nil || last {
			return yieldErr
		}
	}
}

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of h without hopByHopHeaders and without the headers
// that its Connection header names.
func endToEndHeaders(h map[string][]string) http.Header {
	c := http.Header(h).Clone()
	if c == nil {
		c = make(http.Header)
	}
	for _, list := range c["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		c.Del(name)
	}
	return c
}
