package backend

import (
	"context"
	"time"

	"github.com/bamboostep/bamboostep"
)

// The time between reports grows with the number of entries, so that what an
// agent spends on reports does not. A change of what entries must know at once,
// such as a replica or readiness, does not wait for that time. A report that says
// nothing new is left out, but for one now and then, which shows that the load is
// still so.
const (
	minReportInterval = 200 * time.Millisecond
	minReportGap      = 20 * time.Millisecond // between two reports upon changes
	maxReportRate     = 25                    // reports a second to all entries together
	maxReportAge      = 5 * time.Second       // of the last report sent, though nothing is new
	maxChangeRate     = 1000                  // the same, upon changes
	maxDropped        = 256                   // dropped cache blocks that one report names
)

// look asks the engine or application how it is.
func (s *Server) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	if s.Engine != nil {
		s.lookAtEngine(ctx)
		return
	}
	p, ok := s.Application.(Prober)
	s.setUp(!ok || p.Probe(ctx) == nil)
}

func (s *Server) lookAtEngine(ctx context.Context) {
	defer s.giveUpAnswers()
	asked := s.Node.Uptime()
	state, err := s.Engine.State(ctx)
	if err != nil {
		s.setUp(false)
		return
	}
	s.mu.Lock()
	if s.backend.incarnation != "" && s.backend.incarnation != state.Incarnation {
		s.suspect(s.backend.seenAt)
	}
	s.backend.seenAt = asked
	s.memory.ObserveEngine(asked, state)
	s.backend.incarnation = state.Incarnation
	s.backend.load = state.QueuedTokens
	s.backend.loadAt = asked - time.Duration(state.AgeMS)*time.Millisecond
	s.dropped = append(s.dropped, state.CacheDropped...)
	s.dropped = s.dropped[max(0, len(s.dropped)-maxDropped):]
	s.perform(nil)
	s.mu.Unlock()
	s.setUp(true)
}

func (s *Server) setUp(up bool) {
	s.mu.Lock()
	was := s.backend.up
	s.backend.up = up
	if was && !up {
		s.perform(s.table.refuseWaiting(codeBackendDown))
	}
	s.mu.Unlock()
	if was == up {
		return
	}
	s.note("backend_"+map[bool]string{true: "up", false: "down"}[up], "")
	s.report()
}

// report asks for a report soon.
func (s *Server) report() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *Server) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.sendReports()
		s.pauseReports(ctx)
	}
}

// pauseReports waits for the next report: until the interval is over, or until a
// change, but always for the least gap.
func (s *Server) pauseReports(ctx context.Context) {
	entries := s.entries()
	gap := time.NewTimer(max(minReportGap, entries*time.Second/maxChangeRate))
	defer gap.Stop()
	rest := time.NewTimer(max(minReportInterval, entries*time.Second/maxReportRate))
	defer rest.Stop()
	select {
	case <-ctx.Done():
		return
	case <-gap.C:
	}
	select {
	case <-ctx.Done():
	case <-s.kick:
	case <-rest.C:
	}
}

// entries returns the number of connected entries, as a factor.
func (s *Server) entries() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(len(s.conns))
}

func (s *Server) sendReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	r := s.currentReport()
	s.dropped = nil
	now := s.Node.Uptime()
	for _, p := range s.conns {
		p.sendReport(now, r)
	}
}

// sendReport sends the whole report first and then what is new in it, if anything
// is.
func (p *peer) sendReport(now time.Duration, r bamboostep.Report) {
	if !p.isDue(now, r) {
		return
	}
	last := p.last
	p.last = &r
	p.lastAt = now
	if last == nil || !sameVM(*last, r) {
		_ = p.conn.Send(kindReport, r)
		return
	}
	_ = p.conn.Send(kindLoad, newLoadBody(*last, r))
}

// isDue reports whether a report is to be sent.
func (p *peer) isDue(now time.Duration, r bamboostep.Report) bool {
	return p.last == nil || now-p.lastAt >= maxReportAge || !saysNothingNew(*p.last, r)
}

func (s *Server) currentReport() bamboostep.Report {
	running := len(s.table.active)
	return bamboostep.Report{
		VM:            s.VM.Name,
		Place:         s.VM.Place,
		FailureDomain: s.VM.FailureDomain,
		Incarnation:   s.Node.Hello.Incarnation,
		Sequence:      s.sequence,
		Ready:         s.refusalCode() == "",
		Leaving:       s.leaving(),
		Running:       running,
		Waiting:       len(s.table.queued),
		EngineLoad:    s.backend.load,
		LoadAge:       s.Node.Uptime() - s.backend.loadAt,
		MemoryMiB:     s.memory.LimitMiB(),
		ReservedMiB:   s.memory.ReservedMiB(),
		UsedMiB:       s.memory.HeldMiB(),
		Replicas:      s.memory.Replicas(),
		Fence:         s.memory.HighestFence(),
		Revision:      s.revision,
		CacheDropped:  s.dropped,
	}
}
