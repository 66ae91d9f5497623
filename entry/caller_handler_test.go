package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
)

const testAnswer = "Fold the seam twice, señor, then solder it."

// streamText returns the text of an event stream and whether it ended with [DONE].
func streamText(t *testing.T, body string) (text string, done bool) {
	t.Helper()
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		for _, ch := range c.Choices {
			text += ch.Delta.Content
		}
	}
	return text, false
}

// Streamed and plain answers are complete, also if the backend server fails before
// or during the answer and another one resumes it.
func TestChat(t *testing.T) {
	tests := map[string]struct{ failAfter, failures int }{
		"healthy":                {-1, 0},
		"first server fails":     {3, 1},
		"two servers fail":       {2, 2},
		"fails before first one": {0, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			left := tt.failures
			engine := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
				if left > 0 {
					left--
					return answerWith(testAnswer, tt.failAfter)(o, yield)
				}
				return answerWith(testAnswer, -1)(o, yield)
			}
			s := startHandler(t, newTestHandler(newTestFleet(3, engine, nil), nil))
			got := call(t, s, "POST", "/v1/chat/completions", `{"model":"base","messages":[{"role":"user","content":"how?"}],"stream":true}`)
			text, done := streamText(t, got.body)
			if text != testAnswer || !done {
				t.Errorf("streamed text = %q, done %v, want %q", text, done, testAnswer)
			}
			left = tt.failures
			got = call(t, s, "POST", "/v1/chat/completions", `{"model":"base","messages":[{"role":"user","content":"how?"}]}`)
			var c completion
			if err := json.Unmarshal([]byte(got.body), &c); err != nil || len(c.Choices) != 1 {
				t.Fatalf("got answer %q: %v", got.body, err)
			}
			if text := c.Choices[0].Message.Content; text != testAnswer {
				t.Errorf("plain text = %q, want %q", text, testAnswer)
			}
			if got, want := c.Usage.CompletionTokens, len(strings.Fields(testAnswer)); got != want {
				t.Errorf("completion tokens = %d, want %d", got, want)
			}
		})
	}
}

// An engine may send a piece that ends within a UTF-8 sequence. The events that
// the caller reads contain whole characters only.
func TestStreamDoesNotSplitCharacters(t *testing.T) {
	engine := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
		for i := range len(testAnswer) {
			if err := yield(bamboostep.Answer{Attempt: o.Attempt, Data: []byte{testAnswer[i]}, Tokens: 1, Last: i == len(testAnswer)-1}); err != nil {
				return err
			}
		}
		return nil
	}
	s := startHandler(t, newTestHandler(newTestFleet(1, engine, nil), nil))
	got := call(t, s, "POST", "/v1/chat/completions", `{"model":"base","messages":[{}],"stream":true}`)
	if text, done := streamText(t, got.body); text != testAnswer || !done {
		t.Errorf("streamed text = %q, done %v, want %q", text, done, testAnswer)
	}
}

// The KV cache handed over by an attempt is passed to the next attempts until one
// of them runs. An attempt refused as not run does not use it up.
func TestKVCacheIsPassedToNextAttempt(t *testing.T) {
	kv := &bamboostep.KV{Version: "v1", Data: []byte("cache")}
	ends := []bamboostep.Failure{
		{Outcome: bamboostep.Ran, Code: "leaving", KV: kv},
		{Outcome: bamboostep.NotRun, Code: "leaving"},
		{Outcome: bamboostep.Ran, Code: "backend_broke_off"},
	}
	var offers []bamboostep.Offer // not guarded: the offers are made one after another
	engine := func(offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
		offers = append(offers, offer)
		if n := len(offers); n <= len(ends) {
			return &bamboostep.AttemptError{Failure: ends[n-1]}
		}
		return answerWith("one two", -1)(offer, yield)
	}
	s := startHandler(t, newTestHandler(newTestFleet(4, engine, nil), &fakeLedger{}))
	r := call(t, s, "POST", "/v1/chat/completions", `{"model":"base","messages":[{"role":"user","content":"x"}]}`)
	if r.status != http.StatusOK || len(offers) != 4 {
		t.Fatalf("got status %d after %d offers, want 200 after 4: %s", r.status, len(offers), r.body)
	}
	for i, want := range []*bamboostep.KV{nil, kv, kv, nil} {
		if got := offers[i].KV; got != want {
			t.Errorf("offer %d: got cache %v, want %v", i, got, want)
		}
	}
}

