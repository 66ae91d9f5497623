package backend

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// Client is an entry's end of the connection to one agent. Set the exported
// fields before Run. All methods may be used by many goroutines.
type Client struct {
	Node      *wire.Node
	VM        bamboostep.VM
	Recorder  *timeline.Recorder         // may be nil
	Dropped   prometheus.Counter         // pieces of answers that nothing waited for; may be nil
	OnReport  func(bamboostep.Report)    // each report; must not block
	OnSuspect func([]bamboostep.Suspect) // attempts that ran when the agent's backend server died
	OnUp      func()                     // may be nil
	OnDown    func()                     // may be nil

	mu      sync.Mutex
	conn    *wire.Conn
	inboxes map[bamboostep.AttemptID]*inbox
	hello   helloBody          // what the agent is told on every new connection
	report  *bamboostep.Report // last on this connection, or nil
}

// Run keeps the connection up until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	mux := &wire.Mux{}
	mux.On(kindAnswer, c.handleAnswer)
	mux.On(kindFailure, c.handleFailure)
	mux.On(kindReport, c.handleReport)
	mux.On(kindLoad, c.handleLoad)
	mux.On(kindSuspects, c.handleSuspects)
	link := &wire.Link{Node: c.Node, Address: c.VM.Address, Handler: mux, Up: c.setUp, Down: c.setDown, Busy: c.busy}
	return link.Run(ctx)
}

// Up reports whether the connection stands.
func (c *Client) Up() bool { return c.current() != nil }

// busy reports whether an offer is under way.
func (c *Client) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inboxes) > 0
}

func (c *Client) current() *wire.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

func (c *Client) setUp(conn *wire.Conn) {
	c.mu.Lock()
	c.conn = conn
	c.report = nil
	hello := c.hello
	all := c.allInboxes()
	c.mu.Unlock()
	_ = conn.Send(kindHello, hello)
	for _, in := range all {
		in.put(event{up: conn})
	}
	if c.OnUp != nil {
		c.OnUp()
	}
}

func (c *Client) setDown(*wire.Conn) {
	c.mu.Lock()
	c.conn = nil
	all := c.allInboxes()
	c.mu.Unlock()
	for _, in := range all {
		in.put(event{down: true})
	}
	if c.OnDown != nil {
		c.OnDown()
	}
}

func (c *Client) allInboxes() []*inbox {
	all := make([]*inbox, 0, len(c.inboxes))
	for _, in := range c.inboxes {
		all = append(all, in)
	}
	return all
}

func (c *Client) inbox(id bamboostep.AttemptID) *inbox {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inboxes[id]
}

func (c *Client) handleAnswer(m *wire.Message) {
	var body answerBody
	if m.Decode(&body) != nil {
		return
	}
	in := c.inbox(body.Attempt)
	if in == nil {
		c.countDropped()
		return
	}
	in.put(event{answer: body.answer()})
}

func (c *Client) handleFailure(m *wire.Message) {
	var f bamboostep.Failure
	if m.Decode(&f) != nil {
		return
	}
	if in := c.inbox(f.Attempt); in != nil {
		in.put(event{failure: &f})
	}
}

func (c *Client) countDropped() {
	if c.Dropped != nil {
		c.Dropped.Inc()
	}
}

func (c *Client) handleReport(m *wire.Message) {
	var r bamboostep.Report
	if m.Decode(&r) == nil {
		c.noteReport(r)
	}
}

func (c *Client) handleLoad(m *wire.Message) {
	var body loadBody
	if m.Decode(&body) != nil {
		return
	}
	c.mu.Lock()
	last := c.report
	c.mu.Unlock()
	if last != nil {
		c.noteReport(body.onto(*last))
	}
}

func (c *Client) noteReport(r bamboostep.Report) {
	c.mu.Lock()
	c.report = &r
	if c.hello.Fence.Less(r.Fence) {
		c.hello.Fence = r.Fence
	}
	c.mu.Unlock()
	if c.OnReport != nil {
		c.OnReport(r)
	}
}

func (c *Client) handleSuspects(m *wire.Message) {
	var suspects []bamboostep.Suspect
	if m.Decode(&suspects) != nil {
		return
	}
	if c.OnSuspect != nil {
		c.OnSuspect(suspects)
	}
}

// Order gives the agent an order and waits for its end. An error means that the
// answer was lost: the order may be sent again with the same fence.
func (c *Client) Order(ctx context.Context, order bamboostep.Order) (bamboostep.OrderResult, error) {
	var result bamboostep.OrderResult
	err := c.call(ctx, kindOrder, order, &result)
	return result, err
}

// Drain marks the agent's VM as leaving, or takes the mark back.
func (c *Client) Drain(ctx context.Context, leaving bool) error {
	return c.call(ctx, kindDrain, drainBody{leaving}, nil)
}

// Timeline returns the agent's kept events that q selects.
func (c *Client) Timeline(ctx context.Context, q timeline.Query) ([]timeline.Event, error) {
	var events []timeline.Event
	err := c.call(ctx, kindTimeline, q, &events)
	return events, err
}

// SetRevision tells the agent the configuration in force, now and on every new
// connection. The agent keeps the highest that it was ever told.
func (c *Client) SetRevision(revision uint64) {
	c.mu.Lock()
	c.hello.Revision = max(c.hello.Revision, revision)
	hello, conn := c.hello, c.conn
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Send(kindHello, hello)
	}
}

// NotConnectedError says that there is no connection to an agent.
type NotConnectedError struct{ VM string }

// Error implements error.
func (e *NotConnectedError) Error() string { return "there is no connection to VM " + e.VM }

func (c *Client) call(ctx context.Context, kind string, v, reply any) error {
	conn := c.current()
	if conn == nil {
		return &NotConnectedError{c.VM.Name}
	}
	return conn.Call(ctx, kind, v, reply)
}

func (c *Client) record(kind string, offer bamboostep.Offer, detail string) {
	if c.Recorder == nil {
		return
	}
	c.Recorder.Record(timeline.Event{
		Kind:     kind,
		Request:  offer.Request.ID,
		Attempt:  offer.Attempt,
		Model:    target(offer.Request),
		VM:       c.VM.Name,
		Revision: offer.Request.Revision,
		Detail:   detail,
	})
}

// target returns what a request names: a service, an adapter or a model.
func target(r bamboostep.Request) string {
	switch {
	case r.Service != "":
		return r.Service
	case r.Adapter != "":
		return r.Adapter
	}
	return r.Model
}

func outcomeOf(err error) (bamboostep.Failure, bool) {
	var f *bamboostep.AttemptError
	if errors.As(err, &f) {
		return f.Failure, true
	}
	return bamboostep.Failure{}, false
}

// inbox holds the events of one offer until its goroutine takes them. Its size is
// bounded by the window that the agent keeps to.
type inbox struct {
	mu     sync.Mutex
	events []event
	wake   chan struct{}
}

// event is one thing that happened to an offer; exactly one field is set.
type event struct {
	answer  *bamboostep.Answer
	failure *bamboostep.Failure
	up      *wire.Conn
	down    bool
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

func (in *inbox) put(e event) {
	in.mu.Lock()
	in.events = append(in.events, e)
	in.mu.Unlock()
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

func (in *inbox) take() []event {
	in.mu.Lock()
	defer in.mu.Unlock()
	events := in.events
	in.events = nil
	return events
}

// wait returns the next events; none when ctx ended or the timer fired first.
func (in *inbox) wait(ctx context.Context, deadline <-chan time.Time) []event {
	for {
		if events := in.take(); len(events) > 0 {
			return events
		}
		select {
		case <-in.wake:
		case <-deadline:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}
