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
	followInterval   = 50 * time.Millisecond
	subscribeTimeout = time.Second
)

// Links keeps a connection to the holder of each engine and takes its reports. Set
// the exported fields before Run.
type Links struct {
	Node     *wire.Node
	Fleet    *Fleet
	Port     int             // of every holder, on the VM of its engine
	Services func() []string // those with engines
	Recorder *timeline.Recorder

	mu    sync.Mutex
	links map[string]*holderLink // by address of the engine
}

type holderLink struct {
	link   *wire.Link
	cancel context.CancelFunc
}

// Run follows the backend servers that come and go until ctx ends.
func (l *Links) Run(ctx context.Context) error {
	t := time.NewTicker(followInterval)
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

func (l *Links) follow(ctx context.Context) {
	want := make(map[string]bool)
	for _, service := range l.Services() {
		for _, address := range l.Fleet.Addresses(service) {
			want[address] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links == nil {
		l.links = make(map[string]*holderLink)
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

// open dials the holder of an engine. mu is held.
func (l *Links) open(ctx context.Context, address string) {
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
		Down:    func(*wire.Conn) { l.Recorder.Record(timeline.Event{Kind: "holder_lost", VM: address}) },
	}
	l.links[address] = &holderLink{link, cancel}
	go link.Run(ctx)
}

func (l *Links) subscribe(ctx context.Context, address string, c *wire.Conn) {
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	var r Report
	if err := c.Call(ctx, KindSubscribe, struct{}{}, &r); err != nil {
		l.Recorder.Record(timeline.Event{Kind: "holder_not_subscribed", VM: address, Detail: err.Error()})
		c.Close()
		return
	}
	l.Recorder.Record(timeline.Event{Kind: "holder_reached", VM: address})
	if r.Born != 0 {
		l.Fleet.NoteReport(r, time.Now())
	}
}

func (l *Links) handle(address string, m *wire.Message) {
	var err error
	switch m.Kind {
	case KindReport:
		var r Report
		if err = m.Decode(&r); err == nil {
			l.Fleet.NoteReport(r, time.Now())
		}
	case KindLoad:
		var n LoadNote
		if err = m.Decode(&n); err == nil {
			l.Fleet.NoteLoad(address, n, time.Now())
		}
	case KindKept:
		var n KeptNote
		if err = m.Decode(&n); err == nil {
			l.Fleet.NoteKept(address, n.Parts)
		}
	}
	if err != nil {
		l.Recorder.Record(timeline.Event{Kind: "report_unreadable", VM: address, Detail: err.Error()})
	}
}

var errNoHolder = errors.New("holder is not connected")

func (l *Links) conn(address string) *wire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.links[address]
	if h == nil {
		return nil
	}
	return h.link.Conn()
}

// LoadAdapter has the holder of an engine load an adapter, and returns once a
// request may use it.
func (l *Links) LoadAdapter(ctx context.Context, address string, n ModelName) error {
	var r OrderReply
	if err := l.call(ctx, address, KindAdapter, AdapterCall(n), &r); err != nil {
		return err
	}
	return r.err(address)
}

// Order gives the leader's order to the holder of an engine.
func (l *Links) Order(ctx context.Context, address string, o OrderCall) error {
	var r OrderReply
	if err := l.call(ctx, address, KindOrder, o, &r); err != nil {
		return err
	}
	return r.err(address)
}

func (l *Links) call(ctx context.Context, address, kind string, call, reply any) error {
	c := l.conn(address)
	if c == nil {
		return errNoHolder
	}
	return c.Call(ctx, kind, call, reply)
}

// RefusedError says that a holder did not carry out an order.
type RefusedError struct {
	Address string
	Code    string // snake case
	Detail  string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "holder of " + e.Address + " refused (" + e.Code + "): " + e.Detail
}

// InDoubt reports whether the order may be carried out later.
func (e *RefusedError) InDoubt() bool { return e.Code == CodeNoAnswer }

func (r OrderReply) err(address string) error {
	if r.Code == "" {
		return nil
	}
	return &RefusedError{address, r.Code, r.Detail}
}

// NoteKept tells the holder of an engine which beginnings of prompts it has read.
func (l *Links) NoteKept(address string, parts []KeptPart) {
	if c := l.conn(address); c != nil {
		_ = c.Send(KindKept, KeptNote{parts}) // a lost note only has a beginning read again
	}
}

// NoteUsed tells the holder of an engine which adapters requests have used there.
func (l *Links) NoteUsed(address string, used []AdapterCall) {
	if c := l.conn(address); c != nil {
		_ = c.Send(KindUsed, UsedNote{used}) // a lost note only makes an adapter look older
	}
}