func TestAdapterIsLoadedWhereMissing(t *testing.T) {
	f := newTestFleet(1, answerWith(testAnswer, -1), nil)
	s := startHandler(t, newTestHandler(f, nil))
	got := call(t, s, "POST", "/v1/completions", `{"model":"seams","prompt":"how?"}`)
	if got.status != http.StatusOK {
		t.Fatalf("got status %d: %s", got.status, got.body)
	}
	want := bamboostep.Order{Kind: bamboostep.LoadAdapter, Name: "seams", Model: "base", Version: "v7", MiB: 12}
	if got := f.servers["engines"][0].offered()[0].Load; got != want {
		t.Errorf("load order = %+v, want %+v", got, want)
	}
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		status             int
		code               string
		outcome            bamboostep.Outcome
		retry              bool
	}{
		"unknown model":  {"POST", "/v1/chat/completions", `{"model":"nope","messages":[{}]}`, 404, "model_not_found", bamboostep.NotRun, false},
		"bad JSON":       {"POST", "/v1/completions", `{`, 400, "bad_json", bamboostep.NotRun, false},
		"no prompt":      {"POST", "/v1/completions", `{"model":"base"}`, 400, "no_prompt", bamboostep.NotRun, false},
		"null messages":  {"POST", "/v1/chat/completions", `{"model":"base","messages":null}`, 400, "no_prompt", bamboostep.NotRun, false},
		"no messages":    {"POST", "/v1/chat/completions", `{"model":"base","messages":[]}`, 400, "bad_prompt", bamboostep.NotRun, false},
		"bad messages":   {"POST", "/v1/chat/completions", `{"model":"base","messages":"hello"}`, 400, "bad_prompt", bamboostep.NotRun, false},
		"two prompts":    {"POST", "/v1/completions", `{"model":"base","prompt":["a","b"]}`, 400, "bad_prompt", bamboostep.NotRun, false},
		"bad prompt":     {"POST", "/v1/completions", `{"model":"base","prompt":7}`, 400, "bad_prompt", bamboostep.NotRun, false},
		"two choices":    {"POST", "/v1/chat/completions", `{"model":"base","messages":[{}],"n":2}`, 400, "many_choices", bamboostep.NotRun, false},
		"best of two":    {"POST", "/v1/completions", `{"model":"base","prompt":"a","best_of":2}`, 400, "many_choices", bamboostep.NotRun, false},
		"bad limit":      {"POST", "/v1/completions", `{"model":"base","prompt":"a","max_tokens":-1}`, 400, "bad_token_limit", bamboostep.NotRun, false},
		"one in a list":  {"POST", "/v1/completions", `{"model":"base","prompt":["a"],"n":1}`, 503, "no_backend_server", bamboostep.NotRun, true},
		"tokens":         {"POST", "/v1/completions", `{"model":"base","prompt":[1,2]}`, 503, "no_backend_server", bamboostep.NotRun, true},
		"unknown path":   {"GET", "/nothing", ``, 404, "path_not_found", bamboostep.NotRun, false},
		"large body":     {"POST", "/checks", strings.Repeat("x", 1<<20+1), 413, "body_too_large", bamboostep.NotRun, false},
		"no server":      {"GET", "/checks", ``, 503, "no_backend_server", bamboostep.NotRun, true},
		"no write there": {"POST", "/orders", ``, 503, "no_backend_server", bamboostep.NotRun, true},
	}
	s := startHandler(t, newTestHandler(newTestFleet(0, nil, nil), &fakeLedger{}))
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := call(t, s, tt.method, tt.path, tt.body)
			var e errorResponse
			if err := json.Unmarshal([]byte(got.body), &e); err != nil {
				t.Fatalf("got body %q: %v", got.body, err)
			}
			if got.status != tt.status || e.Error.Code != tt.code || e.Error.Outcome != tt.outcome {
				t.Errorf("got %d %+v, want %d %s %s", got.status, e.Error, tt.status, tt.code, tt.outcome)
			}
			if got, want := got.header.Get("Retry-After") != "", tt.retry; got != want {
				t.Errorf("got Retry-After %v, want %v", got, want)
			}
			if got, want := e.Error.RequestID, got.header.Get("X-Request-Id"); got != want || got == "" {
				t.Errorf("request ID in body = %q, in header %q", got, want)
			}
		})
	}
}

