package operator

import (
	"time"

	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/ledger"
)

const (
	pathPrefix    = "/operator/v1/"
	pathSet       = pathPrefix + "set"
	pathPublish   = pathPrefix + "publish"
	pathStatus    = pathPrefix + "status"
	pathDrain     = pathPrefix + "drain"
	pathRevisions = pathPrefix + "revisions"
	pathTimeline  = pathPrefix + "timeline"
	pathVoters    = pathPrefix + "voters"

	maxBodyBytes = 6 << 20 // a publish must fit one frame between voters

	codeBadRequest   = "bad_request"
	codeUnauthorized = "unauthorized"
	codeNotFound     = "not_found"
	codeConflict     = "conflict"
	codeInvalid      = "invalid"
	codeUnavailable  = "unavailable"
	codeInternal     = "internal"
	codeMembership   = "membership_refused"
)

type publishBody struct {
	ID      string          `json:"id"`
	Based   uint64          `json:"based"`
	Author  string          `json:"author"`
	Objects catalog.Objects `json:"objects"`
}

type setBody struct {
	Revision uint64          `json:"revision"`
	Objects  catalog.Objects `json:"objects"`
}

type drainBody struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
}

type voterBody struct {
	Add   bool          `json:"add"` // or remove
	Voter ledger.Member `json:"voter"`
}

type doneBody struct{}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code     string            `json:"code"`
	Message  string            `json:"message"`
	Known    bool              `json:"known,omitempty"`    // unavailable: certainly not done
	Problems []catalog.Problem `json:"problems,omitempty"` // invalid
	Conflict *ConflictError    `json:"conflict,omitempty"` // conflict
}

// conflictWait bounds the wait for a set that this entry has only heard of.
const (
	conflictWait = time.Second
	conflictPoll = 10 * time.Millisecond
)
