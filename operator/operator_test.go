package operator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/operator"
	"github.com/bamboostep/bamboostep/timeline"
)

// fakeLedger takes publishes in memory.
type fakeLedger struct {
	bamboostep.Ledger

	mu        sync.Mutex
	set       *catalog.Set
	revisions []bamboostep.Revision
	drained   map[string]bool
	lost      error // answer of the next command, after it took effect
	down      error // answer of every command, which takes no effect
}

func (l *fakeLedger) Publish(_ context.Context, p bamboostep.Publication) (bamboostep.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down != nil {
		return bamboostep.Revision{}, l.down
	}
	for _, r := range l.revisions {
		if r.ID == p.ID {
			return r, l.takeLost()
		}
	}
	if n := uint64(len(l.revisions)); n != p.BaseRevision {
		return bamboostep.Revision{}, &bamboostep.ConflictError{BaseRevision: p.BaseRevision, Newest: l.revisions[n-1]}
	}
	set, err := catalog.Decode(p.Set)
	if err != nil {
		return bamboostep.Revision{}, err
	}
	r := bamboostep.Revision{Number: p.BaseRevision + 1, ID: p.ID, Author: p.Author, At: time.Unix(1000, 0)}
	l.revisions = append(l.revisions, r)
	l.set = set.WithRevision(r.Number)
	return r, l.takeLost()
}

func (l *fakeLedger) takeLost() error {
	err := l.lost
	l.lost = nil
	return err
}

func (l *fakeLedger) Drain(_ context.Context, vm string, leaving bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained[vm] = leaving
	return l.down
}

func (l *fakeLedger) newest() *catalog.Set {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set
}

// startEntry serves l as one entry and returns its URL.
func startEntry(t *testing.T, l *fakeLedger, token string) string {
	t.Helper()
	h := &operator.Handler{
		Ledger:    l,
		Set:       l.newest,
		Revisions: func() []bamboostep.Revision { return l.revisions },
		Status:    func() operator.Status { return operator.Status{Entry: "entry-a", Revision: 1} },
		Timeline: func(_ context.Context, q timeline.Query) []timeline.Event {
			return []timeline.Event{{Kind: "asked", Request: q.Request, Model: q.Model}}
		},
		Token: token,
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func newLedger() *fakeLedger { return &fakeLedger{drained: make(map[string]bool)} }

func oneModel(copies int) *catalog.Set {
	return catalog.New(catalog.Objects{
		Places:   []bamboostep.Place{{Name: "p", Kind: bamboostep.EnginePlace, Workers: 3, MemoryMiB: 100}},
		Versions: []bamboostep.Version{{Name: "v", WeightsMiB: 10}},
		Models: []bamboostep.Model{{Name: "m", Version: "v", Place: "p", MinCopies: copies,
			Class: bamboostep.ClassQuote}},
	})
}

// Of two operators who start from one revision, the second is told who was
// first and what differs; sending the first publish again repeats its answer.
func TestPublishConflict(t *testing.T) {
	ctx := context.Background()
	c := &operator.Client{Entries: []string{startEntry(t, newLedger(), "")}}
	first, err := c.Publish(ctx, "id-1", 0, "ana", oneModel(1))
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Publish(ctx, "id-2", 0, "bea", oneModel(2))
	var conflict *operator.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got error %v, want *ConflictError", err)
	}
	if conflict.Newest.Author != "ana" || conflict.Newest.Number != 1 {
		t.Errorf("got newest %+v, want revision 1 by ana", conflict.Newest)
	}
	want := `[model "m" changed: min_copies 1 -> 2]`
	if got := fmt.Sprint(conflict.Differs); got != want {
		t.Errorf("got differences %s, want %s", got, want)
	}
	again, err := c.Publish(ctx, "id-1", 0, "ana", oneModel(1))
	if err != nil || again != first {
		t.Errorf("got %+v, %v for the publish sent again, want %+v", again, err, first)
	}
}

func TestPublishOfBadSetIsRefused(t *testing.T) {
	l := newLedger()
	c := &operator.Client{Entries: []string{startEntry(t, l, "")}}
	_, err := c.Publish(context.Background(), "id-1", 0, "ana", oneModel(7))
	var problems *catalog.ProblemsError
	if !errors.As(err, &problems) {
		t.Fatalf("got error %v, want *ProblemsError", err)
	}
	got, want := problems.Error(), `model "m": field "min_copies" is 7, but place "p" has 3 workers`
	if got != want {
		t.Errorf("got problems %q, want %q", got, want)
	}
	if l.set != nil {
		t.Error("the bad set was published")
	}
}

// An entry that loses the answer is followed by the next under the same ID; with
// no next one, the client must not claim that nothing happened.
func TestPublishWithLostAnswer(t *testing.T) {
	ctx := context.Background()
	lost := &bamboostep.UnavailableError{Operation: "publish", Cause: errors.New("no quorum")}
	tests := map[string]struct {
		known   bool
		entries int
		want    string
	}{
		"next entry knows":   {false, 2, ""},
		"no other entry":     {false, 1, "outcome unknown"},
		"certainly not done": {true, 1, "not done"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			if test.known {
				l.down = &bamboostep.UnavailableError{Operation: "publish", NotApplied: true, Cause: errors.New("no quorum")}
			} else {
				l.lost = lost
			}
			c := &operator.Client{}
			for range test.entries {
				c.Entries = append(c.Entries, startEntry(t, l, ""))
			}
			r, err := c.Publish(ctx, "id-1", 0, "ana", oneModel(1))
			if test.want == "" {
				if err != nil || r.Number != 1 || len(l.revisions) != 1 {
					t.Errorf("got revision %d of %d, %v, want 1 of 1", r.Number, len(l.revisions), err)
				}
				return
			}
			var unreachable *operator.UnreachableError
			if !errors.As(err, &unreachable) || unreachable.Known != test.known {
				t.Errorf("got error %v, want *UnreachableError with Known %t", err, test.known)
			}
		})
	}
}