// A caller that stops sending within its body is answered after BodyTimeout. The
// timeout does not apply to a caller that sent its whole body and waits for the
// answer.
func TestIncompleteBodyTimesOut(t *testing.T) {
	const bodyTime = 50 * time.Millisecond
	app := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
		<-time.After(2 * bodyTime)
		return yield(bamboostep.Answer{Attempt: o.Attempt, Data: []byte("late"), Last: true})
	}
	c := newTestHandler(newTestFleet(1, nil, app), nil)
	c.Limits.BodyTimeout = bodyTime
	s := startHandler(t, c)
	for body, want := range map[string]string{"abc": "body_unreadable", "abcdefghij": "late"} {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /checks HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\nConnection: close\r\n\r\n%s", body)
		got, err := io.ReadAll(conn)
		if err != nil || !strings.Contains(string(got), want) {
			t.Errorf("after body %q got %q, %v, want %q", body, got, err, want)
		}
	}
}

// A request predicted to be late is refused at once with Retry-After, instead of
// waiting in the queue of a backend server.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	engine := newBlockingEngine()
	send, release := startBusy(t, newTestHandler(newTestFleet(1, engine.offer, nil), nil), engine)
	got := send()
	var body errorResponse
	if err := json.Unmarshal([]byte(got.body), &body); err != nil || body.Error.Code != "overloaded" || body.Error.Outcome != bamboostep.NotRun {
		t.Errorf("got %s, %v", got.body, err)
	}
	if got, want := got.header.Get("Retry-After"), "5"; got != want {
		t.Errorf("Retry-After = %q, want %q", got, want)
	}
	release()
}

// Failures that retries cannot help with end the request: an invalid request after
// one attempt, full queues after one attempt per backend server.
func TestFailuresThatEndTheRequest(t *testing.T) {
	tests := map[string]struct {
		code, want string
		status     int
		offers     int
	}{
		"bad request": {"bad_request", "bad_request", 400, 1},
		"full queues": {"queue_full", "overloaded", 503, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			engine := func(bamboostep.Offer, func(bamboostep.Answer) error) error {
				return failure(bamboostep.NotRun, tt.code)
			}
			f := newTestFleet(3, engine, nil)
			s := startHandler(t, newTestHandler(f, nil))
			got := call(t, s, "POST", "/v1/completions", `{"model":"base","prompt":"how?"}`)
			if got.status != tt.status || !strings.Contains(got.body, tt.want) || !strings.Contains(got.body, "not_run") {
				t.Errorf("got %d %s, want %d %s", got.status, got.body, tt.status, tt.want)
			}
			offers := 0
			for _, s := range f.servers["engines"] {
				offers += len(s.offered())
			}
			if offers != tt.offers {
				t.Errorf("offers = %d, want %d", offers, tt.offers)
			}
		})
	}
}

// An answer that has begun waits for its model to be loaded again if no copy is
// left. It is only interrupted if that takes longer than modelRestoreTime.
func TestStartedAnswerWaitsForLostModel(t *testing.T) {
	tests := map[string]struct {
		outage time.Duration
		whole  bool
	}{
		"back in time": {14 * time.Second, true},
		"not back":     {time.Minute, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(1, nil, nil)
				s := f.servers["engines"][0]
				s.offer = func(offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
					if s.isDown() {
						return failure(bamboostep.NotRun, "no_connection")
					}
					if len(offer.PriorText) > 0 {
						return answerWith(testAnswer, -1)(offer, yield)
					}
					s.setDown(true)
					time.AfterFunc(tt.outage, func() { s.setDown(false) })
					return answerWith(testAnswer, 1)(offer, yield)
				}
				c := newTestHandler(f, nil)
				c.Limits.NoServerWait = 3 * time.Second
				rec := httptest.NewRecorder()
				began := time.Now()
				body := `{"model":"base","messages":[{}],"stream":true}`
				func() {
					defer func() { recover() }() // an interrupted answer panics with http.ErrAbortHandler
					c.ServeHTTP(rec, httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(body)))
				}()
				took := time.Since(began)
				text, done := streamText(t, rec.Body.String())
				if (text == testAnswer && done) != tt.whole || took > 20*time.Second {
					t.Errorf("got %q, done %v after %v, want it complete %v and ended within 20s", text, done, took, tt.whole)
				}
				time.Sleep(tt.outage) // lets the timer fire
			})
		})
	}
}

// slowWriter simulates a caller that takes four seconds to read an event.
type slowWriter struct{ *httptest.ResponseRecorder }

