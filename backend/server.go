package backend

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/worker"
	"github.com/bamboostep/bamboostep/stock"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	tickInterval  = 50 * time.Millisecond
	stateInterval = 200 * time.Millisecond // between two looks at the engine's state
	stateTimeout  = 1 * time.Second
	drainPoll     = 10 * time.Millisecond

	defaultOrderTimeout = 2 * time.Minute
	defaultDrainTimeout = 30 * time.Second
	handOverLimit       = 1 * time.Second
	minDrain            = 1 * time.Second // by then every entry has heard that the agent is leaving
)

// Prober is an optional capability of an Application: it says whether the
// application can be reached, without sending a request.
type Prober interface {
	Probe(ctx context.Context) error
}

// Server is an agent's end of all connections. Set the exported fields before
// Register and Run; give Up and Down to the wire.Listener.
type Server struct {
	Node         *wire.Node
	VM           bamboostep.VM
	Engine       bamboostep.Engine      // nil beside an application
	Application  bamboostep.Application // nil beside an engine
	MemoryMiB    int64
	Concurrency  int           // attempts that run at once
	Queue        int           // attempts that wait at most
	MaxOutput    int           // bytes of output that entries have yet to fetch, beyond which no attempt starts; 0 for any number
	OrderTimeout time.Duration // 2 min if 0
	DrainTimeout time.Duration // 30 s if 0
	Settle       time.Duration // settling time of the memory; stock.DefaultSettleTime if 0
	Recorder     *timeline.Recorder
	Registry     prometheus.Registerer // may be nil

	mu       sync.Mutex
	changed  *sync.Cond // broadcast after every event; its lock is mu
	table    table
	memory   stock.MemoryReservations
	conns    map[uint64]*peer
	ids      map[*wire.Conn]uint64
	lastConn uint64
	launches map[bamboostep.AttemptID]launched
	loads    map[string][]bamboostep.AttemptID // attempts that wait for an adapter
	loadTurn sync.Mutex                        // one adapter load at a time
	orders   int                               // that run

	unanswered map[bamboostep.Order]context.CancelFunc // given to the engine

	exports  exports
	drained  bool // an operator's drain mark
	stopping bool
	backend  backendState
	revision uint64
	sequence uint64
	dropped  []uint64 // cache blocks dropped since the last report
	kick     chan struct{}
	metrics  *serverMetrics
	workers  *worker.Pool // of attempts
}

// backendState is what the agent last saw of its engine or application.
type backendState struct {
	up          bool
	incarnation string
	seenAt      time.Duration // agent clock at which incarnation was asked for
	load        float64
	loadAt      time.Duration // agent clock at which load was true
}

// peer is one connected entry.
type peer struct {
	conn   *wire.Conn
	last   *bamboostep.Report // last sent, or nil
	lastAt time.Duration      // when, by the node's uptime
}

// Register registers the message kinds of an agent.
func (s *Server) Register(mux *wire.Mux) {
	s.init()
	mux.On(kindHello, s.handleHello)
	mux.On(kindOffer, s.handleOffer)
	mux.On(kindResume, s.handleResume)
	mux.On(kindAck, s.handleAck)
	mux.On(kindCancel, s.handleCancel)
	mux.On(kindOrder, s.handleOrder)
	mux.On(kindDrain, s.handleDrain)
	mux.On(kindTimeline, s.handleTimeline)
}

func (s *Server) init() {
	s.changed = sync.NewCond(&s.mu)
	s.conns = make(map[uint64]*peer)
	s.ids = make(map[*wire.Conn]uint64)
	s.launches = make(map[bamboostep.AttemptID]launched)
	s.unanswered = make(map[bamboostep.Order]context.CancelFunc)
	s.loads = make(map[string][]bamboostep.AttemptID)
	s.kick = make(chan struct{}, 1)
	s.workers = worker.NewPool()
	s.memory = stock.MemoryReservations{VM: s.VM.Name, MemoryMiB: s.MemoryMiB, SettleTime: s.Settle}
	s.table = table{concurrency: s.Concurrency, queue: s.Queue, stopOrphans: s.Engine != nil, maxOutput: s.MaxOutput}
	if s.Engine != nil {
		s.table.resident = s.resident
	}
	s.metrics = newServerMetrics(s)
}

func (s *Server) resident(r bamboostep.Request) bool {
	return s.memory.IsResident(r.Model) && (r.Adapter == "" || s.memory.IsResident(r.Adapter))
}

