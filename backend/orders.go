package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/stock"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// Orders to the engine. The memory decides; this shell sends.

const (
	unloadWait = 30 * time.Second // how long an unload waits for running attempts
	roomWait   = 1 * time.Second  // how long an adapter load waits for an idle adapter
)

// busyError says that attempts did not end in time for an unload.
type busyError struct{ name string }

// Error implements error.
func (e *busyError) Error() string { return fmt.Sprintf("attempts still run on %q", e.name) }

func (s *Server) handleOrder(m *wire.Message) {
	var order bamboostep.Order
	if m.Decode(&order) != nil {
		return
	}
	go func() {
		err := s.order(order)
		result := bamboostep.OrderResult{Fence: order.Fence, Code: orderCode(err)}
		if err != nil {
			result.Error = err.Error()
		}
		s.metrics.countOrder(order.Kind, result.Code)
		_ = m.Reply(result)
	}()
}

// order carries out an order of the placer and returns how it ended.
func (s *Server) order(order bamboostep.Order) error {
	if issue := s.orderIssue(); issue != "" {
		return &stock.NotReadyError{VM: s.VM.Name, Issue: issue}
	}
	if isLoad(order.Kind) && s.acceptable(order) {
		s.makeRoom(order)
	}
	for {
		s.mu.Lock()
		verdict, err := s.memory.Begin(s.Node.Uptime(), order)
		if verdict == stock.InFlight {
			s.changed.Wait()
		}
		s.mu.Unlock()
		s.report() // the leader goes on once it sees that the order has been taken up
		switch verdict {
		case stock.Send:
			return s.execute(order)
		case stock.Done, stock.Refused:
			return err
		}
	}
}

func (s *Server) orderIssue() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.Engine == nil:
		return "no engine runs beside this agent"
	case s.stopping:
		return "the agent is stopping"
	}
	return ""
}

// acceptable reports whether an order is neither too old nor known already.
func (s *Server) acceptable(order bamboostep.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.IsNewOrder(order)
}

// makeRoom unloads idle adapters where a load would not fit.
func (s *Server) makeRoom(order bamboostep.Order) {
	s.mu.Lock()
	victims := s.memory.AdapterEvictions(order.MiB, s.table.uses)
	s.mu.Unlock()
	var all sync.WaitGroup
	for _, v := range victims {
		all.Go(func() { _ = s.ownOrder(v) })
	}
	all.Wait()
}

func isLoad(kind bamboostep.OrderKind) bool {
	return kind == bamboostep.LoadModel || kind == bamboostep.LoadAdapter
}

// ownOrder carries out an order of the agent itself.
func (s *Server) ownOrder(order bamboostep.Order) error {
	s.mu.Lock()
	order, verdict, err := s.memory.BeginLocal(s.Node.Uptime(), order)
	s.mu.Unlock()
	if verdict != stock.Send {
		return err
	}
	return s.execute(order)
}

// execute sends an order for which memory is reserved.
func (s *Server) execute(order bamboostep.Order) error {
	s.countOrders(1)
	defer s.countOrders(-1)
	s.noteOrder("order_sent", order, "")
	err := s.awaitIdle(order)
	if err == nil {
		err = s.sendOrder(order)
	}
	ending := orderEnding(err)
	s.mu.Lock()
	s.memory.Finish(s.Node.Uptime(), order, ending, err)
	s.perform(nil)
	s.mu.Unlock()
	s.noteOrder("order_ended", order, orderCode(err))
	s.report()
	return err
}

func (s *Server) countOrders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders += n
}

func (s *Server) sendOrder(order bamboostep.Order) error {
	limit := s.OrderTimeout
	if limit == 0 {
		limit = defaultOrderTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	s.mu.Lock()
	s.unanswered[order] = cancel
	s.memory.MarkSent(s.Node.Uptime(), order)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.unanswered, order)
	}()
	return s.giveEngine(ctx, order)
}

// giveEngine gives the engine an order under the highest fence seen. Orders for
// different replicas go side by side, so that an engine that fences would refuse
// one that had to wait, or that a later one has overtaken, under its own.
func (s *Server) giveEngine(ctx context.Context, order bamboostep.Order) error {
	for {
		order.Fence = s.highestFence()
		err := s.Engine.Do(ctx, order)
		var fenced *bamboostep.FencedError
		if !errors.As(err, &fenced) || !order.Fence.Less(s.highestFence()) {
			return err
		}
	}
}

