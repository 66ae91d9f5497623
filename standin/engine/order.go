package engine

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/dghubble/sling"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/standin/internal/listen"
)

// Orders are carried out to their end whether or not whoever gave them still
// listens. A second order for the same replica waits for the first.

// Codes of failures.
const (
	codeNotResident = "not_resident"
	codeFull        = "full"
	codeFenced      = "fenced"
	codeNoMemory    = "no_memory"
	codeStore       = "store_failed"
	codeBad         = "bad_request"
)

var statusOf = map[string]int{
	codeNotResident: http.StatusNotFound,
	codeFull:        http.StatusTooManyRequests,
	codeFenced:      http.StatusConflict,
	codeNoMemory:    http.StatusInsufficientStorage,
	codeStore:       http.StatusBadGateway,
	codeBad:         http.StatusBadRequest,
}

type replicaKey struct {
	adapter       bool
	name, version string
}

// replica is one model or adapter held, with what changes it at present.
type replica struct {
	bamboostep.Replica
	changed chan struct{} // closed when the change in flight has ended
}

func keyOf(o bamboostep.Order) replicaKey {
	adapter := o.Kind == bamboostep.LoadAdapter || o.Kind == bamboostep.UnloadAdapter
	return replicaKey{adapter, o.Name, o.Version}
}

// do carries out an order and returns how it failed, or nil.
func (e *Engine) do(o bamboostep.Order) *listen.Failure {
	time.Sleep(e.OrderDelay)
	if f := e.checkFence(o); f != nil {
		return f
	}
	switch o.Kind {
	case bamboostep.LoadModel, bamboostep.LoadAdapter:
		return e.loadReplica(o)
	case bamboostep.UnloadModel, bamboostep.UnloadAdapter:
		return e.unloadReplica(o)
	}
	return &listen.Failure{Code: codeBad, Message: fmt.Sprintf("order kind %q is unknown", o.Kind)}
}

// checkFence counts an order and refuses it if it is fenced.
func (e *Engine) checkFence(o bamboostep.Order) *listen.Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if o.Kind == bamboostep.LoadModel || o.Kind == bamboostep.UnloadModel {
		e.models++
	}
	f := o.Fence
	if e.FencesOrders && f.Less(e.highest) {
		err := &bamboostep.FencedError{Order: f, Highest: e.highest}
		return &listen.Failure{Code: codeFenced, Message: err.Error()}
	}
	if e.highest.Less(f) {
		e.highest = f
	}
	return nil
}

func (e *Engine) loadReplica(o bamboostep.Order) *listen.Failure {
	r, f := e.beginLoad(o)
	if r == nil || f != nil {
		return f
	}
	err := e.fetch(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	close(r.changed)
	if err != nil {
		e.free(keyOf(o), r)
		return &listen.Failure{Code: codeStore, Message: err.Error()}
	}
	r.State = bamboostep.ReplicaResident
	return nil
}

// beginLoad takes the memory of a load. It returns nil if the replica is there.
func (e *Engine) beginLoad(o bamboostep.Order) (*replica, *listen.Failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle(keyOf(o))
	if e.replicas[keyOf(o)] != nil {
		return nil, nil
	}
	if o.Kind == bamboostep.LoadAdapter && !e.resident(o.Model, "") {
		return nil, &listen.Failure{Code: codeNotResident, Message: fmt.Sprintf("base model %q is not resident", o.Model)}
	}
	if e.GuardsMemory && e.held+o.MiB > e.MemoryMiB {
		err := &bamboostep.InsufficientMemoryError{Name: o.Name, NeedMiB: o.MiB, ReservedMiB: e.held, MemoryMiB: e.MemoryMiB}
		return nil, &listen.Failure{Code: codeNoMemory, Message: err.Error()}
	}
	r := &replica{
		Replica: bamboostep.Replica{Name: o.Name, Model: o.Model, Version: o.Version, MiB: o.MiB, State: bamboostep.ReplicaLoading},
		changed: make(chan struct{}),
	}
	e.replicas[keyOf(o)] = r
	e.held += o.MiB
	e.peak = max(e.peak, e.held)
	return r, nil
}

func (e *Engine) unloadReplica(o bamboostep.Order) *listen.Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := keyOf(o)
	e.settle(key)
	r := e.replicas[key]
	if r == nil {
		return nil
	}
	r.State = bamboostep.ReplicaUnloading
	r.changed = make(chan struct{})
	e.mu.Unlock()
	time.Sleep(e.UnloadTime)
	e.mu.Lock()
	close(r.changed)
	e.free(key, r)
	if !key.adapter {
		e.cache.dropModel(time.Now(), o.Name)
	}
	return nil
}

// settle waits, with e.mu held, until no change of the replica is in flight.
func (e *Engine) settle(key replicaKey) {
	for {
		r := e.replicas[key]
		if r == nil || r.State == bamboostep.ReplicaResident {
			return
		}
		changed := r.changed
		e.mu.Unlock()
		<-changed
		e.mu.Lock()
	}
}

func (e *Engine) free(key replicaKey, r *replica) {
	delete(e.replicas, key)
	e.held -= r.MiB
}

// resident reports whether a version of the model, and of the adapter if one is
// named, is held and ready.
func (e *Engine) resident(model, adapter string) bool {
	return e.ready(false, model) && (adapter == "" || e.ready(true, adapter))
}

func (e *Engine) ready(adapter bool, name string) bool {
	for key, r := range e.replicas {
		if key.adapter == adapter && key.name == name && r.State == bamboostep.ReplicaResident {
			return true
		}
	}
	return false
}

type weightsQuery struct {
	Kind string `url:"kind"`
}

// fetch gets the weights of an order from the store.
func (e *Engine) fetch(o bamboostep.Order) error {
	kind := "model"
	if o.Kind == bamboostep.LoadAdapter {
		kind = "adapter"
	}
	if e.Store == "" {
		time.Sleep(e.LoadTime)
		return nil
	}
	req, err := sling.New().Get(e.Store + "/weights/" + url.PathEscape(o.Version)).QueryStruct(weightsQuery{kind}).Request()
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req.WithContext(context.Background()))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answered %s for version %q", resp.Status, o.Version)
	}
	return nil
}

func sortReplicas(replicas []bamboostep.Replica) {
	slices.SortFunc(replicas, func(a, b bamboostep.Replica) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Model, b.Model))
	})
}
