package fleet

import (
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/pace"
)

// Messages between entries, voters and holders.

// Message kinds.
const (
	KindSubscribe  = "fleet.subscribe" // entry or voter to holder: subscribes to its reports; answered by Report
	KindReport     = "fleet.report"    // holder to subscriber: Report; no answer
	KindLoad       = "fleet.load"      // holder to subscriber: LoadUpdate; no answer
	KindAdapter    = "fleet.adapter"   // entry to holder: AdapterRef, answered by OrderReply once the adapter is usable
	KindAdapterUse = "fleet.used"      // entry to holder: AdapterUse; no answer
	KindPrefixes   = "fleet.kept"      // entry to holder, and holder to subscriber: PrefixUpdate; no answer
	KindSent       = "fleet.sent"      // entry to holder, and holder to subscriber: SentUpdate; no answer
	KindPace       = "fleet.pace"      // holder to subscriber: PaceUpdate; no answer
	KindFirst      = "fleet.first"     // entry to holder: FirstEventUpdate; no answer
	KindOrder      = "fleet.order"     // leader to holder: OrderCall, answered by OrderReply
	KindList       = "fleet.list"      // entry to voter: ListCall, answered by ListReply
	KindDemand     = "fleet.demand"    // entry to voter: DemandUpdate; no answer
)

// LoadUpdate replaces the load in a holder's last Report while the rest is unchanged.
type LoadUpdate struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Waiting    int // queued requests
	Running    int
	Prefilling int   // running requests that are in prefill
	CacheUsed  int   // tokens
	AgeMS      int64 // age of these values when the note was sent
}

// AdapterRef identifies an adapter in a message: one that a holder is to load, or that
// requests have used.
type AdapterRef struct {
	Model   string `msgpack:"model"`
	Adapter string `msgpack:"adapter"`
}

// AdapterUse tells a holder which adapters requests have used recently.
type AdapterUse struct {
	Used []AdapterRef `msgpack:"used"`
}

// PrefixUpdate lists prompt prefixes that an engine has read.
type PrefixUpdate struct {
	Prefixes []PromptPrefix `msgpack:"parts"`
}

// SubscribeCall is the payload of KindSubscribe.
type SubscribeCall struct {
	Sent bool `msgpack:"sent,omitempty"` // the subscriber is to be sent each SentUpdate
}

// SentUpdate states how many prompt tokens wait for their first event at an engine: to its
// holder those of the sender, from the holder those of all entries but the receiver.
type SentUpdate struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Tokens int
}

// PaceUpdate replaces the pace in a holder's last Report.
type PaceUpdate struct {
	StartedMS int64     `msgpack:"born"` // start of the engine, Unix milliseconds
	Pace      pace.Pace `msgpack:"pace"`
}

// FirstEventUpdate tells a holder of first events of requests that had its engine to themselves, as far as the entry knows.
type FirstEventUpdate struct {
	StartedMS   int64        `msgpack:"born"` // start of the engine, Unix milliseconds
	FirstEvents []FirstEvent `msgpack:"first"`
}

// FirstEvent is the time that an engine took for the first event of a request.
type FirstEvent struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Tokens int   // prompt tokens that were not cached
	TookUS int64 // from sending until the first event, microseconds
}

// OrderCall is the leader's order to load or unload a model.
type OrderCall struct {
	Term  uint64 `msgpack:"term"` // of the leader; a holder refuses lower terms than it has seen
	Load  bool   `msgpack:"load"` // else unload
	Model string `msgpack:"model"`
}

// CodeNoAnswer is the code of an order that the engine did not answer and may still carry
// out.
const CodeNoAnswer = "no_answer"

// OrderReply is the result of an order, or of a request to load an adapter.
type OrderReply struct {
	Code   string `msgpack:"code"` // empty on success; stable, snake case
	Detail string `msgpack:"detail"`
}

// ListCall asks a voter for the platform's list. The voter answers when its list differs
// from KnownVersion.
type ListCall struct {
	KnownVersion uint64 `msgpack:"newer"` // of the caller's copy; 0 for none
}

// ListingKey identifies one start of a backend server.
type ListingKey struct {
	Instance  string `msgpack:"instance"`
	StartedMS int64  `msgpack:"born"`
}

// keyOf returns the key of a listing.
func keyOf(l bamboostep.Listing) ListingKey { return ListingKey{l.Instance, l.StartedMS} }

// ListReply carries the changes of the platform's list since the caller's version.
type ListReply struct {
	Version  uint64               `msgpack:"number"` // of the voter's list; comparable only within one start of the voter
	AgeMS    int64                `msgpack:"age_ms"` // time since the voter read the list
	Full     bool                 `msgpack:"whole"`  // Listings is the complete list; else the listings that changed
	Listings []bamboostep.Listing `msgpack:"listings"`
	Removed  []ListingKey         `msgpack:"gone"`              // no longer listed
	Entries  int                  `msgpack:"entries"`           // number of entries that follow this voter
	HeldMS   int64                `msgpack:"held_ms,omitempty"` // for which the reply was held back
}

// readAt returns when the list was read, on the clock of the entry that asked at a time. All that is not known to have passed before
// the reading counts as its age: the ways of call and reply, and that the entry did not run.
func (r ListReply) readAt(asked time.Time) time.Time {
	return asked.Add(time.Duration(r.HeldMS-r.AgeMS) * time.Millisecond)
}

// DemandUpdate tells a voter about the recent demand at one entry.
type DemandUpdate struct {
	Entry  string   `msgpack:"entry"`
	Demand []Demand `msgpack:"demand"`

	VersionNeeds []VersionNeed `msgpack:"version_needs,omitempty"`
}
