package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Running one attempt. The goroutine of an attempt ends only when the engine or
// application has let go of it, so that the table's count of running attempts is
// never less than the truth.

// launched is an attempt whose goroutine runs.
type launched struct {
	at        time.Duration // agent clock
	stop      context.CancelFunc
	suspected bool // the entries were told that it ran when the backend server died
}

func (s *Server) stopAttempt(id bamboostep.AttemptID) {
	if l, ok := s.launches[id]; ok {
		l.stop()
	}
}

// launch starts the goroutine of an attempt that the table has started.
func (s *Server) launch(offer bamboostep.Offer) {
	ctx, cancel := context.WithCancel(context.Background())
	s.launches[offer.Attempt] = launched{at: s.Node.Uptime(), stop: cancel}
	s.memory.MarkUsed(s.Node.Uptime(), offer.Request.Model)
	s.memory.MarkUsed(s.Node.Uptime(), offer.Request.Adapter)
	s.metrics.started.Inc()
	s.noteAttempt("attempt_started", offer)
	incarnation := s.backend.incarnation
	s.workers.Go(func() {
		defer cancel()
		p := &producer{server: s, attempt: offer.Attempt}
		err := s.serve(ctx, offer, p.yield)
		s.finish(ctx, offer, p, incarnation, err)
	})
}

func (s *Server) serve(ctx context.Context, offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	if s.Engine != nil {
		s.importKV(ctx, offer)
		return s.Engine.Generate(ctx, offer, yield)
	}
	return s.Application.Serve(ctx, offer, yield)
}

// producer hands the pieces of one attempt's answer to the table.
type producer struct {
	server  *Server
	attempt bamboostep.AttemptID
	begun   bool // the first piece was produced
	whole   bool // the last piece was produced
}

// yield waits until the entry has taken enough of the answer, then passes on a
// piece.
func (p *producer) yield(a bamboostep.Answer) error {
	if !p.begun && a.Status == 0 {
		a.Status = http.StatusOK
	}
	p.begun = true
	p.whole = a.Last
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.table.room(p.attempt) {
		s.changed.Wait()
	}
	s.perform(s.table.piece(p.attempt, a))
	return nil
}

func (s *Server) finish(ctx context.Context, offer bamboostep.Offer, p *producer, incarnation string, err error) {
	if err == nil && !p.whole {
		_ = p.yield(bamboostep.Answer{Last: true})
	}
	var failure *bamboostep.Failure
	if err != nil {
		f := s.failure(ctx, offer, p.begun, incarnation, err)
		failure = &f
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.launches, offer.Attempt)
	if failure == nil {
		s.noteAttempt("attempt_ended", offer)
	}
	s.perform(s.table.ended(s.now(), offer.Attempt, failure))
}

// failure works out what an error of the engine or application means.
func (s *Server) failure(ctx context.Context, offer bamboostep.Offer, begun bool, incarnation string, err error) bamboostep.Failure {
	f := bamboostep.Failure{Outcome: bamboostep.Unknown, Code: codeBackendBroke, Message: err.Error()}
	var told *bamboostep.AttemptError
	if errors.As(err, &told) {
		f = told.Failure
	}
	f.Attempt = offer.Attempt
	switch {
	case begun:
		f.Outcome = bamboostep.Ran
	case f.Outcome == "":
		f.Outcome = bamboostep.Unknown
	}
	switch {
	case ctx.Err() != nil:
		f.Code = s.stopCode()
		f.KV = s.exported(offer.Attempt)
	case f.Code == codeBackendDown:
		s.setUp(false)
	case f.Code == codeBackendBroke:
		f.Crashed = s.crashed(offer, incarnation)
	}
	return f
}

// stopCode returns why the agent itself stopped an attempt.
func (s *Server) stopCode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return codeLeaving
	}
	return codeCancelled
}

// exported returns the KV cache that goes with an attempt that is handed over.
func (s *Server) exported(id bamboostep.AttemptID) *bamboostep.KV {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exports.caches[id]
}

// crashed finds out whether the engine or application has died since the attempt
// started, and if so names the attempts that were running.
func (s *Server) crashed(offer bamboostep.Offer, incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	if !s.died(ctx, incarnation) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backend.up = false
	s.perform(s.table.refuseWaiting(codeBackendDown))
	s.suspect(s.Node.Uptime())
	return true
}

func (s *Server) died(ctx context.Context, incarnation string) bool {
	if s.Engine != nil {
		state, err := s.Engine.State(ctx)
		return err != nil || state.Incarnation != incarnation
	}
	if p, ok := s.Application.(Prober); ok {
		return p.Probe(ctx) != nil
	}
	return false
}

// suspect tells the entries which attempts, started before the given time, ran
// when the backend server died; each attempt once.
func (s *Server) suspect(before time.Duration) {
	var suspects []bamboostep.Suspect
	for _, offer := range s.table.started() {
		l := s.launches[offer.Attempt]
		if l.suspected || l.at > before {
			continue
		}
		l.suspected = true
		s.launches[offer.Attempt] = l
		suspects = append(suspects, bamboostep.Suspect{
			Fingerprint: offer.Request.Fingerprint,
			Attempt:     offer.Attempt,
			VM:          s.VM.Name,
			Crashes:     1,
		})
		s.noteAttempt("crash_suspected", offer)
	}
	if len(suspects) == 0 {
		return
	}
	s.metrics.crashes.Inc()
	for _, p := range s.conns {
		_ = p.conn.Send(kindSuspects, suspects)
	}
}
