package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	workerDownFor  = 2 * time.Second
	streamEvents   = 60
	resumableRoute = "/pufi791/"
)

// streamWorker is a worker of a service without engines that answers with streams. Each event names its software version.
type streamWorker struct {
	s        *system
	ip, zone string
	id       string // the same after each start

	mu      sync.Mutex
	version string
	server  *http.Server
	running int
	entry   map[string]any // of the platform's list
}

// start starts the worker under its ID, with a software version.
func (w *streamWorker) start(version string) error {
	l, err := net.Listen("tcp", at(w.ip, portApp))
	for until := time.Now().Add(2 * time.Second); err != nil && time.Now().Before(until); l, err = net.Listen("tcp", at(w.ip, portApp)) {
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.version, w.running = version, 0
	w.entry = map[string]any{"id": w.id, "born": now.UnixMilli(), "backend": "wuno96b", "address": at(w.ip, portApp),
		"zone": w.zone, "version": version, "slots": workerSlots, "state": "ready", "cold_left_ms": 0}
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(version, rw, r) })}
	go w.server.Serve(l)
	w.s.record.printf("worker %s starts at %s with software version %s", w.id, w.ip, version)
	return nil
}

// crash ends the worker at once. It stays on the list for now.
func (w *streamWorker) crash() {
	w.mu.Lock()
	server, running := w.server, w.running
	w.mu.Unlock()
	server.Close()
	w.s.record.printf("worker %s crashes; %d streams run there", w.id, running)
}

// listing returns the worker's entry in the platform's list.
func (w *streamWorker) listing() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entry
}

func (w *streamWorker) serve(version string, rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	switch want := r.Header.Get("X-Expect-Instance"); {
	case want != "" && want != w.id:
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/health":
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running--
	}()
	rw.Header().Set("X-Response-Signature", w.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= streamEvents; n++ {
		fmt.Fprintf(rw, "id: %d\ndata: %s %s %s\n\n", n, version, w.id, id)
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// versionsOf returns the software versions of the events that a client has, in order.
func versionsOf(a answer) []string {
	var versions []string
	for _, data := range a.data {
		version, _, _ := strings.Cut(data, " ")
		if n := len(versions); n == 0 || versions[n-1] != version {
			versions = append(versions, version)
		}
	}
	return versions
}

// restartedWorker has a worker of a service without engines start again under its ID with another software version, and crash
// once more under its first load.
func restartedWorker(s *system, trouble bool) error {
	zones := []string{"uy-sur-a", "uy-sur-b", "uy-sur-c", "uy-sur-a", "uy-sur-b"}
	var workers []*streamWorker
	for i, zone := range zones {
		w := &streamWorker{s: s, ip: s.address(101 + i), zone: zone, id: fmt.Sprintf("i-%d", 7000+i)}
		if err := w.start("v1"); err != nil {
			return err
		}
		workers = append(workers, w)
	}
	s.list = func() []map[string]any {
		var entries []map[string]any
		for _, w := range workers {
			entries = append(entries, w.listing())
		}
		return entries
	}
	d, err := s.start(3, nil)
	if err != nil {
		return err
	}
	config := plainConfig(1, 1000)
	streaming := route("r-h2b9wu3", resumableRoute, "wuno96b", 8000, 2, true)
	config["routes"] = append(config["routes"].([]any), streaming)
	if err := s.publish(d.voters, config, 10*time.Second); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	last := workers[4]
	if trouble {
		last.crash()
		time.Sleep(workerDownFor)
		if err := last.start("v2"); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	joined, whole, total := 0, 0, 0
	for n := range 40 {
		clients.Go(func() {
			a := stream(d.entries[n%3], resumableRoute+"2f", "", 0, 0, 8*time.Second, nil)
			s.record.printf("client: %s, software versions of its events: %s", a, strings.Join(versionsOf(a), " "))
			if a.cut && a.lastID != "" {
				first := a
				again := map[string]string{"Last-Event-Id": first.lastID, "Resumes": first.id}
				a = stream(d.entries[(n+1)%3], resumableRoute+"2f", "", 0, 0, 8*time.Second-first.took, again)
				s.record.printf("client: takes up %s after event %s: %s, software versions of these events: %s", first.id, first.lastID, a, strings.Join(versionsOf(a), " "))
				a.data = append(first.data, a.data...)
			}
			versions := versionsOf(a)
			mu.Lock()
			defer mu.Unlock()
			total++
			if a.whole {
				whole++
			}
			if len(versions) > 1 {
				joined++
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		last.crash()
	}
	clients.Wait()
	s.record.printf("streams: %d, whole: %d, with events of two software versions: %d", total, whole, joined)
	switch {
	case whole == 0:
		return fmt.Errorf("no stream was served")
	case joined > 2:
		return errBroken
	}
	return nil
}
