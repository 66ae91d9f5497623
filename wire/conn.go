package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep/memory"
)

const (
	uptimeMaxAge   = 10 * time.Second // the peer's uptime is asked for anew at this age
	queueLimit     = 32 << 20         // bytes waiting to be written before the peer counts as stuck
	readBufferSize = 4 << 10

	kindPing = "ping"
	kindPong = "pong"
)

type pongBody struct {
	UptimeMicros int64 `msgpack:"uptime_micros"`
}

type errorBody struct {
	Code    string `msgpack:"code"`
	Message string `msgpack:"message"`
}

// Message is one message from a peer.
type Message struct {
	Kind string

	conn *Conn
	call uint64
	body msgpack.RawMessage
}

// Conn returns the connection that m came by.
func (m *Message) Conn() *Conn { return m.conn }

// Decode reads the body of m into v. An error closes the connection, because
// the peer does not speak this protocol.
func (m *Message) Decode(v any) error {
	err := msgpack.Unmarshal(m.body, v)
	if err == nil {
		return nil
	}
	err = &FrameError{len(m.body), fmt.Sprintf("body of %q: %v", m.Kind, err)}
	m.conn.close(err)
	return err
}

// Reply answers a call; for a message that is no call it does nothing.
func (m *Message) Reply(v any) error {
	if m.call == 0 {
		return nil
	}
	return m.conn.send(m.Kind, m.call, true, v)
}

// Await holds the answer back until changed is closed, or for a time. It returns false
// if the connection has ended, so that nobody waits for the answer any more.
func (m *Message) Await(changed <-chan struct{}, atMost time.Duration) bool {
	t := time.NewTimer(atMost)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-m.Conn().Done():
		return false
	}
	return true
}

// Fail answers a call with an error that the caller gets as a *RemoteError.
func (m *Message) Fail(code string, err error) error {
	if m.call == 0 {
		return nil
	}
	return m.conn.send(kindError, m.call, true, errorBody{code, err.Error()})
}

const kindError = "error"

// Handler receives the messages of a connection, one at a time and in order. It
// must not block: what takes long runs in a goroutine of its own.
type Handler interface {
	Handle(m *Message)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(m *Message)

// Handle implements Handler.
func (f HandlerFunc) Handle(m *Message) { f(m) }

// Conn is one connection between two processes. All methods may be used by many
// goroutines.
type Conn struct {
	nc      net.Conn
	node    *Node
	peer    Hello
	handler Handler
	busy    func() bool // whether anything is awaited from the peer; nil if always
	silence silence     // of the check loop

	mu       sync.Mutex
	queue    [][]byte
	queued   int           // bytes in queue
	writing  int           // bytes taken from queue that are being written
	out      memory.Holder // of both
	wake     chan struct{}
	calls    map[uint64]chan envelope
	lastCall uint64
	cause    error

	in       memory.Holder // of the frame that arrives; used by readLoop alone
	done     chan struct{}
	lastRead atomic.Int64 // uptime of the node, nanoseconds: the wall clock may be set while a connection is quiet
	uptime   atomic.Pointer[peerUptime]
}

type peerUptime struct {
	uptime time.Duration
	at     time.Time
}

// Peer returns the peer's introduction.
func (c *Conn) Peer() Hello { return c.peer }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended, or nil while it stands.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

// Close ends the connection.
func (c *Conn) Close() { c.close(net.ErrClosed) }

// PeerUptime returns a lower bound of the time since the peer process started,
// by the peer's own clock, and false before the first pong.
func (c *Conn) PeerUptime(now time.Time) (time.Duration, bool) {
	p := c.uptime.Load()
	if p == nil {
		return 0, false
	}
	return p.uptime + now.Sub(p.at), true
}

// Send queues a message that expects no answer. An error means that nothing was
// sent and nothing will be.
func (c *Conn) Send(kind string, v any) error { return c.send(kind, 0, false, v) }

// Call sends a message and waits for its answer, which it decodes into reply
// unless reply is nil. The error is a *RemoteError when the peer refused, a
// *ClosedError when the connection ended first, or that of ctx.
func (c *Conn) Call(ctx context.Context, kind string, v, reply any) error {
	answer := make(chan envelope, 1)
	id, err := c.addCall(answer)
	if err != nil {
		return err
	}
	defer c.dropCall(id)
	if err := c.send(kind, id, false, v); err != nil {
		return err
	}
	select {
	case e := <-answer:
		return decodeReply(e, reply)
	case <-c.done:
		return c.closedError()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func decodeReply(e envelope, reply any) error {
	if e.Kind == kindError {
		var body errorBody
		if err := msgpack.Unmarshal(e.Body, &body); err != nil {
			return &FrameError{len(e.Body), err.Error()}
		}
		return &RemoteError{body.Code, body.Message}
	}
	if reply == nil {
		return nil
	}
	if err := msgpack.Unmarshal(e.Body, reply); err != nil {
		return &FrameError{len(e.Body), fmt.Sprintf("reply to %q: %v", e.Kind, err)}
	}
	return nil
}

func (c *Conn) addCall(answer chan envelope) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return 0, &ClosedError{c.peer.Name, c.cause}
	}
	c.lastCall++
	c.calls[c.lastCall] = answer
	return c.lastCall, nil
}

func (c *Conn) dropCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

func (c *Conn) closedError() error { return &ClosedError{c.peer.Name, c.Err()} }

func (c *Conn) send(kind string, call uint64, reply bool, v any) error {
	e := envelope{Kind: kind, Call: call, Reply: reply, Stamp: c.node.Clock.Now()}
	frame, err := encodeFrame(e, v)
	if err != nil {
		return err
	}
	return c.enqueue(frame)
}

func (c *Conn) enqueue(frame []byte) error {
	c.mu.Lock()
	if c.cause != nil {
		defer c.mu.Unlock()
		return &ClosedError{c.peer.Name, c.cause}
	}
	if c.queued+len(frame) > queueLimit {
		c.mu.Unlock()
		err := fmt.Errorf("peer %q has %d bytes unread", c.peer.Name, queueLimit)
		c.close(err)
		return &ClosedError{c.peer.Name, err}
	}
	if err := c.out.Resize(time.Now(), int64(c.writing+c.queued+len(frame))); err != nil {
		c.mu.Unlock()
		c.close(err)
		return &ClosedError{c.peer.Name, err}
	}
	c.queue = append(c.queue, frame)
	c.queued += len(frame)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

func (c *Conn) takeQueue() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue
	c.queue = nil
	c.writing, c.queued = c.queued, 0
	return q
}

// wrote notes that what was taken from the queue has been written.
func (c *Conn) wrote() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return // it has given back all, or will
	}
	c.writing = 0
	_ = c.out.Resize(time.Now(), int64(c.queued)) // less than before
}

