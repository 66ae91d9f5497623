package backend

import (
	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// record is what the table knows about one attempt ID.
type record struct {
	id      bamboostep.AttemptID
	startBy int64
	request bamboostep.RequestID
	target  string            // service, adapter or model
	offer   *bamboostep.Offer // nil once the attempt has ended
	state   chart.State
	arrival uint64
	held    bool   // waits for its adapter to be loaded
	conn    uint64 // connection that carries the answer; 0 while there is none
	lostAt  int64  // when the last connection ended
	endedAt int64
	out     output
	failure bamboostep.Failure // when refused, cancelled, or ended without a whole answer
	failed  bool
	orphan  bool // nobody will read the answer
}

// outcome says whether r ran, for an attempt that has started.
func (r *record) outcome() bamboostep.Outcome {
	if r.failed {
		return r.failure.Outcome
	}
	if r.out.end > 0 || r.state == stateEnded {
		return bamboostep.Ran
	}
	return bamboostep.Unknown
}

func (r *record) answers() []action {
	acts := make([]action, 0, len(r.out.pieces))
	for _, a := range r.out.pieces {
		acts = append(acts, action{kind: actionAnswer, conn: r.conn, answer: a, attempt: a.Attempt})
	}
	return acts
}

func refusal(conn uint64, offer bamboostep.Offer, code string) action {
	a := failureAction(conn, notRun(offer.Attempt, code))
	a.request = offer.Request.ID
	a.target = target(offer.Request)
	return a
}

// failureAction returns the action that tells the entry how r ended.
func (r *record) failureAction() action {
	a := failureAction(r.conn, r.failure)
	a.request = r.request
	a.target = r.target
	return a
}

func notRun(id bamboostep.AttemptID, code string) bamboostep.Failure {
	return bamboostep.Failure{Attempt: id, Outcome: bamboostep.NotRun, Code: code, Message: "the attempt was not started: " + code}
}

func failureAction(conn uint64, f bamboostep.Failure) action {
	return action{kind: actionFailure, conn: conn, failure: f, attempt: f.Attempt}
}

func forgotten(id bamboostep.AttemptID) bamboostep.Failure {
	return bamboostep.Failure{Attempt: id, Outcome: bamboostep.Unknown, Code: codeForgotten, Message: "the attempt is no longer known"}
}
