package backend

import (
	"context"
	"errors"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/wire"
)

// One offer, from the entry's side.
//
// The hard point is what may be said when the connection ends. While the same
// agent process can be reached again within reconnectLimit, the stream resumes at
// its offset, and an offer that never arrived is found out there: the agent
// writes a tombstone and answers "not run". A request that can go on elsewhere waits
// for less, since nothing is lost by another attempt. Another incarnation of the agent
// knows nothing of the attempt, so nothing but "unknown" can be said, or "ran" if
// part of the answer came.

// offering is one call of Offer.
type offering struct {
	client *Client
	offer  bamboostep.Offer
	yield  func(bamboostep.Answer) error
	inbox  *inbox
	stream stream

	conn        *wire.Conn // nil while there is none
	incarnation uint64
	lost        <-chan time.Time // fires when the wait for another connection is over
}

// Offer runs one attempt on the agent's VM. It returns nil when the whole answer
// was yielded, in order, without gap or repetition; else a
// *bamboostep.AttemptError. It fills offer.StartBy from startWithin and the
// agent's clock. When ctx ends it cancels the attempt, and the error says whether
// it ran.
func (c *Client) Offer(ctx context.Context, offer bamboostep.Offer, startWithin time.Duration, yield func(bamboostep.Answer) error) error {
	conn := c.current()
	if conn == nil {
		return failed(notRun(offer.Attempt, codeNoConnection))
	}
	uptime, ok := agentUptime(ctx, conn)
	if !ok {
		return failed(notRun(offer.Attempt, codeNoConnection))
	}
	offer.StartBy = (uptime + min(startWithin, maxStartWithin)).Microseconds()
	o := &offering{
		client:      c,
		offer:       offer,
		yield:       yield,
		inbox:       newInbox(),
		stream:      stream{attempt: offer.Attempt},
		conn:        conn,
		incarnation: conn.Peer().Incarnation,
	}
	c.addInbox(offer.Attempt, o.inbox)
	defer c.dropInbox(offer.Attempt)
	c.record("offer_sent", offer, "")
	if err := conn.Send(kindOffer, newOfferBody(&offer)); err != nil {
		return failed(notRun(offer.Attempt, sendCode(err)))
	}
	err := o.run(ctx)
	c.recordEnd(offer, err)
	return err
}

// sendCode returns why an offer could not be sent.
func sendCode(err error) string {
	var tooLarge *wire.FrameError
	if errors.As(err, &tooLarge) {
		return codeTooLarge
	}
	return codeNoConnection
}

func (c *Client) recordEnd(offer bamboostep.Offer, err error) {
	f, isFailure := outcomeOf(err)
	switch {
	case err == nil:
		c.record("offer_answered", offer, "")
	case isFailure:
		c.record("offer_failed", offer, f.Code+" "+string(f.Outcome))
	}
}

// agentUptime waits for the first pong of a connection that has just opened.
func agentUptime(ctx context.Context, conn *wire.Conn) (time.Duration, bool) {
	for {
		if uptime, ok := conn.PeerUptime(time.Now()); ok {
			return uptime, true
		}
		select {
		case <-ctx.Done():
			return 0, false
		case <-conn.Done():
			return 0, false
		case <-time.After(time.Millisecond):
		}
	}
}

func (c *Client) addInbox(id bamboostep.AttemptID, in *inbox) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inboxes == nil {
		c.inboxes = make(map[bamboostep.AttemptID]*inbox)
	}
	c.inboxes[id] = in
}

func (c *Client) dropInbox(id bamboostep.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inboxes, id)
}

func (o *offering) run(ctx context.Context) error {
	if o.client.current() != o.conn {
		o.loseConn()
	}
	for {
		events := o.inbox.wait(ctx, o.lost)
		if ctx.Err() != nil {
			return o.cancel(codeCancelled)
		}
		if events == nil {
			return o.fail(codeAgentLost, "no connection to the agent came back")
		}
		for _, e := range events {
			done, err := o.step(e)
			if done {
				return err
			}
		}
	}
}

