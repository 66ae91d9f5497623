package backend

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
)

// Attempts that outlast a drain are handed over: each ends with a failure, and its
// entry goes on elsewhere with the text so far. Where the engine can export the KV
// cache of an attempt, the failure brings it, and the next agent gives it to its
// own engine, which then need not compute the prompt again.
//
// The cache is a help and never needed. It is bounded in size and time, it counts
// only for the same versions of model and adapter, and whatever goes wrong with it,
// the engine goes on from the text.

const (
	exportLimit      = 500 * time.Millisecond // for all exports of a drain together
	importLimit      = 500 * time.Millisecond // for the import of one attempt
	maxKVBytes       = 4 << 20                // of one attempt
	maxHandOverBytes = 16 << 20               // of all attempts that one drain hands over
)

// exports holds the caches that go with the attempts handed over.
type exports struct {
	caches map[bamboostep.AttemptID]*bamboostep.KV
	bytes  int
}

// handOver stops the attempts that outlasted the drain, and returns how many there
// are.
func (s *Server) handOver() int {
	s.exportKV()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.table.active {
		s.stopAttempt(id)
	}
	return len(s.table.active)
}

// exportKV exports the caches of the running attempts, as far as there is time.
func (s *Server) exportKV() {
	exporter, ok := s.Engine.(bamboostep.KVExporter)
	if !ok {
		return
	}
	offers := s.answering()
	ctx, cancel := context.WithTimeout(context.Background(), exportLimit)
	defer cancel()
	var all sync.WaitGroup
	for _, offer := range offers {
		all.Go(func() {
			data, err := exporter.ExportKV(ctx, offer.Attempt)
			if err == nil && ctx.Err() == nil {
				s.keepKV(offer, data)
			}
		})
	}
	all.Wait()
}

// answering returns the offers whose answer has begun. The cache of any other
// would cover only part of its prompt.
func (s *Server) answering() []bamboostep.Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.table.started(), func(offer bamboostep.Offer) bool {
		return s.table.get(offer.Attempt).out.end == 0
	})
}

// keepKV keeps an exported cache if there is room for it and no doubt about the
// versions that made it.
func (s *Server) keepKV(offer bamboostep.Offer, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, ok := s.versionsOf(offer.Request)
	if !ok || len(data) > maxKVBytes || s.exports.bytes+len(data) > maxHandOverBytes {
		return
	}
	kv.Data = data
	if s.exports.caches == nil {
		s.exports.caches = make(map[bamboostep.AttemptID]*bamboostep.KV)
	}
	s.exports.caches[offer.Attempt] = &kv
	s.exports.bytes += len(data)
	s.noteAttempt("kv_exported", offer)
}

// versionsOf returns the versions of model and adapter that a request runs on, and
// false if several are resident. mu is held.
func (s *Server) versionsOf(r bamboostep.Request) (bamboostep.KV, bool) {
	var kv bamboostep.KV
	version, ok := s.memory.OnlyVersion(r.Model)
	kv.Version = version
	if ok && r.Adapter != "" {
		kv.Adapter, ok = s.memory.OnlyVersion(r.Adapter)
	}
	return kv, ok
}

// importKV gives the engine the cache that came with an offer, if there is one
// that it can use.
func (s *Server) importKV(ctx context.Context, offer bamboostep.Offer) {
	importer, ok := s.Engine.(bamboostep.KVExporter)
	if !ok || offer.KV == nil {
		return
	}
	s.mu.Lock()
	here, ok := s.versionsOf(offer.Request)
	s.mu.Unlock()
	if !ok || here.Version != offer.KV.Version || here.Adapter != offer.KV.Adapter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, importLimit)
	defer cancel()
	if err := importer.ImportKV(ctx, offer.Attempt, offer.KV.Data); err != nil {
		s.noteKVFailure(offer, err)
		return
	}
	s.noteAttempt("kv_imported", offer)
}

func (s *Server) noteKVFailure(offer bamboostep.Offer, err error) {
	s.Recorder.Record(timeline.Event{
		Kind:    "kv_not_imported",
		Request: offer.Request.ID,
		Attempt: offer.Attempt,
		Model:   target(offer.Request),
		VM:      s.VM.Name,
		Detail:  err.Error(),
	})
}
