package fleet

import "github.com/bamboostep/bamboostep"

// The messages between entries, voters and holders of backend servers.

// Kinds of messages.
const (
	KindSubscribe = "fleet.subscribe" // entry to holder: wants its reports; answered by Report
	KindReport    = "fleet.report"    // holder to subscriber: a Report; no answer
	KindLoad      = "fleet.load"      // holder to subscriber: a LoadNote; no answer
	KindAdapter   = "fleet.adapter"   // entry to holder: AdapterCall, answered by OrderReply
	KindUsed      = "fleet.used"      // entry to holder: UsedNote; no answer
	KindKept      = "fleet.kept"      // entry to holder, and holder to subscriber: KeptNote; no answer
	KindOrder     = "fleet.order"     // leader to holder: OrderCall, answered by OrderReply
	KindList      = "fleet.list"      // entry to voter: ListCall, answered by ListReply
	KindDemand    = "fleet.demand"    // entry to voter: DemandNote; no answer
)

// LoadNote is what changes most in a Report, for a report that says nothing else.
type LoadNote struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Waiting   int
	Running   int
	Reading   int
	CacheUsed int
	AgeMS     int64
}

// AdapterCall asks a holder to have an adapter loaded.
type AdapterCall struct {
	Model   string `msgpack:"model"`
	Adapter string `msgpack:"adapter"`
}

// UsedNote tells a holder which adapters requests have used.
type UsedNote struct {
	Used []AdapterCall `msgpack:"used"`
}

// KeptNote says which beginnings of prompts an engine has read.
type KeptNote struct {
	Parts []KeptPart `msgpack:"parts"`
}

// OrderCall asks a holder to load or unload a model.
type OrderCall struct {
	Term  uint64 `msgpack:"term"` // of the leader
	Load  bool   `msgpack:"load"`
	Model string `msgpack:"model"`
}

// CodeNoAnswer is the code of an order that the engine did not answer and may carry
// out later.
const CodeNoAnswer = "no_answer"

// OrderReply says what came of an order.
type OrderReply struct {
	Code   string `msgpack:"code"` // empty when done; else stable, snake case
	Detail string `msgpack:"detail"`
}

// ListCall asks a voter for the platform's list, once it is newer than one.
type ListCall struct {
	Newer uint64 `msgpack:"newer"`
}

// ListingKey names one start of a backend server.
type ListingKey struct {
	Instance string `msgpack:"instance"`
	Born     int64  `msgpack:"born"`
}

func keyOf(l bamboostep.Listing) ListingKey { return ListingKey{l.Instance, l.Born} }

// ListReply is what is new in the platform's list as a voter last read it.
type ListReply struct {
	Number   uint64               `msgpack:"number"` // of the reading; rises within one voter's life
	AgeMS    int64                `msgpack:"age_ms"`
	Whole    bool                 `msgpack:"whole"` // Listings are all; else those that changed since
	Listings []bamboostep.Listing `msgpack:"listings"`
	Gone     []ListingKey         `msgpack:"gone"`    // not listed any more
	Entries  int                  `msgpack:"entries"` // that follow this voter
}

// DemandNote tells a voter what callers asked of an entry.
type DemandNote struct {
	Entry  string   `msgpack:"entry"`
	Demand []Demand `msgpack:"demand"`
}