func (s *Server) highestFence() bamboostep.FencingToken {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.HighestFence()
}

// giveUpAnswers stops waiting for answers that must have been lost.
func (s *Server) giveUpAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Node.Uptime()
	for order, cancel := range s.unanswered {
		if s.memory.AnswerOverdue(now, order) {
			cancel()
		}
	}
}

// awaitIdle waits until the attempts that run on what is to be unloaded have
// ended. No others start meanwhile, unless another version is resident.
func (s *Server) awaitIdle(order bamboostep.Order) error {
	if isLoad(order.Kind) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), unloadWait)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.table.runningOn(order.Name) {
		for s.table.active[id] != nil {
			if ctx.Err() != nil {
				return &busyError{order.Name}
			}
			s.changed.Wait()
		}
	}
	return nil
}

// orderEnding returns what an error of Engine.Do says about the order.
func orderEnding(err error) stock.Result {
	var fenced *bamboostep.FencedError
	var noMemory *bamboostep.InsufficientMemoryError
	var busy *busyError
	var told *bamboostep.AttemptError
	switch {
	case err == nil:
		return stock.Executed
	case errors.As(err, &fenced), errors.As(err, &noMemory), errors.As(err, &busy):
		return stock.NotExecuted
	case errors.As(err, &told) && told.Failure.Outcome == bamboostep.NotRun:
		return stock.NotExecuted
	}
	return stock.AnswerLost
}

// orderCode returns the stable code of an order's error.
func orderCode(err error) string {
	var fenced *bamboostep.FencedError
	var noMemory *bamboostep.InsufficientMemoryError
	var notReady *stock.NotReadyError
	var uncertain *stock.UncertainError
	var notResident *stock.NotResidentError
	var busy *busyError
	var told *bamboostep.AttemptError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &fenced):
		return "fenced"
	case errors.As(err, &noMemory):
		return "no_memory"
	case errors.As(err, &notReady):
		return codeNotReady
	case errors.As(err, &uncertain):
		return "uncertain"
	case errors.As(err, &notResident):
		return codeNotResident
	case errors.As(err, &busy):
		return "busy"
	case errors.As(err, &told):
		return told.Failure.Code
	}
	return "lost"
}

func (s *Server) noteOrder(kind string, order bamboostep.Order, code string) {
	detail := fmt.Sprintf("%s %d.%d", order.Kind, order.Fence.Term, order.Fence.Sequence)
	if code != "" {
		detail += " " + code
	}
	s.Recorder.Record(timeline.Event{
		Kind:   kind,
		Model:  order.Name,
		VM:     s.VM.Name,
		Term:   order.Fence.Term,
		Detail: detail,
	})
}

// wantAdapter loads the adapter of a held offer, once for all that wait for it.
func (s *Server) wantAdapter(offer bamboostep.Offer) {
	name := offer.Request.Adapter
	waiters, loading := s.loads[name]
	s.loads[name] = append(waiters, offer.Attempt)
	if loading {
		return
	}
	go s.loadAdapter(offer.Load)
}

func (s *Server) loadAdapter(order bamboostep.Order) {
	err := s.loadInTurn(order)
	s.mu.Lock()
	defer s.mu.Unlock()
	waiters := s.loads[order.Name]
	delete(s.loads, order.Name)
	for _, id := range waiters {
		s.perform(s.table.release(s.now(), id, orderCode(err)))
	}
}

// loadInTurn loads an adapter. Where memory lacks because the other adapters are
// in use, it waits a while for one to become idle.
func (s *Server) loadInTurn(order bamboostep.Order) error {
	s.loadTurn.Lock()
	defer s.loadTurn.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), roomWait)
	defer cancel()
	for {
		s.makeRoom(order)
		err := s.ownOrder(order)
		var noMemory *bamboostep.InsufficientMemoryError
		if !errors.As(err, &noMemory) || ctx.Err() != nil {
			return err
		}
		s.awaitChange()
	}
}

// awaitChange waits for an event; a tick is one.
func (s *Server) awaitChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Wait()
}