// A refusal by the ledger is final: nothing is tried again.
func TestRefusalByLedgerIsFinal(t *testing.T) {
	l := newLedger()
	l.down = &ledger.RefusedError{Operation: "publish", Code: "set_too_large", Detail: "9 bytes, at most 8"}
	c := &operator.Client{Entries: []string{startEntry(t, l, "")}, Patience: time.Minute}
	_, err := c.Publish(context.Background(), "id-1", 0, "ana", oneModel(1))
	var remote *operator.RemoteError
	if !errors.As(err, &remote) || remote.Code != "set_too_large" {
		t.Errorf("got error %v, want *RemoteError with code set_too_large", err)
	}
}

func TestEntryThatIsDownIsPassedOver(t *testing.T) {
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	l := newLedger()
	c := &operator.Client{Entries: []string{down.URL, startEntry(t, l, "")}}
	if err := c.Drain(context.Background(), "vm-1", true); err != nil {
		t.Fatal(err)
	}
	if !l.drained["vm-1"] {
		t.Error("the drain was not carried out")
	}
	c.Entries = c.Entries[:1]
	err := c.Drain(context.Background(), "vm-1", false)
	var unreachable *operator.UnreachableError
	if !errors.As(err, &unreachable) || !unreachable.Known {
		t.Errorf("got error %v, want *UnreachableError that is known", err)
	}
}

func TestReads(t *testing.T) {
	ctx := context.Background()
	l := newLedger()
	c := &operator.Client{Entries: []string{startEntry(t, l, "secret")}, Token: "secret"}
	if _, err := c.Publish(ctx, "id-1", 0, "ana", oneModel(1)); err != nil {
		t.Fatal(err)
	}
	set, err := c.Set(ctx)
	if err != nil || set.Revision() != 1 || len(catalog.Diff(set, oneModel(1))) > 0 {
		t.Errorf("got set %v, %v, want the published one", set, err)
	}
	status, err := c.Status(ctx)
	if err != nil || status.Entry != "entry-a" {
		t.Errorf("got status %+v, %v, want that of entry-a", status, err)
	}
	revisions, err := c.Revisions(ctx)
	if err != nil || len(revisions) != 1 {
		t.Errorf("got revisions %v, %v, want one", revisions, err)
	}
	events, err := c.Timeline(ctx, timeline.Query{Request: "r1", Model: "m"})
	if err != nil || len(events) != 1 || events[0].Request != "r1" || events[0].Model != "m" {
		t.Errorf("got events %v, %v, want the one of r1 and m", events, err)
	}
	c.Token = "other"
	_, err = c.Set(ctx)
	var remote *operator.RemoteError
	if !errors.As(err, &remote) || remote.Status != http.StatusUnauthorized || remote.Code != "unauthorized" {
		t.Errorf("got error %v, want status 401 with code unauthorized", err)
	}
}
