package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/internal/timer"
	"github.com/bamboostep/bamboostep/quota"
)

// Permits for backend servers that name a limit on the requests that they take from all
// entries together.
//
// A request takes a permit before each attempt, also before one that repeats, resumes or
// continues an earlier one. It first asks without waiting, since another backend server may
// serve it at once. Only if the limited one is still the best choice does it wait in line, and
// only if the line is short enough; otherwise the next backend server is tried.

// limitSearch is what one search for a backend server has learned about limits.
type limitSearch struct {
	asked        []string      // addresses of which a permit was asked for without waiting
	full         []string      // addresses whose line is too long for this request
	shortestWait time.Duration // in the lines that are too long; 0 for none
}

// exclude records a line that is too long.
func (s *limitSearch) exclude(address string, wait time.Duration) {
	s.full = append(s.full, address)
	if s.shortestWait == 0 || wait < s.shortestWait {
		s.shortestWait = wait
	}
}

// reason returns why no backend server was found: limits, if some would have served the
// request but for these, else the reason of the last choice.
func (s *limitSearch) reason(err *fleet.NoServerError) fleet.Reason {
	if err.Reason == fleet.ReasonLimited && s.shortestWait == 0 {
		s.shortestWait = err.EstimatedWait
	}
	if s.shortestWait > 0 {
		return fleet.ReasonLimited
	}
	return err.Reason
}

// serverID returns the ID of the backend server of run, as package quota knows it.
func serverID(run *fleet.Assignment) quota.ServerID {
	return quota.ServerID{Instance: run.Instance, StartedMS: run.StartedMS}
}

// arrivals returns how many requests reach the backend server if run is carried out: the
// request itself, and the order that loads its adapter.
func arrivals(run *fleet.Assignment) float64 {
	if run.AdapterReady {
		return 1
	}
	return 2
}

// takePermit takes a permit for an attempt at run, and waits until it is due. If it returns
// false, run has ended: its backend server cannot take the request soon, or ctx has ended.
func (x *exchange) takePermit(ctx context.Context, run *fleet.Assignment, s *limitSearch) bool {
	maxWait := time.Duration(0)
	if run.LimitWait > 0 || slices.Contains(s.asked, run.Address) {
		maxWait = x.maxPermitWait()
	}
	s.asked = append(s.asked, run.Address)
	if run.LimitWait > maxWait {
		s.exclude(run.Address, run.LimitWait)
		run.End(fleet.EndedCanceled, time.Now())
		return false
	}
	p := x.g.ServerLimits.Take(ctx, serverID(run), arrivals(run), maxWait)
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		x.g.ServerLimits.Refund(p)
		run.End(fleet.EndedCanceled, now)
		return false
	case !p.Granted:
		if maxWait > 0 {
			s.exclude(run.Address, p.Wait)
		}
		run.Defer(p.Wait, now)
		return false
	}
	return x.awaitPermit(ctx, run, p)
}

// maxPermitWait returns how long a request waits in line for a permit. It leaves part of the
// time until the deadline for the run itself.
func (x *exchange) maxPermitWait() time.Duration {
	return min(modelLoadWait, time.Until(x.deadline)/2)
}

// awaitPermit waits until a permit is due. It returns false and ends run if ctx ended first,
// or if the permit has expired meanwhile.
func (x *exchange) awaitPermit(ctx context.Context, run *fleet.Assignment, p quota.Permit) bool {
	if wait := time.Until(p.Due); wait > 0 {
		x.recordEvent("permit_awaited", run.Address, formatMilliseconds(wait))
		timer.Sleep(ctx, wait)
	}
	if ctx.Err() != nil {
		x.g.ServerLimits.Refund(p)
		run.End(fleet.EndedCanceled, time.Now())
		return false
	}
	if p.Expired(time.Now()) {
		run.End(fleet.EndedCanceled, time.Now())
		return false
	}
	run.Permitted()
	x.permit, x.permitUsed = p, false
	return true
}

// refundUnusedPermit gives back the permit of an attempt that was not sent.
func (x *exchange) refundUnusedPermit() {
	if !x.permitUsed {
		x.g.ServerLimits.Refund(x.permit)
	}
	x.permit, x.permitUsed = quota.Permit{}, false
}
