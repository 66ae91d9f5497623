// Package engine is a stand-in for a model engine, for tests, experiments and the
// demo.
//
// It batches continuously, caches prompt prefixes in bounded memory, honours
// priorities, resumes and cancels streams, exports and imports KV cache, publishes
// cache events late and with gaps, reports load with a lag and takes orders. Its
// memory is its own: a load takes its share from when it begins and an unload
// gives it back at its end, and unless told to guard it the engine lets itself be
// overcommitted, so that a test sees from outside when the system went too far.
package engine

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Engine is one stand-in. Set the exported fields before Handler is called.
type Engine struct {
	MemoryMiB    int64
	Store        string        // base URL of the weight store; loads take LoadTime if empty
	Step         time.Duration // time of one step of the batch
	StepPerSeq   time.Duration // more for each running sequence
	PrefillToken time.Duration // more for each prompt token that is not cached
	KVBytes      int           // size of an exported KV cache, for each token
	MaxBatch     int           // sequences that run at once
	MaxWaiting   int           // sequences that wait; more are refused as full
	CacheBlocks  int           // capacity of the prefix cache
	CacheLag     time.Duration // delay of cache events
	CacheGap     int           // every CacheGap-th cache event is lost
	LoadLag      time.Duration // the reported load is up to this old
	FencesOrders bool          // refuse orders with an old fencing number
	GuardsMemory bool          // refuse loads that would pass MemoryMiB
	CrashOn      string        // a prompt with this text ends the process at its first token
	LoseOrders   int           // every LoseOrders-th answer to an order is not sent
	OrderDelay   time.Duration // wait before an order is carried out
	LoadTime     time.Duration // of a model, without a store
	UnloadTime   time.Duration
	Exit         func(code int) // ends the process; os.Exit if nil

	incarnation string
	stop        chan struct{}
	wake        chan struct{}

	mu       sync.Mutex
	replicas map[replicaKey]*replica
	held     int64
	peak     int64
	highest  bamboostep.FencingToken
	orders   int
	models   int // orders for models among these
	started  int
	waiting  []*sequence
	running  []*sequence
	arrivals int
	cache    *prefixCache
	imported map[bamboostep.AttemptID]kvCache
	load     loadSample
}

type loadSample struct {
	tokens float64
	at     time.Time
}

const crashStatus = 3

// start makes the engine's state and begins to run the batch.
func (e *Engine) start() {
	e.incarnation = fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano())
	e.stop = make(chan struct{})
	e.wake = make(chan struct{}, 1)
	e.replicas = make(map[replicaKey]*replica)
	e.cache = newPrefixCache(e.CacheBlocks, e.CacheLag, e.CacheGap)
	e.imported = make(map[bamboostep.AttemptID]kvCache)
	e.load.at = time.Now()
	if e.Exit == nil {
		e.Exit = os.Exit
	}
	go e.runBatch()
}

// Close ends the batch; sequences that run get no more tokens.
func (e *Engine) Close() { close(e.stop) }

// state is the engine's account of itself. The load in it is the last sample, so
// it is up to LoadLag old.
func (e *Engine) state(now time.Time) bamboostep.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.load.at) >= e.LoadLag {
		e.load = loadSample{e.queuedTokens(), now}
	}
	s := bamboostep.EngineState{
		Incarnation:  e.incarnation,
		MemoryMiB:    e.MemoryMiB,
		UsedMiB:      e.held,
		QueuedTokens: e.load.tokens,
		AgeMS:        now.Sub(e.load.at).Milliseconds(),
		CacheDropped: e.cache.published(now),
	}
	for _, r := range e.replicas {
		s.Replicas = append(s.Replicas, r.Replica)
	}
	sortReplicas(s.Replicas)
	return s
}

func (e *Engine) queuedTokens() float64 {
	n := 0
	for _, s := range e.waiting {
		n += s.end - s.next
	}
	for _, s := range e.running {
		n += s.end - s.next
	}
	return float64(n)
}

type stats struct {
	PeakMiB   int64 `json:"peak_mib"`
	HeldMiB   int64 `json:"held_mib"`
	MemoryMiB int64 `json:"memory_mib"`
	Started   int   `json:"started"` // sequences that began to run
	Running   int   `json:"running"`
	Orders    int   `json:"orders"`
	Models    int   `json:"models"` // orders for models among these
}

func (e *Engine) stats() stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return stats{e.peak, e.held, e.MemoryMiB, e.started, len(e.running), e.orders, e.models}
}
