package gateway

import (
	"fmt"

	"github.com/bamboostep/bamboostep/fleet"
)

// recordResumption records that run goes on with a stream that began at another backend server, in the
// same answer or in that of an earlier request of the caller.
func (x *exchange) recordResumption(run *fleet.Assignment) {
	after := x.resumeEventID()
	if after == "" {
		return
	}
	began := x.beginVersion
	if began == "" {
		began = "unknown"
	}
	x.recordEvent("stream_resumed", run.Address, fmt.Sprintf("after event %s, begun by request %q at software version %s, goes on at %s", after, x.call.Resumes, began, run.Version))
}