// Release implements memory.Owner. It ends the reads and writes of the connection, and so the connection.
func (c *Conn) Release() {
	_ = c.nc.SetDeadline(time.Now()) // fails only on a connection that is closed
}

func (c *Conn) close(cause error) {
	c.mu.Lock()
	if c.cause != nil {
		c.mu.Unlock()
		return
	}
	c.cause = cause
	c.mu.Unlock()
	close(c.done)
	c.nc.Close()
}

func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		}
		bufs := net.Buffers(c.takeQueue())
		if len(bufs) == 0 {
			continue
		}
		n, err := bufs.WriteTo(c.nc)
		c.node.Metrics.countSent(n)
		if err != nil {
			c.close(err)
			return
		}
		c.wrote()
	}
}

// heardAt returns when the connection last brought something, by the steady clock.
func (c *Conn) heardAt() time.Time {
	return c.node.started.Add(time.Duration(c.lastRead.Load()))
}

// check watches for silence. Whatever arrives shows that the connection works, so
// only a quiet one is pinged, and the answer to one side's ping spares the other
// side its own.
func (c *Conn) check(now time.Time) {
	heard := c.heardAt()
	ping, abandon := c.silence.check(now, heard, c.isBusy())
	if abandon {
		c.node.Metrics.countSilent()
		c.close(&SilentError{now.Sub(heard)})
		return
	}
	if ping || c.uptimeIsOld(now) {
		_ = c.send(kindPing, 0, false, nil)
	}
}

// isBusy reports whether anything is awaited from the peer.
func (c *Conn) isBusy() bool {
	if c.busy == nil || c.busy() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) > 0
}

func (c *Conn) uptimeIsOld(now time.Time) bool {
	p := c.uptime.Load()
	return p == nil || now.Sub(p.at) > uptimeMaxAge
}

func (c *Conn) readLoop(r *bufio.Reader) {
	for {
		e, err := readFrame(r, MaxFrameBytes, &c.in)
		if err != nil {
			c.countBadFrame(err)
			c.close(err)
			return
		}
		c.lastRead.Store(int64(c.node.uptime()))
		c.node.Metrics.countReceived(len(e.Body) + lengthBytes)
		c.node.Clock.Observe(e.Stamp)
		c.dispatch(e)
		_ = c.in.Resize(time.Now(), 0) // less than before
	}
}

func (c *Conn) countBadFrame(err error) {
	var bad *FrameError
	if errors.As(err, &bad) {
		c.node.Metrics.countBad()
	}
}

func (c *Conn) dispatch(e envelope) {
	switch {
	case e.Kind == kindPing:
		_ = c.send(kindPong, 0, false, pongBody{c.node.uptime().Microseconds()})
	case e.Kind == kindPong:
		c.notePong(e)
	case e.Reply:
		c.deliver(e)
	default:
		c.handler.Handle(&Message{Kind: e.Kind, conn: c, call: e.Call, body: e.Body})
	}
}

func (c *Conn) notePong(e envelope) {
	var p pongBody
	if err := msgpack.Unmarshal(e.Body, &p); err != nil {
		c.close(&FrameError{len(e.Body), err.Error()})
		return
	}
	c.uptime.Store(&peerUptime{time.Duration(p.UptimeMicros) * time.Microsecond, time.Now()})
}

func (c *Conn) deliver(e envelope) {
	c.mu.Lock()
	answer := c.calls[e.Call]
	delete(c.calls, e.Call)
	c.mu.Unlock()
	if answer == nil {
		c.node.Metrics.countStray()
		return
	}
	answer <- e
}

// giveBack gives back what the connection has held.
func (c *Conn) giveBack() {
	c.in.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.Close()
}

func (c *Conn) start(r *bufio.Reader) {
	c.lastRead.Store(int64(c.node.uptime()))
	go c.writeLoop()
	c.node.watch(c)
	defer c.node.unwatch(c)
	defer c.giveBack()
	_ = c.send(kindPing, 0, false, nil)
	c.readLoop(r)
}
