package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/internal/timer"
	"github.com/bamboostep/bamboostep/quarantine"
)

// Requests that are suspected of crashing backend servers. Package quarantine decides
// which ones are rejected. The others run apart from each other: the requests that were
// running at the same crash are all retried at the same moment, on the same few backend
// servers, so each one is delayed by a random time.

// reasonCrashes is the failure reason of a request that crashes backend servers.
const reasonCrashes = "crashes_backend_servers"

// maxSuspectDelay is the upper bound of the random delay of a suspect.
const maxSuspectDelay = 400 * time.Millisecond

// admitByQuarantine looks the request up in the quarantine, and returns false if it is
// rejected.
func (x *exchange) admitByQuarantine() bool {
	x.quarantineVerdict = x.g.Quarantine.Admit(x.r.Context(), time.Now(), x.content)
	return !x.quarantineVerdict.Refused
}

// recheckQuarantine repeats the lookup for a request that was admitted before.
func (x *exchange) recheckQuarantine() bool {
	x.quarantineVerdict = x.g.Quarantine.Evaluate(time.Now(), x.content)
	return !x.quarantineVerdict.Refused
}

// delaySuspect delays a suspect by a random time.
func (x *exchange) delaySuspect(ctx context.Context) {
	if !x.quarantineVerdict.Isolated {
		return
	}
	longest := min(maxSuspectDelay, time.Until(x.deadline)/4)
	if longest <= 0 {
		return
	}
	timer.Sleep(ctx, rand.N(longest))
}

// reportBroken tells the quarantine of a response that ended before it was complete, though
// neither the caller nor this entry ended it. It waits for a moment until it is known
// whether the backend server has crashed.
func (x *exchange) reportBroken(run *fleet.Assignment) {
	if run.Leaving() {
		return // a shutdown, not a crash
	}
	x.g.Quarantine.ReportInterrupted(x.r.Context(), run.Address, x.content, x.stream.position())
}

// reportPassed tells the quarantine of a response that is complete, or that got further
// than it was when backend servers crashed.
func (x *exchange) reportPassed() {
	x.g.Quarantine.Clear(time.Now(), x.content.Fingerprint)
	x.quarantineVerdict = quarantine.Verdict{}
}

// reportAnswered tells the quarantine of a complete response with a status of success.
func (x *exchange) reportAnswered() {
	x.reportPassed()
	x.g.Quarantine.ClearParts(time.Now(), x.content.Parts)
}

// refuseCrashing rejects a request that crashes backend servers, and names the part of its prompt
// that does, if it is one.
func (x *exchange) refuseCrashing() {
	v := x.quarantineVerdict
	detail := ""
	if v.Part != 0 {
		detail = "for prompt part " + x.call.PartID(v.Part) + ", content " + quarantine.FormatFingerprint(v.Part) + ", at " + strconv.Itoa(v.Crashes) + " crashes"
	}
	x.refuseWithDetail(reasonCrashes, detail, v.RetryAfter)
}
