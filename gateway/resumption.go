package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/release"
	"github.com/bamboostep/bamboostep/route"
)

// A stream goes on only at the software version of the service at which it began, within one answer and over a
// caller's requests. Once the caller has an event, each further attempt is bound to that version. A
// request that takes up a stream of an earlier one is bound from the start, to what package release knows of
// the request that it names. If nothing is known, the stream goes on only where it cannot have begun at another version: its route
// has had one service, and that one version, since before the stream broke off. Else, or if the version serves no more, the
// request is refused at once, not run.

// Reasons for refusing a stream that goes on.
const (
	reasonVersionUnknown   = "stream_version_unknown"
	reasonServiceNotRouted = "stream_service_not_routed"
)

const (
	unlimitedKeep = time.Minute     // for which the origin of a stream is kept if its caller names no deadline
	keepMargin    = 2 * time.Second // beyond the deadline
	breakMargin   = 2 * time.Second // for the lag of the list of backend servers
)

var errVersionUnknown = errors.New("the software version of the engine is unknown")

// takesUp reports whether the request takes up a stream that an earlier request began.
func (x *exchange) takesUp() bool {
	return x.route.Kind == route.Streaming && x.route.Resumable && x.call.ResumeAfter != ""
}

// findOrigin finds where the stream began that the request takes up. If it takes up none, there is nothing to
// find. If the stream cannot go on for what is known, findOrigin writes the response and returns false.
func (x *exchange) findOrigin() bool {
	if !x.takesUp() {
		return true
	}
	o, known := x.g.Releases.Find(x.r.Context(), x.call.Resumes)
	if !known {
		o, known = x.onlyOrigin()
	}
	if !known {
		return x.refuseWithDetail(reasonVersionUnknown, fmt.Sprintf("begun by request %q", x.call.Resumes), retryAfterShort)
	}
	if !x.route.HasService(o.Service) {
		return x.refuseWithDetail(reasonServiceNotRouted, "begun at service "+o.Service, retryAfterBusy)
	}
	x.origin = o
	return true
}

// onlyOrigin returns the only origin that the stream that the request takes up can have, for all that this entry has seen since the
// stream broke off.
func (x *exchange) onlyOrigin() (release.Origin, bool) {
	since := x.arrived.Add(-x.longestBreak())
	service := x.table.SoleServiceSince(x.route, since)
	if service == "" {
		return release.Origin{}, false
	}
	version, sole := x.g.Fleet.SoleVersion(service, since)
	if !sole {
		return release.Origin{}, false
	}
	x.recordEvent("stream_origin_inferred", "", fmt.Sprintf("begun by request %q, service %s and software version %s alone for %s or longer", x.call.Resumes, service, version, formatMilliseconds(x.longestBreak())))
	return release.Origin{Service: service, Version: version}, true
}

// longestBreak returns how long ago the stream may have broken off that the request takes up: its caller has used up that much of
// the time that the route allows.
func (x *exchange) longestBreak() time.Duration {
	return max(0, x.route.Timeout-x.call.TimeLimit) + breakMargin
}

// selectService returns the service of the stream that the request takes up, else one of its route at random.
func (x *exchange) selectService() *route.Service {
	name := x.origin.Service
	if name == "" {
		name = x.route.SelectService(rand.Uint64())
	}
	return x.table.Service(name)
}

// noteOrigin binds the stream to the service and the software version of run, unless it is bound already. Call it before
// each event is forwarded.
func (x *exchange) noteOrigin(run *fleet.Assignment) {
	if x.stream.events > 0 {
		return
	}
	if x.origin.Service == "" {
		x.origin = release.Origin{Service: x.service.Name, Version: run.ListedVersion()}
	}
	if !x.route.Resumable {
		return // its caller cannot take it up
	}
	keep := unlimitedKeep
	if x.call.TimeLimit > 0 {
		keep = x.call.TimeLimit + keepMargin
	}
	x.g.Releases.Note(x.call.ID, x.origin, keep)
	if x.takesUp() {
		x.g.Releases.Note(x.call.Resumes, x.origin, keep)
	}
}

// requiredVersion returns the software version that the next attempt needs, or "" if the stream has not begun.
func (x *exchange) requiredVersion() string {
	if x.resumeEventID() == "" {
		return ""
	}
	return x.origin.Version
}

// resumesUnknown reports whether the next attempt would go on with a stream of unknown software version.
func (x *exchange) resumesUnknown() bool {
	return x.resumeEventID() != "" && x.origin.Version == ""
}

// retryFailedServers allows backend servers again that have failed the request, once, if no other has the
// required software version. It returns false if that changes nothing.
func (x *exchange) retryFailedServers(err *fleet.NoServerError) bool {
	if x.retriedFailed || x.requiredVersion() == "" || len(x.failedAddresses) == 0 || err.Reason == fleet.ReasonNoVersion {
		return false
	}
	x.retriedFailed = true
	x.failedAddresses = nil
	return true
}

// countMissing tells the voters that no backend server holds the model, or none of the software version that the
// stream needs.
func (x *exchange) countMissing() {
	if version := x.requiredVersion(); version != "" {
		x.g.Fleet.CountMissingAtVersion(fleet.VersionNeed{Service: x.service.Name, Model: x.call.Model, Version: version})
		return
	}
	x.g.Fleet.CountMissing(x.modelName())
}

// versionDetail formats what the next attempt would have needed, for the event log.
func (x *exchange) versionDetail() string {
	if x.resumeEventID() == "" || !x.route.Resumable {
		return ""
	}
	return fmt.Sprintf("needs service %s at software version %s", x.origin.Service, x.origin.Version)
}

// recordResumption records that run goes on with a stream that began at another backend server, in the
// same answer or in that of an earlier request of the caller.
func (x *exchange) recordResumption(run *fleet.Assignment) {
	after := x.resumeEventID()
	if after == "" {
		return
	}
	x.recordEvent("stream_resumed", run.Address, fmt.Sprintf("after event %s, begun by request %q at software version %s, goes on at %s", after, x.call.Resumes, x.origin.Version, run.ListedVersion()))
}
