package backend

import (
	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// The handlers of an agent's messages. None of them blocks.

func (s *Server) handleHello(m *wire.Message) {
	var body helloBody
	if m.Decode(&body) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.RaiseHighestFence(body.Fence)
	s.revision = max(s.revision, body.Revision)
}

func (s *Server) handleOffer(m *wire.Message) {
	var body offerBody
	if m.Decode(&body) != nil {
		return
	}
	offer := body.offer()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, offer.Request.Revision)
	held, code := s.admit(offer)
	acts := s.table.offered(s.now(), s.ids[m.Conn()], offer, held, code)
	s.perform(acts)
	if r := s.table.get(offer.Attempt); held && r != nil && r.state == stateWaiting {
		s.wantAdapter(offer)
	}
}

// admit returns whether the offer must wait for its adapter, or why it is
// refused.
func (s *Server) admit(offer bamboostep.Offer) (held bool, code string) {
	if code := s.refusalCode(); code != "" {
		return false, code
	}
	if (s.Engine == nil) != (offer.Request.Service != "") {
		return false, codeWrongKind
	}
	if s.Engine == nil || s.resident(offer.Request) {
		return false, ""
	}
	if !s.memory.IsResident(offer.Request.Model) || offer.Load.Kind != bamboostep.LoadAdapter {
		return false, codeNotResident
	}
	return true, ""
}

func (s *Server) handleResume(m *wire.Message) {
	var body resumeBody
	if m.Decode(&body) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(s.table.resumed(s.now(), s.ids[m.Conn()], body.Attempt, body.StartBy, body.Offset))
}

func (s *Server) handleAck(m *wire.Message) {
	var body ackBody
	if m.Decode(&body) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.acked(body.Attempt, body.Offset, body.Whole)
	s.changed.Broadcast()
}

func (s *Server) handleCancel(m *wire.Message) {
	var body cancelBody
	if m.Decode(&body) != nil {
		return
	}
	s.mu.Lock()
	outcome, acts := s.table.cancelled(s.now(), body.Attempt, body.StartBy)
	s.perform(acts)
	s.mu.Unlock()
	_ = m.Reply(outcome)
}

func (s *Server) handleDrain(m *wire.Message) {
	var body drainBody
	if m.Decode(&body) != nil {
		return
	}
	s.mu.Lock()
	s.drained = body.Leaving
	s.perform(s.table.setLeaving(s.leaving()))
	s.mu.Unlock()
	s.note("drain_marked", map[bool]string{true: "leaving", false: "live"}[body.Leaving])
	s.report()
	_ = m.Reply(nil)
}

func (s *Server) handleTimeline(m *wire.Message) {
	var q timeline.Query
	if m.Decode(&q) != nil {
		return
	}
	go func() { _ = m.Reply(s.Recorder.Find(q)) }()
}
