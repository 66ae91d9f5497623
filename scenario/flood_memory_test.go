package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/bamboostep/bamboostep/internal/flood"
	"github.com/bamboostep/bamboostep/scenario/cluster"
)

// Crowds that take memory, see flood_test.go.

const (
	floodMemoryMiB   = 96        // that the entry may use
	floodAgentMiB    = 64        // that the agent may use
	floodCrowd       = 24        // clients, where each sends or asks for much
	floodConnections = 600       // clients, where each sends little
	floodAnswers     = 600       // clients, where each asks for an answer of floodAnswer
	floodBody        = 4 << 20   // bytes; the largest that the entry takes
	floodAnswer      = 240 << 10 // bytes; an entry buffers it whole
	floodLargeAnswer = 7 << 20   // bytes; more than the sockets hold for a client that does not read
	floodShort       = 100       // bytes that a body stops short of its end
	floodFields      = 56 << 10  // bytes of many short fields of a head
	floodReaders     = 60        // clients who ask for time lines
	floodRequests    = 200       // of each client that fills the time line
	floodSpare       = 200       // descriptors of a process besides one for each client
)

// checkMemory fails the test unless the named process lives and has used no more than so many MiB.
func (f floodedCluster) checkMemory(name string, maxMiB, clients int, unread int64) {
	f.t.Helper()
	resp, err := http.Get(f.adminURL(name) + "/metrics")
	if err != nil {
		f.t.Fatalf("metrics of %s: %v", name, err)
	}
	defer resp.Body.Close()
	memory, err := flood.SystemMemory(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	descriptors := f.measured(name).Descriptors(f.t)
	f.t.Logf("%s: memory %.1f MB, unread %.1f MB, descriptors %d", name, float64(memory)/1e6, float64(unread)/1e6, descriptors)
	if memory+unread > int64(maxMiB)<<20 {
		f.t.Errorf("memory of %s: got %d bytes and %d that were not read, want at most %d", name, memory, unread, maxMiB<<20)
	}
	if descriptors > clients+floodSpare {
		f.t.Errorf("descriptors of %s: got %d, want at most %d", name, descriptors, clients+floodSpare)
	}
}

func floodRequest(path string, headers ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
}

// readNothing leaves an answer unread, but for its first byte.
func readNothing(w net.Conn) { _, _ = w.Read(make([]byte, 1)) }

// sendLargeJSON returns what sends a body of floodBody bytes at most: begin, then middle as often as it fits, with its number if it asks for that, then end.
func sendLargeJSON(path, begin, middle, end string) func(w net.Conn) {
	var body strings.Builder
	body.WriteString(begin)
	for n := 0; body.Len() < floodBody-floodShort; n++ {
		if strings.Contains(middle, "%") {
			fmt.Fprintf(&body, middle, n)
			continue
		}
		body.WriteString(middle)
	}
	body.WriteString(end)
	request := floodRequest(path, "Content-Length: "+strconv.Itoa(body.Len())) + body.String()
	return func(w net.Conn) {
		io.WriteString(w, request)
		readNothing(w)
	}
}

// Guards against an entry or an agent that ends, or exceeds its memory, since callers flood the entry.
func TestFloodOfCallers(t *testing.T) {
	length := func(n int) string { return "Content-Length: " + strconv.Itoa(n) }
	const chunked = "Transfer-Encoding: chunked"
	for name, c := range map[string]struct {
		clients int
		answer  int // bytes of an answer
		send    func(w net.Conn)
	}{
		"large bodies that stop short": {floodCrowd, 0, func(w net.Conn) {
			io.WriteString(w, floodRequest("/quotations", length(floodBody)))
			flood.SendBytes(w, floodBody-floodShort)
		}},
		"one large chunk that stops short": {floodCrowd, 0, func(w net.Conn) {
			fmt.Fprintf(w, "%s%x\r\n", floodRequest("/quotations", chunked), floodBody)
			flood.SendBytes(w, floodBody-floodShort)
		}},
		"small chunks that stop short": {floodCrowd, 0, func(w net.Conn) {
			io.WriteString(w, floodRequest("/quotations", chunked))
			flood.SendChunks(w, floodBody-floodShort)
		}},
		"whole bodies": {floodCrowd, 0, func(w net.Conn) {
			io.WriteString(w, floodRequest("/quotations", length(floodBody)))
			flood.SendBytes(w, floodBody)
		}},
		"far over the limit, announced": {floodCrowd, 0, func(w net.Conn) {
			io.WriteString(w, floodRequest("/quotations", length(16*floodBody)))
			flood.SendBytes(w, 16*floodBody)
		}},
		"far over the limit, sent": {floodCrowd, 0, func(w net.Conn) {
			fmt.Fprintf(w, "%s%x\r\n", floodRequest("/quotations", chunked), 16*floodBody)
			flood.SendBytes(w, 16*floodBody)
		}},
		"heads of many fields": {floodConnections, 0, func(w net.Conn) {
			io.WriteString(w, floodRequest("/quotations", flood.Fields(floodFields)+length(floodBody)))
		}},
		"heads that stop short": {floodConnections, 0, func(w net.Conn) {
			io.WriteString(w, "POST /quotations HTTP/1.1\r\nHost: h\r\nX-More: "+strings.Repeat("x", 12<<10))
		}},
		"idle connections": {floodConnections, 0, func(net.Conn) {}},
		"large answers that are not read": {floodCrowd, floodLargeAnswer, func(w net.Conn) {
			io.WriteString(w, floodRequest("/quotations", length(0)))
			readNothing(w)
		}},
		"large answers to orders that are not read": {floodCrowd, floodLargeAnswer, func(w net.Conn) {
			io.WriteString(w, floodRequest("/orders", length(0), "X-Order-Id: "+w.LocalAddr().String()))
			readNothing(w)
		}},
		"answers that are not read": {floodAnswers, floodAnswer, func(w net.Conn) {
			io.WriteString(w, floodRequest("/quotations", length(0)))
			readNothing(w)
		}},
		"answers to orders that are not read": {floodAnswers, floodAnswer, func(w net.Conn) {
			io.WriteString(w, floodRequest("/orders", length(0), "X-Order-Id: "+w.LocalAddr().String()))
			readNothing(w)
		}},
		"completions of many prompts": {floodCrowd, 0, sendLargeJSON("/v1/completions", `{"model":"m","prompt":[""`, `,""`, `]}`)},
		"chats of many messages":      {floodCrowd, 0, sendLargeJSON("/v1/chat/completions", `{"model":"m","messages":[{}`, `,{}`, `]}`)},
		"orders of many fields":       {floodCrowd, 0, sendLargeJSON("/orders", `{"order_id":""`, `,"%06x":0`, `}`)},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFloodedCluster(t, &cluster.Cluster{
				EntryLines:  []string{fmt.Sprintf("memory_mib = %d", floodMemoryMiB), fmt.Sprintf("max_body_bytes = %d", floodBody)},
				AgentLines:  []string{fmt.Sprintf("process_mib = %d", floodAgentMiB)},
				ServiceArgs: []string{"--answer_bytes", strconv.Itoa(c.answer)},
			})
			entryUnread, agentUnread := f.measured(floodEntry).WatchUnread(t), f.measured(floodAgent).WatchUnread(t)
			defer entryUnread()
			defer agentUnread()
			(&flood.Crowd{Clients: c.clients, Send: c.send}).Start(t, strings.TrimPrefix(f.CallersURL(floodEntry), "http://"))
			f.awaitServed("after the crowd has sent")
			f.checkMemory(floodEntry, floodMemoryMiB, c.clients, entryUnread())
			f.checkMemory(floodAgent, floodAgentMiB, c.clients, agentUnread())
		})
	}
}

