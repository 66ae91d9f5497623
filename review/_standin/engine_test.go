package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineBackAfter = 3 * time.Second // a crashed worker is back after it
	eventPause      = 40 * time.Millisecond
	adapterLoadTime = 6 * time.Millisecond
	workerSlots     = 96
	hostMB          = 53000.0  // of copies of weights in memory, as in the configuration
	diskMB          = 160000.0 // and on disk
)

// modelSpec is a model as the configuration lists it.
type modelSpec struct {
	name      string
	weightsMB float64
	adapters  int
	adapterMB float64
	loadS     float64
	diskS     float64
	warmS     float64
}

func (m modelSpec) document() map[string]any {
	return map[string]any{"name": m.name, "weights_mb": m.weightsMB, "load_s": m.loadS, "adapters": m.adapters, "adapter_mb": m.adapterMB, "warm_s": m.warmS, "disk_s": m.diskS}
}

// heldModel is a model that a worker holds.
type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// engine is a model worker. It knows the true size of every model, whatever the configuration lists.
type engine struct {
	s            *system
	ip, zone     string
	service      string
	version      string
	weightsMB    float64
	adapterSlots int
	catalog      map[string]modelSpec

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	server   *http.Server
	models   []heldModel
	pending  []string
	onDisk   []string        // the one that was loaded last at the end
	inMemory []string        // of the machine, in the same order; lost at a restart
	runs     map[string]int  // by MODEL and by MODEL/ADAPTER
	leaving  map[string]bool // models and adapters that are unloaded once their runs have ended
	busy     bool
	sequence uint64
	fence    uint64
	running  int
	up       bool

	overloads int // orders to load more than the worker holds
}

// start starts the worker, empty but for the given models.
func (e *engine) start(models ...string) error {
	l, err := net.Listen("tcp", at(e.ip, portApp))
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(e.ip, ".", ""), e.starts)
	e.born = time.Now().UnixMilli()
	e.models, e.pending, e.busy, e.sequence, e.fence, e.running, e.up = nil, nil, false, 0, 0, 0, true
	e.inMemory, e.runs, e.leaving = nil, make(map[string]int), make(map[string]bool)
	for _, m := range models {
		e.hold(m)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(l)
	return nil
}

// hold adds a model. mu is held, or the worker has not started.
func (e *engine) hold(model string) {
	e.models = append(e.models, heldModel{Name: model, Version: 1, Adapters: []string{}})
	e.onDisk = e.keepCopy(e.onDisk, model, diskMB)
	e.inMemory = e.keepCopy(e.inMemory, model, hostMB)
}

// keepCopy adds a copy of a model's weights to those that the machine keeps, and evicts the ones used least recently.
func (e *engine) keepCopy(kept []string, model string, roomMB float64) []string {
	kept = append(slices.DeleteFunc(kept, func(m string) bool { return m == model }), model)
	for {
		sum := 0.0
		for _, m := range kept {
			sum += e.catalog[m].weightsMB
		}
		if sum <= roomMB {
			return kept
		}
		kept = kept[1:]
	}
}

// dropWhenUnused calls drop once no run uses a model or an adapter. Until then its new requests are turned away.
func (e *engine) dropWhenUnused(name string, drop func()) {
	e.leaving[name] = true
	born := e.born
	go func() {
		for done := false; !done; time.Sleep(2 * time.Millisecond) {
			e.mu.Lock()
			if done = e.born != born || !e.up; !done && e.runs[name] == 0 {
				delete(e.leaving, name)
				drop()
				done = true
			}
			e.mu.Unlock()
		}
	}()
}

func (e *engine) find(model string) *heldModel {
	for i := range e.models {
		if e.models[i].Name == model {
			return &e.models[i]
		}
	}
	return nil
}

