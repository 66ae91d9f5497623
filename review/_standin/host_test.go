package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// plainWorker is a worker of a plain service.
type plainWorker struct {
	ip   string
	id   string
	born int64
}

func (w *plainWorker) start() error {
	l, err := net.Listen("tcp", at(w.ip, portApp))
	if err != nil {
		return err
	}
	w.id, w.born = "i-"+w.ip, time.Now().UnixMilli()
	go http.Serve(l, http.HandlerFunc(w.serve))
	return nil
}

func (w *plainWorker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Server-Load", "0,0,6")
	switch want := r.Header.Get("X-Expect-Instance"); {
	case want != "" && want != w.id:
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/health":
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	time.Sleep(30 * time.Millisecond)
	rw.Header().Set("X-Response-Signature", w.id+"."+id)
	fmt.Fprintf(rw, "order %s\n", id)
}

func (w *plainWorker) listing(service, zone string) map[string]any {
	return map[string]any{"id": w.id, "born": w.born, "backend": service, "address": at(w.ip, portApp), "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0}
}

// hostConfig is plainConfig with a second route, for another host.
func hostConfig(version int, host string) map[string]any {
	config := plainConfig(version, 1000)
	second := make(map[string]any)
	for key, value := range config["routes"].([]any)[0].(map[string]any) {
		second[key] = value
	}
	second["name"], second["hostname"] = "r-h2b9wu3", host
	config["routes"] = append(config["routes"].([]any), second)
	return config
}

// capitalHost publishes a route for a host whose name has a capital letter, and has callers ask for that host.
func capitalHost(s *system, trouble bool) error {
	const service = "wuno96b"
	zones := []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"}
	var workers []*plainWorker
	for i := range zones {
		w := &plainWorker{ip: s.address(101 + i)}
		if err := w.start(); err != nil {
			return err
		}
		workers = append(workers, w)
	}
	s.list = func() []map[string]any {
		var entries []map[string]any
		for i, w := range workers {
			entries = append(entries, w.listing(service, zones[i]))
		}
		return entries
	}
	d, err := s.start(3, nil)
	if err != nil {
		return err
	}
	if err := s.publish(d.voters, plainConfig(1, 1000), 10*time.Second); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	host := "Taller.example"
	if !trouble {
		host = "taller.example"
	}
	if err := s.publish(d.voters, hostConfig(2, host), 5*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // config_apply_ms is 2 s, contact_ms 3 s
	for _, v := range d.voters {
		status, version := readVersion(v)
		s.record.printf("operator: read at %s: status %d, version %d", v.ip, status, version)
	}
	served, missing := 0, 0
	for n := range 60 {
		e := d.entries[n%len(d.entries)]
		asked := "ficu95.example"
		if n%2 == 0 {
			asked = host
		}
		a := get(e, asked, "/lohu930/2f", time.Second)
		s.record.printf("client: %s%s at %s: %s", asked, "/lohu930/2f", e.ip, a)
		switch {
		case asked == host && a.status == http.StatusNotFound:
			missing++
		case a.status == http.StatusOK:
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.record.printf("served: %d of 60; refused with 404 though the route is there: %d", served, missing)
	switch {
	case served == 0:
		return fmt.Errorf("no request was served")
	case missing > 0:
		return errBroken
	}
	return nil
}
