package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/origin"
	"github.com/bamboostep/bamboostep/route"
)

var (
	errRetryBudgetEmpty = errors.New("retry budget exhausted")
	errTooLate          = errors.New("would not finish before the process exits")
)

const (
	maxUnreachable      = 4                       // failed connections or adapter loads per request
	maxRefusals         = 4                       // rejections by backend servers per request, beyond the attempts of its route
	serverPollInterval  = 50 * time.Millisecond   // if no fleet change wakes the request earlier
	modelLoadWait       = 2500 * time.Millisecond // for a model that no backend server has loaded yet
	serverDiscoveryWait = 600 * time.Millisecond  // for a first backend server to become known
	adapterTimeout      = 800 * time.Millisecond  // for loading an adapter before an attempt
)

const (
	reasonStopping  = "stopping"   // the request would not finish before the process exits
	reasonQueueFull = "queue_full" // requests that are worth more wait
)

// attemptResult says whether an attempt has finished its request.
type attemptResult int

const (
	attemptFinal     attemptResult = iota // the caller has its response or has disconnected
	attemptRetryable                      // no response was completed; mayRetry decides
)

// runAttempts makes attempts until the caller has a response or no further one is allowed.
func (x *exchange) runAttempts(ctx context.Context) {
	for ctx.Err() == nil {
		x.delaySuspect(ctx)
		run, ok := x.chooseServer(ctx)
		if !ok {
			return
		}
		result := x.attempt(ctx, run)
		x.refundUnusedPermit()
		if result == attemptFinal {
			return
		}
		if !x.mayRetry() {
			return
		}
	}
	x.handleTimeout()
}

// mayRetry reports whether another attempt is allowed. If not, it ends the request.
func (x *exchange) mayRetry() bool {
	switch {
	case x.pendingMove != nil:
		return true // continues the same run, which is not a retry
	case x.r.Context().Err() != nil:
		return false
	case !x.recheckQuarantine():
		return x.giveUp(reasonCrashes)
	case !x.provablyNotRun && !x.route.Repeatable():
		return x.giveUp("may_have_run")
	case x.possibleRuns >= x.route.Attempts:
		return x.giveUp("attempts_used")
	case x.unsentAttempts >= maxUnreachable || x.sentAttempts >= x.route.Attempts+maxRefusals:
		return x.giveUp("too_many_failures")
	case x.sentAttempts > x.chargedAttempts && !x.g.RetryBudget(x.service.Name).TakeRetry(time.Now()):
		return x.giveUp("retry_budget_empty")
	}
	x.chargedAttempts = x.sentAttempts
	return true
}

// chooseServer selects a backend server, and waits for up to maxServerWait if none is
// available yet. If there is still none, it ends the request and returns false.
func (x *exchange) chooseServer(ctx context.Context) (*fleet.Assignment, bool) {
	if x.pendingMove != nil {
		return x.pendingMove.target, true
	}
	if x.resumesUnknown() {
		return nil, x.giveUp(reasonVersionUnknown)
	}
	began := time.Now()
	absenceNoted := false
	var limits limitSearch
	for {
		if x.tooLateToRun(0) {
			return nil, x.giveUp(reasonStopping)
		}
		changed := x.g.Fleet.Changed()
		run, err := x.chooseInTurn(ctx, func(now time.Time) fleet.Requirements {
			criteria := x.serverCriteria(now)
			criteria.Version = x.requiredVersion()
			criteria.Exclude = slices.Concat(criteria.Exclude, limits.full)
			return criteria
		})
		if err == nil {
			if x.takePermit(ctx, run, &limits) {
				return run, true
			}
			if ctx.Err() != nil {
				x.handleTimeout()
				return nil, false
			}
			continue
		}
		var noServer *fleet.NoServerError
		if !errors.As(err, &noServer) {
			return nil, x.endHeld(ctx, err)
		}
		if x.retryFailedServers(noServer) {
			continue
		}
		reason := limits.reason(noServer)
		if !absenceNoted && x.call.Model != "" && (reason == fleet.ReasonNoModel || reason == fleet.ReasonLimited) {
			absenceNoted = true
			x.countMissing()
		}
		if time.Since(began) >= x.maxServerWait(reason) {
			x.limitWait = limits.shortestWait
			x.noRoom = noServer
			return nil, x.giveUp(string(reason))
		}
		if !waitForFleetChange(ctx, changed) {
			x.handleTimeout()
			return nil, false
		}
	}
}

