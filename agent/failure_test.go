package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// An engine crashes while it runs two requests. Both must be reported as crash suspects
// and neither as not_run, and the agent must refuse requests until an engine is
// reachable again.
func TestEngineCrash(t *testing.T) {
	e := &fakeEngine{release: make(chan struct{}), replicas: []bamboostep.Replica{{Name: "m", MiB: 10, State: bamboostep.ReplicaResident}}}
	s := httptest.NewServer(e.handler())
	a := startAgent(t, bamboostep.EnginePlace, s.URL)
	failures := make(chan error, 2)
	for i := range 2 {
		offer := newOffer(fmt.Sprint(i), bamboostep.Request{Model: "m", Fingerprint: uint64(7 + i)})
		go func() {
			_, err := a.sendOffer(context.Background(), offer)
			failures <- err
		}()
	}
	a.awaitReport(t, func(r bamboostep.Report) bool { return r.Running == 2 })
	s.Listener.Close()
	s.CloseClientConnections()
	for range 2 {
		if f := failureFrom(t, <-failures); f.Outcome == bamboostep.NotRun || !f.Crashed {
			t.Errorf("got failure %+v, want crashed and an outcome other than not_run", f)
		}
	}
	var fingerprintSum uint64
	deadline := time.After(testDeadline)
	for n := 0; n < 2; {
		select {
		case suspects := <-a.suspects:
			for _, suspect := range suspects {
				fingerprintSum += suspect.Fingerprint
				n++
			}
		case <-deadline:
			t.Fatalf("got %d suspects, want 2", n)
		}
	}
	if fingerprintSum != 7+8 {
		t.Errorf("got fingerprints that add up to %d, want 7 and 8", fingerprintSum)
	}
	_, err := a.sendOffer(context.Background(), newOffer("9", bamboostep.Request{Model: "m"}))
	if f := failureFrom(t, err); f.Outcome != bamboostep.NotRun {
		t.Errorf("with no engine: got outcome %s, want not_run", f.Outcome)
	}

	ln, err := net.Listen("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	restarted := &http.Server{Handler: (&fakeEngine{replicas: e.replicas}).handler()}
	go restarted.Serve(ln)
	defer restarted.Close()
	a.awaitReport(t, func(r bamboostep.Report) bool { return r.Ready })
	if got, err := a.sendOffer(context.Background(), newOffer("10", bamboostep.Request{Model: "m"})); err != nil || got != "m 0 1 2" {
		t.Errorf("with a new engine: got answer %q (%v)", got, err)
	}
}

// startDroppingServer starts a server that responds to the first request on a
// connection and closes the connection after reading the second, without a response.
// In this case http.Transport retries a request on a reused connection. served counts
// the requests read.
func startDroppingServer(t *testing.T, served *atomic.Int64) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveThenDrop(conn, served)
		}
	}()
	return "http://" + ln.Addr().String()
}

// serveThenDrop serves one connection. A request with an X-Drop header gets no response
// even if it is the first.
func serveThenDrop(conn net.Conn, served *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		served.Add(1)
		if !first || req.Header.Get("X-Drop") != "" {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// The application must receive each attempt's request exactly once, also when it closes
// the connection without a response: a retry by http.Transport would run a call twice.
func TestApplicationGetsEachAttemptOnce(t *testing.T) {
	var served atomic.Int64
	a := startAgent(t, bamboostep.ApplicationPlace, startDroppingServer(t, &served))
	for i := range 4 {
		r := bamboostep.Request{Service: "s", Method: "GET", Path: "/orders", Header: map[string][]string{"Idempotency-Key": {"k"}}}
		if i == 3 {
			r.Method = "POST"
			r.Header["X-Drop"] = []string{"1"}
		}
		_, err := a.sendOffer(context.Background(), newOffer(fmt.Sprint(i), r))
		if i < 3 && err != nil {
			t.Errorf("request %d failed: %v", i, err)
		}
		if i == 3 && failureFrom(t, err).Outcome != bamboostep.Unknown {
			t.Errorf("request without a response: got %v, want outcome unknown", err)
		}
	}
	if got, want := served.Load(), int64(4); got != want {
		t.Errorf("the application served %d requests, want %d", got, want)
	}
}

// The request reaches the application, and the response the caller, byte for byte apart
// from hop-by-hop headers and the added request ID, also if the response is large and has
// no Content-Length.
func TestApplicationProxiesUnchanged(t *testing.T) {
	long := make([]byte, 3<<20)
	for i := range long {
		long[i] = byte(i * i >> 7)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got := fmt.Sprintf("%s %s %s %v %v %s", r.Method, r.RequestURI, r.Host, r.Header["X-Shop"], r.Header["Keep-Alive"], body)
		if want := "PUT /a%2Fb?x=1&y example.org [1 2] [] body"; got != want {
			t.Errorf("got request %q, want %q", got, want)
		}
		if r.Header.Get(requestIDHeader) != "r1" {
			t.Errorf("got header %s %q, want r1", requestIDHeader, r.Header.Get(requestIDHeader))
		}
		w.Header()["X-Answer"] = []string{"a", "b"}
		w.WriteHeader(http.StatusTeapot)
		w.Write(long)
	}))
	defer s.Close()
	a := startAgent(t, bamboostep.ApplicationPlace, s.URL)
	offer := newOffer("1", bamboostep.Request{
		Service: "s", Method: "PUT", Path: "/a%2Fb?x=1&y", Body: []byte("body"),
		Header: map[string][]string{"X-Shop": {"1", "2"}, "Host": {"example.org"}, "Connection": {"Keep-Alive"}, "Keep-Alive": {"5"}},
	})
	var got []byte
	var first bamboostep.Answer
	err := a.client.Offer(context.Background(), offer, time.Second, func(p bamboostep.Answer) error {
		if p.Status != 0 {
			first = p
		}
		got = append(got, p.Data...)
		return nil
	})
	if err != nil || string(got) != string(long) {
		t.Errorf("got %d bytes (%v), want the %d that were sent", len(got), err, len(long))
	}
	if first.Status != http.StatusTeapot || fmt.Sprint(first.Header["X-Answer"]) != "[a b]" {
		t.Errorf("got status %d and headers %v", first.Status, first.Header)
	}
}
