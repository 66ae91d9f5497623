package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/internal/bodyend"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/timeline"
)

const (
	defaultEntryTimeout = 10 * time.Second
	roundDelay          = 250 * time.Millisecond
	maxAnswerBytes      = 64 << 20
)

// Client sends operators' commands to entries. Set the exported fields before
// the first call.
//
// It tries the entries in order until one gives a final answer. Every command
// may be sent twice without harm, so an entry that fails is simply followed by
// the next; but if one may have carried out the command and no later one said
// how it ended, the error says that the outcome is unknown.
type Client struct {
	Entries  []string      // base URLs
	Token    string        // bearer token; none is sent if empty
	HTTP     *http.Client  // http.DefaultClient if nil
	Timeout  time.Duration // for each entry; ten seconds if 0
	Patience time.Duration // how long to go on trying all entries; once each if 0
}

// Set returns the newest set that an entry has, and revision 0 before the first.
func (c *Client) Set(ctx context.Context) (*catalog.Set, error) {
	var body setBody
	if err := c.do(ctx, func(s *sling.Sling) *sling.Sling { return s.Get(pathSet) }, &body); err != nil {
		return nil, err
	}
	return catalog.New(body.Objects).WithRevision(body.Revision), nil
}

// Publish makes the objects of s the next revision after based. Called again
// with the same ID, it returns the first call's revision.
func (c *Client) Publish(ctx context.Context, id string, based uint64, author string, s *catalog.Set) (bamboostep.Revision, error) {
	body := publishBody{ID: id, Based: based, Author: author, Objects: s.Objects()}
	var revision bamboostep.Revision
	err := c.do(ctx, func(s *sling.Sling) *sling.Sling { return s.Post(pathPublish).BodyJSON(body) }, &revision)
	return revision, err
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.do(ctx, func(s *sling.Sling) *sling.Sling { return s.Get(pathStatus) }, &status)
	return status, err
}

// Revisions returns the latest revisions, oldest first.
func (c *Client) Revisions(ctx context.Context) ([]bamboostep.Revision, error) {
	var revisions []bamboostep.Revision
	err := c.do(ctx, func(s *sling.Sling) *sling.Sling { return s.Get(pathRevisions) }, &revisions)
	return revisions, err
}

// Drain marks a VM as leaving, or takes the mark back.
func (c *Client) Drain(ctx context.Context, vm string, leaving bool) error {
	body := drainBody{vm, leaving}
	return c.do(ctx, func(s *sling.Sling) *sling.Sling { return s.Post(pathDrain).BodyJSON(body) }, &doneBody{})
}

// AddVoter adds a voter to the ledger and returns once it votes.
func (c *Client) AddVoter(ctx context.Context, m ledger.Member) error {
	body := voterBody{true, m}
	return c.do(ctx, func(s *sling.Sling) *sling.Sling { return s.Post(pathVoters).BodyJSON(body) }, &doneBody{})
}

// RemoveVoter takes a voter out of the ledger.
func (c *Client) RemoveVoter(ctx context.Context, name string) error {
	body := voterBody{false, ledger.Member{Name: name}}
	return c.do(ctx, func(s *sling.Sling) *sling.Sling { return s.Post(pathVoters).BodyJSON(body) }, &doneBody{})
}

// Timeline returns the events that q selects, over all processes.
func (c *Client) Timeline(ctx context.Context, q timeline.Query) ([]timeline.Event, error) {
	var events []timeline.Event
	path := pathTimeline + "?" + q.Values().Encode()
	err := c.do(ctx, func(s *sling.Sling) *sling.Sling { return s.Get(path) }, &events)
	return events, err
}

// do sends a command to each entry in turn until one gives a final answer or
// the patience ends.
func (c *Client) do(ctx context.Context, build func(*sling.Sling) *sling.Sling, v any) error {
	began := time.Now()
	known := true
	for {
		err := c.doOnce(ctx, build, v)
		var failed *UnreachableError
		if !errors.As(err, &failed) {
			return err
		}
		known = known && failed.Known
		failed.Known = known
		if time.Since(began)+roundDelay > c.Patience || !pause(ctx, roundDelay) {
			return failed
		}
	}
}

// pause waits for d and reports whether ctx still stands.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (c *Client) doOnce(ctx context.Context, build func(*sling.Sling) *sling.Sling, v any) error {
	failed := &UnreachableError{Known: true}
	for _, entry := range c.Entries {
		err := c.send(ctx, entry, build, v)
		var lost *lostError
		if !errors.As(err, &lost) {
			return err
		}
		failed.Causes = append(failed.Causes, fmt.Errorf("entry %q: %w", entry, lost.cause))
		failed.Known = failed.Known && lost.known
	}
	return failed
}

// lostError says that one entry gave no final answer.
type lostError struct {
	known bool // the command certainly took no effect there
	cause error
}

func (e *lostError) Error() string { return e.cause.Error() }

func (c *Client) send(ctx context.Context, entry string, build func(*sling.Sling) *sling.Sling, v any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultEntryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := sling.New().Base(entry)
	if c.Token != "" {
		s = s.Set("Authorization", "Bearer "+c.Token)
	}
	req, err := build(s).Request()
	if err != nil {
		return err
	}
	resp, err := c.client().Do(req.WithContext(ctx))
	if err != nil {
		return &lostError{known: notSent(err), cause: err}
	}
	defer resp.Body.Close()
	return readAnswer(resp, v)
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func readAnswer(resp *http.Response, v any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &lostError{cause: err}
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, v); err != nil {
			return &lostError{cause: fmt.Errorf("answer: %w", err)}
		}
		return nil
	}
	if err := bodyend.CheckStatus(resp.StatusCode); err != nil {
		return &lostError{cause: err}
	}
	return refusal(resp.StatusCode, data)
}

// refusal returns the error type that the server had. A status without an error
// body comes from something between, such as a balancer.
func refusal(status int, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return &lostError{cause: fmt.Errorf("status %d without an error code", status)}
	}
	detail := body.Error
	switch {
	case detail.Code == codeInvalid:
		return &catalog.ProblemsError{Problems: detail.Problems}
	case detail.Code == codeConflict && detail.Conflict != nil:
		return detail.Conflict
	case detail.Code == codeUnavailable:
		return &lostError{known: detail.Known, cause: errors.New(detail.Message)}
	case status >= http.StatusInternalServerError:
		return &lostError{cause: &RemoteError{status, detail.Code, detail.Message}}
	}
	return &RemoteError{status, detail.Code, detail.Message}
}

// notSent reports whether a request failed before any of it could have arrived.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
