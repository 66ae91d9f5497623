package backend

import (
	"time"

	"github.com/bamboostep/bamboostep"
)

// The kinds of message. Those before answer go from an entry to an agent.
const (
	kindHello    = "backend.hello"
	kindOffer    = "backend.offer"
	kindResume   = "backend.resume"
	kindAck      = "backend.ack"
	kindCancel   = "backend.cancel"
	kindOrder    = "backend.order"
	kindDrain    = "backend.drain"
	kindTimeline = "backend.timeline"

	kindAnswer   = "backend.answer"
	kindFailure  = "backend.failure"
	kindReport   = "backend.report"
	kindLoad     = "backend.load"
	kindSuspects = "backend.suspects"
)

const (
	maxStartWithin = time.Minute
	reconnectLimit = 3 * time.Second        // how long a stream waits for another connection
	moveLimit      = 500 * time.Millisecond // the same, where another attempt may be made
	cancelLimit    = 5 * time.Second        // how long a cancelled offer waits to learn whether it ran
	ackEvery       = 64 << 10               // bytes
	windowBytes    = 256 << 10              // output that an agent keeps unacknowledged for one attempt
	minWindowBytes = 2 * ackEvery           // the same, while it keeps as much as it may for all; less would never be acknowledged
)

// The codes of failures that both ends use.
const (
	codeTooLate      = "too_late"
	codeQueueFull    = "queue_full"
	codeLeaving      = "leaving"
	codeNotResident  = "not_resident"
	codeNotReady     = "not_ready"
	codeNeverArrived = "never_arrived"
	codeForgotten    = "forgotten"
	codeCancelled    = "cancelled"
	codeNoConnection = "no_connection"
	codeAgentLost    = "agent_lost"
	codeAgentNew     = "agent_restarted"
	codeBackendDown  = "backend_down"
	codeBackendBroke = "backend_broke_off"
	codeWrongKind    = "wrong_kind"
	codeTooLarge     = "request_too_large"
)

// helloBody tells an agent what its entry knows: the highest revision, and the
// highest fence that the agent, perhaps before a restart, reported to it.
type helloBody struct {
	Revision uint64                  `msgpack:"revision"`
	Fence    bamboostep.FencingToken `msgpack:"fence"`
}

// resumeBody asks for an attempt's answer from Offset on. StartBy is that of the
// offer, so that the agent can tell an offer it never saw from one it forgot.
type resumeBody struct {
	Attempt bamboostep.AttemptID `msgpack:"attempt"`
	StartBy int64                `msgpack:"start_by"`
	Offset  int64                `msgpack:"offset"`
}

type ackBody struct {
	Attempt bamboostep.AttemptID `msgpack:"attempt"`
	Offset  int64                `msgpack:"offset"`
	Whole   bool                 `msgpack:"whole"` // the entry needs nothing more
}

type cancelBody struct {
	Attempt bamboostep.AttemptID `msgpack:"attempt"`
	StartBy int64                `msgpack:"start_by"`
}

type drainBody struct {
	Leaving bool `msgpack:"leaving"`
}

func failed(f bamboostep.Failure) error { return &bamboostep.AttemptError{Failure: f} }

// offerBody is a bamboostep.Offer on the wire, as an array without names.
type offerBody struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Attempt     bamboostep.AttemptID
	StartBy     int64
	Prior       []byte
	Alone       bool
	Load        *bamboostep.Order // nil when there is nothing to load
	KV          *bamboostep.KV    // nil when there is none
	ID          bamboostep.RequestID
	Caller      string
	Model       string
	Adapter     string
	Service     string
	Class       bamboostep.Class
	Method      string
	Path        string
	Header      map[string][]string
	Body        []byte
	Prefix      []uint64
	Fingerprint uint64
	Revision    uint64
}

func newOfferBody(o *bamboostep.Offer) *offerBody {
	r := &o.Request
	b := &offerBody{
		Attempt:     o.Attempt,
		StartBy:     o.StartBy,
		Prior:       o.PriorText,
		Alone:       o.RunAlone,
		KV:          o.KV,
		ID:          r.ID,
		Caller:      r.Caller,
		Model:       r.Model,
		Adapter:     r.Adapter,
		Service:     r.Service,
		Class:       r.Class,
		Method:      r.Method,
		Path:        r.Path,
		Header:      r.Header,
		Body:        r.Body,
		Prefix:      r.Prefix,
		Fingerprint: r.Fingerprint,
		Revision:    r.Revision,
	}
	if o.Load != (bamboostep.Order{}) {
		b.Load = &o.Load
	}
	return b
}

func (b *offerBody) offer() bamboostep.Offer {
	o := bamboostep.Offer{
		Attempt:   b.Attempt,
		StartBy:   b.StartBy,
		PriorText: b.Prior,
		RunAlone:  b.Alone,
		KV:        b.KV,
		Request: bamboostep.Request{
			ID:          b.ID,
			Caller:      b.Caller,
			Model:       b.Model,
			Adapter:     b.Adapter,
			Service:     b.Service,
			Class:       b.Class,
			Method:      b.Method,
			Path:        b.Path,
			Header:      b.Header,
			Body:        b.Body,
			Prefix:      b.Prefix,
			Fingerprint: b.Fingerprint,
			Revision:    b.Revision,
		},
	}
	if b.Load != nil {
		o.Load = *b.Load
	}
	return o
}

// answerBody is a bamboostep.Answer on the wire. One is sent for each token, so
// it goes as an array without names.
type answerBody struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Attempt bamboostep.AttemptID
	Offset  int64
	Status  int
	Header  map[string][]string
	Data    []byte
	Tokens  int
	Last    bool
	Finish  string
}

func newAnswerBody(a bamboostep.Answer) *answerBody {
	return &answerBody{
		Attempt: a.Attempt,
		Offset:  a.Offset,
		Status:  a.Status,
		Header:  a.Header,
		Data:    a.Data,
		Tokens:  a.Tokens,
		Last:    a.Last,
		Finish:  a.FinishReason,
	}
}

func (b *answerBody) answer() *bamboostep.Answer {
	return &bamboostep.Answer{
		Attempt:      b.Attempt,
		Offset:       b.Offset,
		Status:       b.Status,
		Header:       b.Header,
		Data:         b.Data,
		Tokens:       b.Tokens,
		Last:         b.Last,
		FinishReason: b.Finish,
	}
}
