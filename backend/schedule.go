package backend

import (
	"cmp"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// Which waiting attempt starts next.
//
// Attempts start by the rank of their class, then in order of arrival, as long as
// fewer than the concurrency limit run. A crash suspect runs with nothing beside
// it, not even another suspect, so that a second crash has exactly one possible
// cause. While a suspect waits, nothing else starts, or a busy engine would never
// be empty; its StartBy bounds that. Nothing starts either while entries have yet to
// fetch as much output as the agent may keep, since an attempt frees its place before its
// answer is fetched.

// schedule starts what may start now.
func (t *table) schedule(now int64) []action {
	var acts []action
	alone := t.aloneRuns()
	for _, r := range slices.Clone(t.queued) {
		if r.startBy <= now {
			acts = append(acts, t.refuse(r, codeTooLate)...)
			continue
		}
		if r.held || r.conn == 0 {
			continue
		}
		if t.resident != nil && !t.resident(r.offer.Request) {
			acts = append(acts, t.refuse(r, codeNotResident)...)
			continue
		}
		if alone || len(t.active) >= t.concurrency || t.outputFull() {
			continue
		}
		if r.offer.RunAlone && len(t.active) > 0 {
			alone = true
			continue
		}
		t.apply(r, eventStart)
		alone = r.offer.RunAlone
		acts = append(acts, action{kind: actionStart, conn: r.conn, attempt: r.id, offer: r.offer})
	}
	return acts
}

// compareRecords orders waiting records, the next to start first: suspects before
// all others.
func compareRecords(a, b *record) int {
	if a.offer.RunAlone != b.offer.RunAlone {
		if a.offer.RunAlone {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.offer.Request.Class.Rank(), b.offer.Request.Class.Rank()),
		cmp.Compare(a.arrival, b.arrival),
	)
}

// aloneRuns reports whether a crash suspect runs.
func (t *table) aloneRuns() bool {
	for _, r := range t.active {
		if r.offer.RunAlone {
			return true
		}
	}
	return false
}

// shed refuses the least important waiting attempts beyond the queue's bound.
func (t *table) shed() []action {
	bound := t.queue + max(0, t.concurrency-len(t.active))
	var acts []action
	for len(t.queued) > bound {
		last := t.queued[len(t.queued)-1]
		acts = append(acts, t.refuse(last, codeQueueFull)...)
	}
	return acts
}

// tick refuses what waited too long and, now and then, sweeps the table.
func (t *table) tick(now int64) []action {
	var acts []action
	if now-t.sweptAt >= sweepEvery {
		t.sweptAt = now
		acts = t.sweep(now)
	}
	return append(acts, t.schedule(now)...)
}

// sweep stops what nobody reads and forgets what may be forgotten.
func (t *table) sweep(now int64) []action {
	var acts []action
	for id, r := range t.records {
		switch {
		case t.forgettable(now, r):
			t.forget(id, r)
		case t.isOrphan(now, r):
			r.orphan = true
			r.out.drop()
			if t.stopOrphans && t.apply(r, eventCancel) {
				acts = append(acts, action{kind: actionStop, attempt: id})
			}
		}
	}
	return acts
}

func (t *table) isOrphan(now int64, r *record) bool {
	return r.state == stateStarted && !r.orphan && r.conn == 0 && now-r.lostAt > orphanAfter
}

func (t *table) forgettable(now int64, r *record) bool {
	if r.startBy > now || !attemptChart.Final(r.state) {
		return false
	}
	return r.state != stateEnded || r.out.gone || now-r.endedAt > keepEnded
}

func (t *table) forget(id bamboostep.AttemptID, r *record) {
	if r.state == stateEnded {
		t.forgotten = max(t.forgotten, r.startBy)
	}
	r.out.drop()
	delete(t.records, id)
}

// started returns the offers that run now.
func (t *table) started() []bamboostep.Offer {
	var offers []bamboostep.Offer
	for _, r := range t.active {
		offers = append(offers, *r.offer)
	}
	return offers
}

// uses reports whether a waiting or running attempt names the model or adapter.
func (t *table) uses(name string) bool {
	for _, r := range t.queued {
		if names(r.offer.Request, name) {
			return true
		}
	}
	return len(t.runningOn(name)) > 0
}

// runningOn returns the running attempts that name the model or adapter.
func (t *table) runningOn(name string) []bamboostep.AttemptID {
	var ids []bamboostep.AttemptID
	for id, r := range t.active {
		if names(r.offer.Request, name) {
			ids = append(ids, id)
		}
	}
	return ids
}

func names(r bamboostep.Request, name string) bool { return r.Model == name || r.Adapter == name }