// step handles one event, and reports whether the offer has ended.
func (o *offering) step(e event) (done bool, err error) {
	switch {
	case e.answer != nil:
		return o.take(*e.answer)
	case e.failure != nil:
		o.ack(true)
		return true, failed(o.checked(*e.failure))
	case e.up != nil:
		return o.resume(e.up)
	}
	o.loseConn()
	return false, nil
}

// checked corrects a failure that denies what the entry has seen.
func (o *offering) checked(f bamboostep.Failure) bamboostep.Failure {
	if o.stream.header {
		f.Outcome = bamboostep.Ran
	}
	return f
}

func (o *offering) take(a bamboostep.Answer) (done bool, err error) {
	switch o.stream.take(a) {
	case pieceDropped:
		o.client.countDropped()
		return false, nil
	case pieceGap:
		o.client.countDropped()
		o.askAgain()
		return false, nil
	}
	if err := o.yield(a); err != nil {
		return true, o.cancel("caller_gone")
	}
	if o.stream.whole {
		o.ack(true)
		return true, nil
	}
	if o.stream.ackDue() {
		o.ack(false)
	}
	return false, nil
}

func (o *offering) askAgain() {
	if o.conn != nil && o.stream.ask() {
		_ = o.conn.Send(kindResume, o.resumeBody())
	}
}

func (o *offering) resumeBody() resumeBody {
	return resumeBody{Attempt: o.offer.Attempt, StartBy: o.offer.StartBy, Offset: o.stream.offset}
}

func (o *offering) ack(whole bool) {
	if o.conn != nil {
		_ = o.conn.Send(kindAck, ackBody{Attempt: o.offer.Attempt, Offset: o.stream.offset, Whole: whole})
	}
}

// resume goes on over another connection, if it leads to the same process.
func (o *offering) resume(conn *wire.Conn) (done bool, err error) {
	if conn == o.conn {
		return false, nil
	}
	if conn.Peer().Incarnation != o.incarnation {
		return true, o.fail(codeAgentNew, "the agent has restarted")
	}
	o.conn = conn
	o.lost = nil
	o.client.record("offer_resumed", o.offer, "")
	_ = conn.Send(kindResume, o.resumeBody())
	return false, nil
}

func (o *offering) loseConn() {
	o.conn = nil
	o.lost = time.After(o.reconnectTime())
}

// reconnectTime returns how long another connection is waited for. What can go on
// elsewhere does so within 3 s of when its connection went silent.
func (o *offering) reconnectTime() time.Duration {
	service := o.offer.Request.Service != ""
	if !o.offer.Repeatable || service && o.stream.header {
		return reconnectLimit
	}
	return moveLimit
}

func (o *offering) fail(code, message string) error {
	return failed(bamboostep.Failure{
		Attempt: o.offer.Attempt,
		Outcome: o.stream.outcome(),
		Code:    code,
		Message: message,
	})
}

// cancel cancels the attempt and finds out whether it ran. It outlives the
// caller's context, because the caller must know.
func (o *offering) cancel(code string) error {
	ctx, done := context.WithTimeout(context.Background(), cancelLimit)
	defer done()
	outcome := o.askCancel(ctx)
	if o.stream.header {
		outcome = bamboostep.Ran
	}
	return failed(bamboostep.Failure{
		Attempt: o.offer.Attempt,
		Outcome: outcome,
		Code:    code,
		Message: "the attempt was cancelled",
	})
}

// askCancel sends the cancel over the connection of the moment until an answer
// comes.
func (o *offering) askCancel(ctx context.Context) bamboostep.Outcome {
	body := cancelBody{Attempt: o.offer.Attempt, StartBy: o.offer.StartBy}
	for ctx.Err() == nil {
		conn := o.client.current()
		if conn != nil && conn.Peer().Incarnation != o.incarnation {
			return bamboostep.Unknown
		}
		var outcome bamboostep.Outcome
		if conn != nil && conn.Call(ctx, kindCancel, body, &outcome) == nil {
			return outcome
		}
		o.awaitConn(ctx)
	}
	return bamboostep.Unknown
}

// awaitConn waits a moment for a change of connection.
func (o *offering) awaitConn(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(minRetryPause):
	}
}

const minRetryPause = 20 * time.Millisecond