func (w slowWriter) Write(b []byte) (int, error) {
	time.Sleep(4 * time.Second)
	return w.ResponseRecorder.Write(b)
}

func TestSlowCallerIsNotAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, answerWith(testAnswer, -1), nil)
		rec := httptest.NewRecorder()
		body := `{"model":"base","messages":[{}],"stream":true}`
		newTestHandler(f, nil).ServeHTTP(slowWriter{rec}, httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(body)))
		if text, done := streamText(t, rec.Body.String()); text != testAnswer || !done {
			t.Errorf("streamed text = %q, done %v, want %q", text, done, testAnswer)
		}
		offers := len(f.servers["engines"][0].offered()) + len(f.servers["engines"][1].offered())
		if got, want := offers, 1; got != want {
			t.Errorf("offers = %d, want %d", got, want)
		}
	})
}

// In an outage the first request waits for a backend server to come back, and
// later requests are refused at once.
func TestOutageFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestHandler(newTestFleet(0, nil, nil), nil)
		c.Limits.NoServerWait = 3 * time.Second
		for i, want := range []bool{false, true} {
			rec := httptest.NewRecorder()
			began := time.Now()
			c.ServeHTTP(rec, httptest.NewRequest("GET", "/checks", nil))
			if got := time.Since(began) < 100*time.Millisecond; rec.Code != 503 || got != want {
				t.Errorf("request %d: status %d after %v, at once %v, want %v", i, rec.Code, time.Since(began), got, want)
			}
		}
	})
}

func TestServiceRequestIsForwardedUnchanged(t *testing.T) {
	app := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
		q := o.Request
		if q.Method != "PUT" || q.Path != "/checks/7?deep=1" || string(q.Body) != "body" {
			t.Errorf("got %s %s %q", q.Method, q.Path, q.Body)
		}
		if got := http.Header(q.Header).Get("X-Device"); got != "van 4" {
			t.Errorf("header X-Device = %q, want %q", got, "van 4")
		}
		if got := http.Header(q.Header).Get("Connection"); got != "" {
			t.Errorf("header Connection = %q was passed on", got)
		}
		return yield(bamboostep.Answer{Attempt: o.Attempt, Status: 418, Header: map[string][]string{"X-Kind": {"tea"}}, Data: []byte("short"), Last: true})
	}
	s := startHandler(t, newTestHandler(newTestFleet(1, nil, app), nil))
	got := call(t, s, "PUT", "/checks/7?deep=1", "body", "X-Device", "van 4", "Connection", "close")
	if got.status != 418 || got.body != "short" || got.header.Get("X-Kind") != "tea" {
		t.Errorf("got %+v", got)
	}
}

// A long answer that is interrupted must not look complete to the caller, and the
// answer of another attempt must not be appended to it.
func TestInterruptedLongAnswerAbortsConnection(t *testing.T) {
	piece := []byte(strings.Repeat("x", defaultMaxBufferedBytes+1))
	app := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
		if err := yield(bamboostep.Answer{Attempt: o.Attempt, Status: 200, Data: piece}); err != nil {
			return err
		}
		return failure(bamboostep.Unknown, "connection_lost")
	}
	s := startHandler(t, newTestHandler(newTestFleet(3, nil, app), nil))
	got := call(t, s, "GET", "/checks", "")
	if !errors.Is(got.err, io.ErrUnexpectedEOF) || len(got.body) > len(piece) {
		t.Errorf("got error %v after %d bytes, want %v after %d", got.err, len(got.body), io.ErrUnexpectedEOF, len(piece))
	}
}

func TestRequestTimeline(t *testing.T) {
	failAfter := 0
	engine := func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
		defer func() { failAfter = -1 }()
		return answerWith(testAnswer, failAfter)(o, yield)
	}
	c := newTestHandler(newTestFleet(2, engine, nil), nil)
	s := startHandler(t, c)
	got := call(t, s, "POST", "/v1/completions", `{"model":"base","prompt":"how?"}`)
	id := bamboostep.RequestID(got.header.Get("X-Request-Id"))
	var kinds []string
	for _, e := range c.Recorder.Find(timeline.Query{Request: id}) {
		kinds = append(kinds, e.Kind)
		if e.Revision != 7 || e.Model != "base" {
			t.Errorf("event %+v has no revision or model", e)
		}
	}
	want := "request_received routed failed retry routed first_token answered"
	if got := strings.Join(kinds, " "); got != want {
		t.Errorf("events = %s, want %s", got, want)
	}
}
