package fleet

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	holderRefreshInterval = 50 * time.Millisecond // how often the links are matched to the known engines
	subscribeTimeout      = time.Second
)

// HolderLinks keeps a connection to the holder of each engine, subscribes to its reports and
// passes them to Fleet. Set the exported fields before Run.
type HolderLinks struct {
	Node     *wire.Node
	Fleet    *Fleet
	Port     int             // listening port of all holders; each runs on its engine's VM
	Services func() []string // services that run on engines
	Sent     bool            // exchange the prompt tokens that wait at engines; see SentUpdate
	Recorder *timeline.Recorder

	mu    sync.Mutex
	links map[string]*peerLink // by address of the engine
}

// peerLink is a connection to a holder or voter that is kept up until cancel is called.
type peerLink struct {
	link   *wire.Link
	cancel context.CancelFunc
}

// Run connects to the holders of engines as they are added and removed, until ctx ends.
func (l *HolderLinks) Run(ctx context.Context) error {
	t := time.NewTicker(holderRefreshInterval)
	defer t.Stop()
	for {
		l.follow(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// follow opens links to new engines' holders and closes those of removed ones.
func (l *HolderLinks) follow(ctx context.Context) {
	want := make(map[string]bool)
	for _, service := range l.Services() {
		for _, address := range l.Fleet.Addresses(service) {
			want[address] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links == nil {
		l.links = make(map[string]*peerLink)
	}
	for address, h := range l.links {
		if !want[address] {
			h.cancel()
			delete(l.links, address)
		}
	}
	for address := range want {
		if l.links[address] == nil {
			l.open(ctx, address)
		}
	}
}

// open starts connecting to the holder of the engine at address. l.mu is held.
func (l *HolderLinks) open(ctx context.Context, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		l.Recorder.Record(timeline.Event{Kind: "holder_address_bad", VM: address, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	link := &wire.Link{
		Node:    l.Node,
		Address: net.JoinHostPort(host, strconv.Itoa(l.Port)),
		Handler: wire.HandlerFunc(func(m *wire.Message) { l.handle(address, m) }),
		Up:      func(c *wire.Conn) { go l.subscribe(ctx, address, c) },
		Down: func(*wire.Conn) {
			l.Fleet.ResetSent(address)
			l.Recorder.Record(timeline.Event{Kind: "holder_lost", VM: address})
		},
	}
	l.links[address] = &peerLink{link, cancel}
	go link.Run(ctx)
}

// subscribe asks a holder for its reports over a new connection. It closes the connection
// on failure, so that the link reconnects.
func (l *HolderLinks) subscribe(ctx context.Context, address string, c *wire.Conn) {
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	l.Fleet.ResetSent(address)
	var r Report
	if err := c.Call(ctx, KindSubscribe, SubscribeCall{Sent: l.Sent}, &r); err != nil {
		l.Recorder.Record(timeline.Event{Kind: "holder_not_subscribed", VM: address, Detail: err.Error()})
		c.Close()
		return
	}
	l.Recorder.Record(timeline.Event{Kind: "holder_reached", VM: address})
	if r.StartedMS != 0 {
		l.Fleet.ApplyReport(r, time.Now())
	}
}

// handle processes one message that a holder pushed.
func (l *HolderLinks) handle(address string, m *wire.Message) {
	var err error
	switch m.Kind {
	case KindReport:
		var r Report
		if err = m.Decode(&r); err == nil {
			l.Fleet.ApplyReport(r, time.Now())
		}
	case KindLoad:
		var n LoadUpdate
		if err = m.Decode(&n); err == nil {
			l.Fleet.ApplyLoad(address, n, time.Now())
		}
	case KindSent:
		var n SentUpdate
		if err = m.Decode(&n); err == nil {
			l.Fleet.ApplySent(address, n)
		}
	case KindPace:
		var n PaceUpdate
		if err = m.Decode(&n); err == nil {
			l.Fleet.ApplyPace(address, n, time.Now())
		}
	case KindPrefixes:
		var n PrefixUpdate
		if err = m.Decode(&n); err == nil {
			l.Fleet.AddCachedPrefixes(address, n.Prefixes)
		}
	}
	if err != nil {
		l.Recorder.Record(timeline.Event{Kind: "report_unreadable", VM: address, Detail: err.Error()})
	}
}

var errHolderNotConnected = errors.New("holder is not connected")

// conn returns the connection to an engine's holder, or nil if there is none.
func (l *HolderLinks) conn(address string) *wire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.links[address]
	if h == nil {
		return nil
	}
	return h.link.Conn()
}

// LoadAdapter asks the holder of an engine to load an adapter. It returns once requests
// can use the adapter. The error is a *RefusedError if the holder answered.
func (l *HolderLinks) LoadAdapter(ctx context.Context, address string, n ModelName) error {
	var r OrderReply
	if err := l.call(ctx, address, KindAdapter, AdapterRef(n), &r); err != nil {
		return err
	}
	return r.err(address)
}

// Order sends the leader's order to the holder of an engine and waits for its reply. The
// error is a *RefusedError if the holder answered.
func (l *HolderLinks) Order(ctx context.Context, address string, o OrderCall) error {
	var r OrderReply
	if err := l.call(ctx, address, KindOrder, o, &r); err != nil {
		return err
	}
	return r.err(address)
}

func (l *HolderLinks) call(ctx context.Context, address, kind string, call, reply any) error {
	c := l.conn(address)
	if c == nil {
		return errHolderNotConnected
	}
	return c.Call(ctx, kind, call, reply)
}

// RefusedError reports that a holder did not carry out an order.
type RefusedError struct {
	Address string
	Code    string // stable, snake case
	Detail  string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "holder of " + e.Address + " refused (" + e.Code + "): " + e.Detail
}

// InDoubt reports whether the engine may still carry out the order.
func (e *RefusedError) InDoubt() bool { return e.Code == CodeNoAnswer }

// err converts a reply to an error, nil if the order succeeded.
func (r OrderReply) err(address string) error {
	if r.Code == "" {
		return nil
	}
	return &RefusedError{address, r.Code, r.Detail}
}

// SendPrefixes tells the holder of an engine which prompt prefixes the engine has read.
func (l *HolderLinks) SendPrefixes(address string, prefixes []PromptPrefix) {
	if c := l.conn(address); c != nil {
		_ = c.Send(KindPrefixes, PrefixUpdate{prefixes}) // if lost, prefixes may be read again at other engines
	}
}

// SendSent tells the holder of an engine how many prompt tokens of this entry wait there.
func (l *HolderLinks) SendSent(address string, u SentUpdate) {
	if c := l.conn(address); c != nil {
		_ = c.Send(KindSent, u) // if lost, the next one or the end of the connection makes it good
	}
}

// SendFirstEvents tells the holder of an engine how long the engine took for first events.
func (l *HolderLinks) SendFirstEvents(address string, n FirstEventUpdate) {
	if c := l.conn(address); c != nil {
		_ = c.Send(KindFirst, n) // if lost, the pace is learned from others
	}
}

// SendAdapterUse tells the holder of an engine which adapters requests have used there.
func (l *HolderLinks) SendAdapterUse(address string, used []AdapterRef) {
	if c := l.conn(address); c != nil {
		_ = c.Send(KindAdapterUse, AdapterUse{used}) // if lost, the adapters only look less recently used
	}
}