// used returns the memory that the worker's models, adapters and pending adapters take. mu is held.
func (e *engine) used() (mb float64, adapters int) {
	for _, m := range e.models {
		mb += e.catalog[m.Name].weightsMB + float64(len(m.Adapters))*e.catalog[m.Name].adapterMB
		adapters += len(m.Adapters)
	}
	for _, p := range e.pending {
		model, _, _ := strings.Cut(p, "/")
		mb += e.catalog[model].adapterMB
		adapters++
	}
	return mb, adapters
}

// crash ends the worker at once. It comes back empty, under a new ID, with its disk. mu is held.
func (e *engine) crash(why string) {
	e.s.record.printf("worker %s (%s) crashes: %s; %d streams run there", e.id, e.ip, why, e.running)
	e.up = false
	server := e.server
	go server.Close()
	time.AfterFunc(engineBackAfter, func() {
		if e.s.ending() {
			return
		}
		for e.start() != nil && !e.s.ending() {
			time.Sleep(50 * time.Millisecond)
		}
		e.s.record.printf("worker %s is back, empty", e.ip)
	})
}

// listing returns the worker's entry in the platform's list.
func (e *engine) listing() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{"id": e.id, "born": e.born, "backend": e.service, "address": at(e.ip, portApp), "zone": e.zone, "version": e.version,
		"slots": workerSlots, "state": "ready", "cold_left_ms": 0, "stage": "unified", "models": slices.Clone(e.models)}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", id)
	case r.URL.Path == "/-/report":
		e.serveReport(w)
	case r.URL.Path == "/-/order":
		e.serveOrder(w, r)
	case r.URL.Path == "/-/kv-move":
		w.WriteHeader(http.StatusNotFound)
	case strings.HasPrefix(r.URL.Path, "/-/"):
		http.NotFound(w, r)
	default:
		e.serveStream(w, r)
	}
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := make([]heldModel, 0, len(e.models))
	for _, m := range e.models {
		models = append(models, heldModel{m.Name, m.Version, slices.Clone(m.Adapters)})
	}
	runs := make([]any, 0, e.running)
	for i := range e.running {
		runs = append(runs, []any{"r" + strconv.Itoa(i), 1000, 1, 5})
	}
	writeJSON(w, http.StatusOK, map[string]any{"born": e.born, "stage": "unified", "state": "ready", "models": models, "busy": e.busy, "sequence": e.sequence,
		"queued": 0, "running": e.running, "kv_used": 1000 * e.running, "kv_total": 207195, "handles": 0, "pinned": 0, "held": 0, "next": 0, "runs": runs,
		"pending": slices.Clone(e.pending), "at_hand": map[string]any{"in_memory": slices.Clone(e.inMemory), "on_disk": slices.Clone(e.onDisk)}})
}

