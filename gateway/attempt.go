package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/origin"
	"github.com/bamboostep/bamboostep/route"
)

var errBudget = errors.New("retry budget is empty")

const (
	maxUnsent      = 4                       // backend servers that could not be reached, for one request
	maxRefusals    = 4                       // backend servers that refused one request
	waitStep       = 50 * time.Millisecond   // between looks for a backend server, if nothing wakes the request
	loadWait       = 2500 * time.Millisecond // for a model that no backend server holds yet
	serverWait     = 600 * time.Millisecond  // for a backend server to be known
	adapterTimeout = 800 * time.Millisecond
	leastTime      = 20 * time.Millisecond // left, below which nothing is sent
)

// result is what an attempt means for the request.
type result int

const (
	resultDone  result = iota // the caller has its answer, or has left
	resultAgain               // another attempt may follow
)

// attempts makes attempts until one has answered the caller.
func (x *exchange) attempts(ctx context.Context) {
	for ctx.Err() == nil {
		x.keepApart(ctx)
		run, ok := x.choose(ctx)
		if !ok {
			return
		}
		if x.attempt(ctx, run) == resultDone {
			return
		}
		if !x.mayRepeat() {
			return
		}
	}
	x.timeOut()
}

// mayRepeat reports whether another attempt is allowed. If not, it answers.
func (x *exchange) mayRepeat() bool {
	switch {
	case x.moved != nil:
		return true // the same run goes on
	case x.r.Context().Err() != nil:
		return false
	case !x.judge():
		return x.giveUp(reasonCrashes)
	case !x.promised && !x.route.Repeatable():
		return x.giveUp("may_have_run")
	case x.mayRun >= x.route.Attempts:
		return x.giveUp("attempts_used")
	case x.unsent >= maxUnsent || x.sends >= x.route.Attempts+maxRefusals:
		return x.giveUp("too_many_failures")
	case x.sends > x.paid && !x.g.Budget(x.service.Name).Retry(time.Now()):
		return x.giveUp("retry_budget_empty")
	}
	x.paid = x.sends
	return true
}

// choose finds a backend server, waiting for a while if there may soon be one. It
// answers and returns false if there is none.
func (x *exchange) choose(ctx context.Context) (*fleet.Run, bool) {
	if x.moved != nil {
		return x.moved.to, true
	}
	began := time.Now()
	late := false
	for {
		changed := x.g.Fleet.Changed()
		now := time.Now()
		run, err := x.g.Fleet.Choose(now, x.want(now))
		if err == nil {
			return run, true
		}
		var none *fleet.NoServerError
		if !errors.As(err, &none) {
			return nil, x.giveUp("no_backend_server")
		}
		if !late && none.Reason == fleet.ReasonNoModel {
			late = true
			x.g.Fleet.NoteAbsent(x.name())
		}
		if now.Sub(began) >= x.patience(none.Reason) {
			return nil, x.giveUp(string(none.Reason))
		}
		if !pause(ctx, changed) {
			x.timeOut()
			return nil, false
		}
	}
}

// patience is how long a request waits for a backend server to turn up.
func (x *exchange) patience(r fleet.Reason) time.Duration {
	left := time.Until(x.deadline)
	switch r {
	case fleet.ReasonNoModel:
		return min(loadWait, left/2)
	case fleet.ReasonNoServer:
		return min(serverWait, left/4)
	}
	return 0
}

func pause(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(waitStep)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}

func (x *exchange) want(now time.Time) fleet.Want {
	w := fleet.Want{Service: x.service.Name, Avoid: x.tried, Bytes: len(x.call.Body), Apart: x.verdict.Apart}
	if x.service.Engine == nil {
		return w
	}
	w.Name = x.name()
	w.Prompt = x.call.Prompt
	w.Tokens = x.call.PromptTokens
	w.Answer = x.call.AnswerTokens
	w.Slots = x.service.Engine.Slots
	w.Longest = x.deadline.Sub(now)
	return w
}