// Up takes a new connection of an entry.
func (s *Server) Up(conn *wire.Conn) {
	s.mu.Lock()
	s.lastConn++
	s.ids[conn] = s.lastConn
	s.conns[s.lastConn] = &peer{conn: conn}
	s.mu.Unlock()
	s.report()
}

// Down notes that a connection has ended.
func (s *Server) Down(conn *wire.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.ids[conn]
	delete(s.ids, conn)
	delete(s.conns, id)
	s.table.connectionLost(s.now(), id)
}

// now returns the agent's clock in microseconds.
func (s *Server) now() int64 { return s.Node.Uptime().Microseconds() }

// Run works until ctx ends. Then it takes no more offers, lets the running
// attempts finish for at most DrainTimeout, and returns.
func (s *Server) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { every(work, tickInterval, s.tick) })
	loops.Go(func() { every(work, stateInterval, s.look) })
	loops.Go(func() { s.reportLoop(work) })
	<-ctx.Done()
	s.drain()
	stop()
	loops.Wait()
	return ctx.Err()
}

// every calls f at once and then at intervals, until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (s *Server) tick(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(s.table.tick(s.now()))
}

func (s *Server) drain() {
	s.mu.Lock()
	s.stopping = true
	s.perform(s.table.setLeaving(true))
	s.mu.Unlock()
	s.note("drain_started", "")
	s.report()
	limit := s.DrainTimeout
	if limit == 0 {
		limit = defaultDrainTimeout
	}
	began := time.Now()
	s.awaitDrained(limit, func() bool { return time.Since(began) >= minDrain && s.idle() })
	n := s.handOver()
	s.awaitDrained(handOverLimit, s.idle)
	s.note("drain_ended", fmt.Sprintf("%d attempts handed over", n))
}

// awaitDrained waits until done, for at most the limit.
func (s *Server) awaitDrained(limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	every(ctx, drainPoll, func(context.Context) {
		if done() {
			cancel()
		}
	})
}

// idle reports whether no attempt or order runs and every answer has been fetched.
func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders == 0 && !s.table.unfetched()
}

// Ready returns why the agent takes no offers, or nil.
func (s *Server) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if code := s.refusalCode(); code != "" {
		return &NotReadyError{s.VM.Name, code}
	}
	return nil
}

// NotReadyError says why an agent takes no offers.
type NotReadyError struct{ VM, Code string }

// Error implements error.
func (e *NotReadyError) Error() string { return "VM " + e.VM + " takes no offers: " + e.Code }

// refusalCode returns why no offer can be taken, or "".
func (s *Server) refusalCode() string {
	switch {
	case s.leaving():
		return codeLeaving
	case !s.backend.up:
		return codeBackendDown
	case s.Engine != nil && !s.memory.EngineObserved():
		return codeNotReady
	}
	return ""
}

func (s *Server) leaving() bool { return s.stopping || s.drained }

// perform does what the table decided. Messages of one connection keep their
// order because the lock is held.
func (s *Server) perform(acts []action) {
	for _, a := range acts {
		switch a.kind {
		case actionStart:
			s.launch(*a.offer)
		case actionStop:
			s.stopAttempt(a.attempt)
		case actionAnswer:
			s.send(a.conn, kindAnswer, newAnswerBody(a.answer))
		case actionFailure:
			s.noteFailure(a)
			s.send(a.conn, kindFailure, a.failure)
		}
	}
	s.changed.Broadcast()
}

func (s *Server) send(conn uint64, kind string, v any) {
	if p := s.conns[conn]; p != nil {
		_ = p.conn.Send(kind, v)
	}
}

func (s *Server) note(kind, detail string) {
	s.Recorder.Record(timeline.Event{Kind: kind, VM: s.VM.Name, Detail: detail})
}

func (s *Server) noteFailure(a action) {
	f := a.failure
	s.metrics.countFailure(f)
	s.Recorder.Record(timeline.Event{
		Kind:    "attempt_failed",
		Request: a.request,
		Attempt: f.Attempt,
		Model:   a.target,
		VM:      s.VM.Name,
		Detail:  f.Code + " " + string(f.Outcome),
	})
}

func (s *Server) noteAttempt(kind string, offer bamboostep.Offer) {
	s.Recorder.Record(timeline.Event{
		Kind:     kind,
		Request:  offer.Request.ID,
		Attempt:  offer.Attempt,
		Model:    target(offer.Request),
		VM:       s.VM.Name,
		Revision: offer.Request.Revision,
	})
}