// Guards against an entry that ends, or exceeds its memory, since its port for operators is flooded.
func TestFloodOfOperators(t *testing.T) {
	for name, c := range map[string]struct {
		clients int
		send    func(w net.Conn)
	}{
		"publications that stop short": {floodCrowd, func(w net.Conn) {
			io.WriteString(w, floodRequest("/operator/v1/publish", "Content-Length: "+strconv.Itoa(floodBody)))
			flood.SendBytes(w, floodBody-floodShort)
		}},
		"publications of empty objects": {floodCrowd, sendLargeJSON("/operator/v1/publish", `{"id":"i","objects":{"models":[{}`, `,{}`, `]}}`)},
		"heads of many fields": {floodConnections, func(w net.Conn) {
			io.WriteString(w, floodRequest("/operator/v1/publish", flood.Fields(floodFields)+"Content-Length: "+strconv.Itoa(floodBody)))
		}},
		"time lines that are not read": {floodReaders, func(w net.Conn) {
			io.WriteString(w, "GET /operator/v1/timeline HTTP/1.1\r\nHost: h\r\n\r\n")
			readNothing(w)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFloodedCluster(t, &cluster.Cluster{EntryLines: []string{fmt.Sprintf("memory_mib = %d", floodMemoryMiB)}})
			unread := f.measured(floodEntry).WatchUnread(t)
			defer unread()
			f.fillTimeLine()
			(&flood.Crowd{Clients: c.clients, Send: c.send}).Start(t, strings.TrimPrefix(f.OperatorsURL(floodEntry), "http://"))
			f.await("revisions after the crowd has sent", http.MethodGet, f.OperatorsURL(floodEntry)+"/operator/v1/revisions", "")
			f.awaitServed("after the crowd has sent")
			f.checkMemory(floodEntry, floodMemoryMiB, floodCrowd+c.clients, unread())
		})
	}
}

// fillTimeLine has the entry serve more requests than its time line keeps events.
func (f floodedCluster) fillTimeLine() {
	f.t.Helper()
	fill := &flood.Crowd{Clients: floodCrowd, Send: func(w net.Conn) {
		flood.SendRequests(w, floodRequests, floodRequest("/quotations", "Content-Length: 0"))
	}}
	fill.Start(f.t, strings.TrimPrefix(f.CallersURL(floodEntry), "http://"))
	fill.Leave()
}