// endHeld ends a request that has waited in vain, for err. It returns false.
func (x *exchange) endHeld(ctx context.Context, err error) bool {
	switch {
	case ctx.Err() != nil:
		x.handleTimeout()
		return false
	case errors.Is(err, errTooLate):
		return x.giveUp(reasonStopping)
	}
	return x.giveUp(reasonQueueFull)
}

// maxServerWait returns how long a request waits for a backend server that is
// missing for reason r. It leaves part of the time until the deadline for the run itself.
func (x *exchange) maxServerWait(r fleet.Reason) time.Duration {
	left := time.Until(x.deadline)
	switch r {
	case fleet.ReasonNoModel:
		return min(modelLoadWait, left/2)
	case fleet.ReasonNoServer:
		return min(serverDiscoveryWait, left/4)
	case fleet.ReasonLimited:
		if x.call.Model != "" {
			return min(modelLoadWait, left/2) // another backend server may load the model
		}
	}
	return 0
}

// waitForFleetChange waits for a fleet change, for at most serverPollInterval. It returns
// false if ctx ended first.
func waitForFleetChange(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(serverPollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}

// serverCriteria returns what a backend server must offer to the next attempt.
func (x *exchange) serverCriteria(now time.Time) fleet.Requirements {
	w := fleet.Requirements{Service: x.service.Name, Exclude: x.failedAddresses, BodyBytes: len(x.call.Body), Randomize: x.quarantineVerdict.Isolated}
	if x.service.Engine == nil {
		return w
	}
	w.ModelName = x.modelName()
	w.Prompt = x.prompt
	w.PromptTokens = x.call.PromptTokens
	w.MaxAnswerTokens = x.call.MaxAnswerTokens
	w.DefaultSlots = x.service.Engine.Slots
	w.MaxWait = x.deadline.Sub(now)
	w.Promise = x.promise(now)
	w.Priority = x.priority()
	return w
}

// promise returns what the route still promises to the request at now. Once a stream has begun, or its target
// has passed, only the pauses count.
func (x *exchange) promise(now time.Time) fleet.Promise {
	p := fleet.Promise{EventGap: x.route.EventGapTarget}
	if x.route.LatencyTarget > 0 && !x.stream.hasStarted() {
		p.FirstEvent = max(0, x.arrived.Add(x.route.LatencyTarget).Sub(now))
	}
	return p
}

// attempt sends the request to the backend server of run and forwards its response.
func (x *exchange) attempt(ctx context.Context, run *fleet.Assignment) attemptResult {
	x.serverRun = run
	cache := x.takePendingMove()
	if cache.Handle == "" && !run.AdapterReady && !x.loadAdapter(ctx, run) {
		return attemptRetryable
	}
	left := time.Until(x.deadline)
	if left < route.MinAttemptTime {
		run.End(fleet.EndedCanceled, time.Now())
		x.handleTimeout()
		return attemptFinal
	}
	if x.tooLateToRun(run.EstimatedWait) {
		run.End(fleet.EndedCanceled, time.Now())
		x.giveUp(reasonStopping)
		return attemptFinal
	}
	x.sentAttempts++
	x.permitUsed = true
	x.recordResumption(run)
	sent := time.Now()
	if x.call.Model == "" {
		ended := x.g.runTimes.begin(x.service.Name, sent)
		defer func() { ended(time.Now()) }()
	}
	resp, err := x.g.Pool.Do(ctx, run.Address, x.call, bamboostep.ForwardOptions{
		TimeLeft:         left,
		Instance:         run.Instance,
		Priority:         x.priority(),
		RemoveKeyHeaders: x.table.RequiresKeys(),
		Workspace:        x.workspaceName(),
		ResumeAfter:      x.resumeEventID(),
		MovedCache:       cache,
	})
	if err != nil {
		return x.handleSendError(run, err)
	}
	defer resp.Close()
	x.recordServerState(run, resp.Mark, sent)
	x.g.Metrics.observeAttempt(x.route.Kind, resp.Status, time.Since(sent))
	if resp.Mark.NotRun {
		return x.handleNotRun(run, resp)
	}
	x.provablyNotRun = false
	x.possibleRuns++
	x.framing = resp.Framing
	defer x.g.waiting.room() // once the run has ended
	return x.deliverResponse(ctx, run, resp)
}

// recordServerState applies the state that a backend server reports in the head of a
// response to a request that was sent at sentAt.
func (x *exchange) recordServerState(run *fleet.Assignment, m bamboostep.AnswerInfo, sentAt time.Time) {
	now := time.Now()
	x.g.ServerLimits.Observe(serverID(run), run.Address, m.Limit, sentAt, now)
	if run.ObserveHeader(m, now) {
		x.recordEvent("server_leaving", run.Address, "announced in its response")
	}
	if m.RetryAfter > 0 {
		x.recordEvent("server_rests", run.Address, "for "+formatMilliseconds(m.RetryAfter))
	}
}

// takePendingMove returns the KV cache that the attempt continues from, or the zero
// value, and clears the pending move.
func (x *exchange) takePendingMove() bamboostep.MovedCache {
	if x.pendingMove == nil {
		return bamboostep.MovedCache{}
	}
	cache := x.pendingMove.cache
	x.pendingMove = nil
	return cache
}

// loadAdapter loads the adapter on the selected backend server and reports whether that
// succeeded. A failure ends run.
func (x *exchange) loadAdapter(ctx context.Context, run *fleet.Assignment) bool {
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	err := x.g.Adapters.LoadAdapter(ctx, run.Address, x.modelName())
	if err == nil {
		return true
	}
	x.recordEvent("adapter_not_loaded", run.Address, err.Error())
	run.End(fleet.EndedMisdirected, time.Now())
	x.failedAddresses = append(x.failedAddresses, run.Address)
	x.unsentAttempts++
	return false
}

// handleSendError handles an attempt that got no response.
func (x *exchange) handleSendError(run *fleet.Assignment, err error) attemptResult {
	now := time.Now()
	if x.r.Context().Err() != nil {
		run.End(fleet.EndedCanceled, now)
		x.recordCallerLeft(run.Address)
		return attemptFinal
	}
	var sendErr *origin.SendError
	if errors.As(err, &sendErr) && !sendErr.Sent {
		x.sentAttempts--
		x.permitUsed = false
		x.unsentAttempts++
		x.failedAddresses = append(x.failedAddresses, run.Address)
		run.End(fleet.EndedUnreachable, now)
		x.recordEvent("attempt_unsent", run.Address, err.Error())
		return attemptRetryable
	}
	x.provablyNotRun = false
	x.possibleRuns++
	x.failedAddresses = append(x.failedAddresses, run.Address)
	x.recordEvent("attempt_unanswered", run.Address, err.Error()+x.promptSummary())
	if !now.Before(x.deadline) {
		run.End(fleet.EndedCanceled, now)
		x.handleTimeout()
		return attemptFinal
	}
	run.End(fleet.EndedFailed, now)
	x.reportBroken(run)
	return attemptRetryable
}

// handleNotRun handles a response that says that the request did not run.
func (x *exchange) handleNotRun(run *fleet.Assignment, resp *origin.Response) attemptResult {
	now := time.Now()
	discardBody(resp)
	if resp.Mark.Misdirected {
		run.ReportMissing(x.modelName(), now)
		run.End(fleet.EndedMisdirected, now)
	} else {
		run.End(fleet.EndedOverloaded, now)
	}
	x.failedAddresses = append(x.failedAddresses, run.Address)
	x.recordEvent("attempt_not_run", run.Address, http.StatusText(resp.Status))
	return attemptRetryable
}

// deliverResponse forwards a response to the caller, or rejects it if it is invalid.
func (x *exchange) deliverResponse(ctx context.Context, run *fleet.Assignment, resp *origin.Response) attemptResult {
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if success && !resp.Mark.Signed {
		discardBody(resp)
		return x.rejectResponse(run, "response has no signature")
	}
	if err := x.checkContinuation(resp); err != nil {
		discardBody(resp)
		return x.rejectResponse(run, err.Error())
	}
	if success && x.route.Kind == route.Streaming {
		return x.deliverStream(ctx, run, resp)
	}
	return x.deliverBuffered(ctx, run, resp, success)
}

// rejectResponse records a response that cannot be forwarded and ends run as failed.
func (x *exchange) rejectResponse(run *fleet.Assignment, detail string) attemptResult {
	x.failedAddresses = append(x.failedAddresses, run.Address)
	run.End(fleet.EndedFailed, time.Now())
	x.recordEvent("answer_spoilt", run.Address, detail+x.promptSummary())
	return attemptRetryable
}
