package main

import (
	"cmp"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/rawserver"
)

// startRawServer starts a server that sends response as it is to each request, and closes the
// connection in order. If crashes is set, it also stops listening before that.
func startRawServer(t *testing.T, response string, crashes bool) string {
	t.Helper()
	return "http://" + rawserver.Server{Listen: "127.0.0.1:0", Response: response, Crashes: crashes}.Start(t)
}

// Guards against an application's response that has neither a length nor chunks, was broken off,
// and looks complete to the caller (issue 31).
func TestBrokenOffApplicationResponseIsNotComplete(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\n"
		events = head + "Content-Type: text/event-stream\r\n"
		object = head + "Content-Type: application/json\r\n"
	)
	for name, c := range map[string]struct {
		response string
		crashes  bool
		whole    bool
		method   string // GET if empty
	}{
		"of a crashed application":              {head + "\r\nhal", true, false, ""},
		"events of a crashed application":       {events + "\r\ndata: 1\n\n", true, false, ""},
		"inside an event":                       {events + "\r\ndata: 1\n\ndata", false, false, ""},
		"inside an event, with a length":        {events + "Content-Length: 13\r\n\r\ndata: 1\n\ndata", false, false, ""},
		"inside an event, in chunks":            {events + "Transfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n", false, false, ""},
		"inside JSON":                           {object + "\r\n{\"a\":", false, false, ""},
		"whole":                                 {head + "\r\nwhole", false, true, ""},
		"whole events":                          {events + "\r\ndata: 1\n\ndata: 2\r\n\r\n", false, true, ""},
		"whole events with a length":            {events + "Content-Length: 9\r\n\r\ndata: 1\n\n", false, true, ""},
		"no events":                             {events + "\r\n", false, false, ""},
		"no events, in chunks":                  {events + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, true, ""},
		"JSON to a HEAD request":                {object + "\r\n", false, true, http.MethodHead},
		"events to a HEAD request":              {events + "\r\n", false, true, http.MethodHead},
		"whole JSON":                            {object + "\r\n{\"a\":1}", false, true, ""},
		"with a length, of one that ended then": {head + "Content-Length: 5\r\n\r\nwhole", true, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := startAgent(t, bamboostep.ApplicationPlace, startRawServer(t, c.response, c.crashes))
			last := false
			err := a.client.Offer(context.Background(), newOffer("1", bamboostep.Request{Service: "s", Method: cmp.Or(c.method, http.MethodGet), Path: "/"}), time.Second, func(p bamboostep.Answer) error {
				last = last || p.Last
				return nil
			})
			if whole := err == nil && last; whole != c.whole {
				t.Errorf("response: got complete %v (%v), want %v", whole, err, c.whole)
			}
		})
	}
}

// Guards against a KV cache that was broken off and is taken up by another engine (issue 31).
func TestBrokenOffKVCacheIsNotExported(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		whole    bool
	}{
		"without a length": {"HTTP/1.1 200 OK\r\n\r\nhalf a cac", false},
		"with a length":    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncache", true},
		"in chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncache\r\n0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			kv, err := newEngine(startRawServer(t, c.response, false), "vm").ExportKV(context.Background(), "1")
			if whole := err == nil; whole != c.whole || whole && string(kv) != "cache" {
				t.Errorf("cache: got %q (%v), want complete %v", kv, err, c.whole)
			}
		})
	}
}
