package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bamboostep/bamboostep/release"
	"github.com/bamboostep/bamboostep/route"
)

// continuationEvents is the number of events of a whole stream in these tests; the first server breaks off in the fourth.
const continuationEvents = 6

func streamText(from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: e%d\n\n", n, n)
	}
	return text.String()
}

// answerAs returns a responder with a status, a content type and a body.
func answerAs(status int, contentType, body string) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

const eventStream = "text/event-stream"

// breakOff sends three events and a part of the fourth.
func breakOff(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Signature", "s")
	w.Header().Set("Content-Type", eventStream+"; charset=utf-8")
	io.WriteString(w, streamText(1, 3)+"id: 4")
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against a stream that broke off and goes on with what is no continuation of it: the text of another answer in its middle, events
// that the caller has, or an end as if it were complete (issue 44).
func TestOnlyContinuationGoesOn(t *testing.T) {
	rest := streamText(4, continuationEvents)
	for name, c := range map[string]struct {
		second    responder
		continues bool // what the second server sends is the rest of the stream
	}{
		"rest of the stream":            {answerAs(200, eventStream, rest), true},
		"rest, type in other letters":   {answerAs(200, "Text/Event-Stream;charset=utf-8", rest), true},
		"no event":                      {answerAs(200, eventStream, ""), true},
		"no content":                    {respondWithStatus(204), false},
		"text":                          {answerAs(200, "text/plain", "server restarted, try again"), false},
		"JSON":                          {answerAs(200, "application/json", `{"error":"overloaded"}`), false},
		"text that looks like an event": {answerAs(200, "text/plain", "server restarted\n\n"), false},
		"no type":                       {answerAs(200, "", rest), false},
		"another success":               {answerAs(202, eventStream, rest), false},
		"partial content":               {answerAs(206, eventStream, rest), false},
		"stream from its beginning":     {answerAs(200, eventStream, streamText(1, continuationEvents)), false},
		"last event again":              {answerAs(200, eventStream, streamText(3, continuationEvents)), false},
		"error as an event":             {answerAs(200, eventStream, "event: error\ndata: overloaded\n\n"), false},
		"error as an event with an ID":  {answerAs(200, eventStream, "event: error\nid: 0\ndata: overloaded\n\n"), false},
		"comment and an error":          {answerAs(200, eventStream, ": ping\n\nevent: error\ndata: overloaded\n\n"), false},
		"comment before the rest":       {answerAs(200, eventStream, ": ping\n\n"+rest), true},
		"error with a status":           {answerAs(500, "text/plain", "failed"), false},
		"moved away":                    {answerAs(302, "text/plain", "elsewhere"), false},
	} {
		for _, third := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, third server %t", name, third), func(t *testing.T) {
				servers := []*fakeBackend{newFakeBackend(t, true, breakOff), newFakeBackend(t, true, c.second)}
				if third {
					servers = append(servers, newFakeBackend(t, true, answerAs(200, eventStream, rest)))
				}
				s := startGateway(t, route.Route{Kind: route.Streaming, Attempts: 3, Resumable: true}, servers...)
				_, body, err := send(t, s, "/p/x", "")
				body = strings.ReplaceAll(body, ": ping\n\n", "") // a comment, which no caller takes for an event
				whole := streamText(1, continuationEvents)
				switch {
				case c.continues:
					if err != nil || !strings.HasPrefix(whole, body) {
						t.Errorf("got %q, %v, want the whole stream", body, err)
					}
				case third:
					if err != nil || body != whole {
						t.Errorf("got %q, %v, want the whole stream, from the third server", body, err)
					}
				default:
					if err == nil || body != streamText(1, 3) {
						t.Errorf("got %q, %v, want three events and a broken stream", body, err)
					}
				}
			})
		}
	}
}

// Guards against the same for a stream that a caller takes up by a new request: it must not get events that it has, nor an error in the middle of
// its stream (issue 44).
func TestOnlyContinuationIsTakenUp(t *testing.T) {
	for name, c := range map[string]struct {
		answer responder
		status int
		body   string
	}{
		"rest of the stream":        {answerAs(200, eventStream, streamText(4, 6)), 200, streamText(4, 6)},
		"no event":                  {answerAs(200, eventStream, ""), 200, ""},
		"stream from its beginning": {answerAs(200, eventStream, streamText(1, 6)), 502, ""},
		"error as an event":         {answerAs(200, eventStream, "event: error\ndata: overloaded\n\n"), 502, ""},
		"error with a status":       {answerAs(404, "text/plain", "gone"), 404, "gone"},
	} {
		t.Run(name, func(t *testing.T) {
			table, known := newTableAndFleet(t, route.Route{Kind: route.Streaming, Attempts: 1, Resumable: true}, newFakeBackend(t, true, c.answer))
			s := startGatewayWithOrigin(t, table, known, release.Origin{Service: "s", Version: `"v1"`})
			status, body := takeUp(t, s, "3")
			if status != c.status || status < http.StatusInternalServerError && body != c.body {
				t.Errorf("got %d %q, want %d %q", status, body, c.status, c.body)
			}
		})
	}
}