// attempt sends the request to one backend server.
func (x *exchange) attempt(ctx context.Context, run *fleet.Run) result {
	x.run = run
	cache := x.takeMoved()
	if cache.Handle == "" && !run.Adapter && !x.loadAdapter(ctx, run) {
		return resultAgain
	}
	left := time.Until(x.deadline)
	if left < leastTime {
		run.End(fleet.EndedByUs, time.Now())
		x.timeOut()
		return resultDone
	}
	x.sends++
	sent := time.Now()
	a, err := x.g.Pool.Do(ctx, run.Address, x.call, bamboostep.Passing{
		Within:      left,
		Instance:    run.Instance,
		Rank:        x.rank(),
		Keyed:       x.table.Keyed(),
		Workspace:   x.workspaceName(),
		ResumeAfter: x.resumeAfter(),
		Cache:       cache,
	})
	if err != nil {
		return x.unanswered(run, err)
	}
	defer a.Close()
	x.noteMark(run, a.Mark)
	x.g.Metrics.answered(x.route.Kind, a.Status, time.Since(sent))
	if a.Mark.NotRun {
		return x.notRun(run, a)
	}
	x.promised = false
	x.mayRun++
	return x.deliver(ctx, run, a)
}

// noteMark takes what the head of an answer says of its backend server.
func (x *exchange) noteMark(run *fleet.Run, m bamboostep.AnswerMark) {
	if run.Answered(m, time.Now()) {
		x.record("server_leaving", run.Address, "by its own answer")
	}
	if m.Rest > 0 {
		x.record("server_rests", run.Address, "for "+milliseconds(m.Rest))
	}
}

// takeMoved returns the KV cache from which the attempt goes on, if there is one.
func (x *exchange) takeMoved() bamboostep.MovedCache {
	if x.moved == nil {
		return bamboostep.MovedCache{}
	}
	cache := x.moved.cache
	x.moved = nil
	return cache
}

// loadAdapter has the adapter loaded at the chosen backend server.
func (x *exchange) loadAdapter(ctx context.Context, run *fleet.Run) bool {
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	err := x.g.Adapters.LoadAdapter(ctx, run.Address, x.name())
	if err == nil {
		return true
	}
	x.record("adapter_not_loaded", run.Address, err.Error())
	run.End(fleet.EndedAbsent, time.Now())
	x.tried = append(x.tried, run.Address)
	x.unsent++
	return false
}

// unanswered takes the failure of an attempt that got no answer.
func (x *exchange) unanswered(run *fleet.Run, err error) result {
	now := time.Now()
	if x.r.Context().Err() != nil {
		run.End(fleet.EndedByUs, now)
		x.left(run.Address)
		return resultDone
	}
	var failed *origin.SendError
	if errors.As(err, &failed) && !failed.Sent {
		x.sends--
		x.unsent++
		x.tried = append(x.tried, run.Address)
		run.End(fleet.EndedUnsent, now)
		x.record("attempt_unsent", run.Address, err.Error())
		return resultAgain
	}
	x.promised = false
	x.mayRun++
	x.tried = append(x.tried, run.Address)
	x.record("attempt_unanswered", run.Address, err.Error())
	if !now.Before(x.deadline) {
		run.End(fleet.EndedByUs, now)
		x.timeOut()
		return resultDone
	}
	run.End(fleet.EndedFailed, now)
	x.brokeOff(run)
	return resultAgain
}

// notRun takes an answer that says that the request did not run.
func (x *exchange) notRun(run *fleet.Run, a *origin.Answer) result {
	now := time.Now()
	drain(a)
	if a.Mark.Misdirected {
		run.Absent(x.name(), now)
		run.End(fleet.EndedAbsent, now)
	} else {
		run.End(fleet.EndedFull, now)
	}
	x.tried = append(x.tried, run.Address)
	x.record("attempt_not_run", run.Address, http.StatusText(a.Status))
	return resultAgain
}

// deliver passes an answer on.
func (x *exchange) deliver(ctx context.Context, run *fleet.Run, a *origin.Answer) result {
	good := a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	switch {
	case good && !a.Mark.Signed:
		drain(a)
		return x.spoilt(run, "answer bears no signature")
	case good && x.route.Kind == route.Streaming:
		return x.deliverStream(ctx, run, a)
	case x.stream.begun():
		drain(a)
		return x.spoilt(run, "status "+strconv.Itoa(a.Status)+" in the midst of a stream")
	}
	return x.deliverWhole(ctx, run, a, good)
}

// spoilt takes an answer that cannot be passed on.
func (x *exchange) spoilt(run *fleet.Run, detail string) result {
	x.tried = append(x.tried, run.Address)
	run.End(fleet.EndedFailed, time.Now())
	x.record("answer_spoilt", run.Address, detail)
	return resultAgain
}