type orderCall struct {
	Operation    string  `json:"operation"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Holder       string  `json:"holder"`
	Fence        *uint64 `json:"fence"`
	Precondition *uint64 `json:"precondition"`
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o orderCall
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.order(o)
	if !e.up { // the order has crashed the worker, which gives no answer
		e.s.record.printf("order to %s: %s %s %s from %s: no answer", e.ip, o.Operation, o.Model, o.Adapter, o.Holder)
		panic(http.ErrAbortHandler)
	}
	e.s.record.printf("order to %s: %s %s %s from %s: %d", e.ip, o.Operation, o.Model, o.Adapter, o.Holder, status)
	w.WriteHeader(status)
}

// order carries an order out and returns the status of its answer. mu is held.
func (e *engine) order(o orderCall) int {
	m := e.find(o.Model)
	spec, exists := e.catalog[o.Model]
	switch {
	case o.Fence == nil || o.Holder == "" || !exists || o.Operation != "load" && o.Operation != "unload":
		return http.StatusBadRequest
	case *o.Fence < e.fence:
		return http.StatusPreconditionFailed
	}
	e.fence = *o.Fence
	if o.Precondition != nil && *o.Precondition != e.sequence || e.busy {
		return http.StatusConflict
	}
	if o.Adapter != "" {
		return e.adapterOrder(o, m, spec)
	}
	switch {
	case o.Operation == "load" && m != nil, o.Operation == "unload" && m == nil:
		return http.StatusOK
	case o.Operation == "unload":
		e.sequence++
		e.busy = true
		e.dropWhenUnused(o.Model, func() {
			e.busy = false
			e.models = slices.DeleteFunc(e.models, func(h heldModel) bool { return h.Name == o.Model })
		})
		return http.StatusAccepted
	}
	used, _ := e.used()
	if used+spec.weightsMB > e.weightsMB {
		e.overloads++
		e.crash(fmt.Sprintf("ordered to load %s of %.0f MB while %.0f of %.0f MB are held (%s)", o.Model, spec.weightsMB, used, e.weightsMB, e.heldNames()))
		return http.StatusAccepted
	}
	e.sequence++
	e.busy = true
	took := spec.loadS
	if slices.Contains(e.onDisk, o.Model) {
		took = spec.diskS
	}
	if slices.Contains(e.inMemory, o.Model) {
		took = spec.warmS
	}
	born := e.born
	time.AfterFunc(time.Duration(took*float64(time.Second)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born && e.up {
			e.busy = false
			e.hold(o.Model)
		}
	})
	return http.StatusAccepted
}

func (e *engine) heldNames() string {
	var names []string
	for _, m := range e.models {
		names = append(names, m.Name)
	}
	return strings.Join(names, " ")
}

// adapterOrder carries out an order of an adapter. mu is held.
func (e *engine) adapterOrder(o orderCall, m *heldModel, spec modelSpec) int {
	if m == nil {
		return http.StatusBadRequest
	}
	held := slices.Contains(m.Adapters, o.Adapter)
	if held == (o.Operation == "load") {
		return http.StatusOK
	}
	if o.Operation == "unload" {
		e.sequence++
		name := o.Model + "/" + o.Adapter
		drop := func() {
			if m := e.find(o.Model); m != nil {
				m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == o.Adapter })
			}
		}
		if e.runs[name] == 0 {
			drop()
			return http.StatusOK
		}
		e.dropWhenUnused(name, drop)
		return http.StatusAccepted
	}
	if len(e.pending) >= 4 {
		return http.StatusConflict
	}
	used, adapters := e.used()
	if used+spec.adapterMB > e.weightsMB || adapters+1 > e.adapterSlots {
		e.overloads++
		e.crash(fmt.Sprintf("ordered to load adapter %s/%s", o.Model, o.Adapter))
		return http.StatusAccepted
	}
	e.sequence++
	name := o.Model + "/" + o.Adapter + "@1"
	e.pending = append(e.pending, name)
	born := e.born
	time.AfterFunc(adapterLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born != born || !e.up {
			return
		}
		e.pending = slices.DeleteFunc(e.pending, func(p string) bool { return p == name })
		if m := e.find(o.Model); m != nil {
			m.Adapters = append(m.Adapters, o.Adapter)
		}
	})
	return http.StatusAccepted
}

// serveStream answers a client's request with as many events as its tokens allow, 4 tokens each.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	e.mu.Lock()
	m := e.find(model)
	if m == nil || adapter != "" && !slices.Contains(m.Adapters, adapter) {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	name := r.Header.Get("X-Model")
	if e.leaving[model] || e.leaving[name] {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	used := []string{model}
	if adapter != "" {
		used = append(used, name)
	}
	for _, n := range used {
		e.runs[n]++
	}
	e.running++
	born, id := e.born, e.id
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born != born || !e.up {
			return
		}
		e.running--
		for _, n := range used {
			e.runs[n]--
		}
	}()
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(out))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", id+"."+r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Weight-Versions", "1")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= max(1, tokens/4); n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", n, e.version, model, r.Header.Get("X-Attempt-Id"))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}
