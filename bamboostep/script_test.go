package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/operator"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/timeline"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bamboostep": main})
}

// The scripts have four commands of their own:
//
//	entry [lose|refuse]   starts an entry with an empty ledger and points
//	                      BAMBOOSTEP_ENTRY at it; with an argument, the running
//	                      one loses the next answer or refuses all commands
//	voter FILE            starts a voter with these routes in force and points
//	                      VOTER at it; without a file, one that has none
//	exits STATUS COMMAND  runs a command that must end with this status
//	mistakes DIR          checks that the mistakes of a folder are just those
//	                      that its files announce with "#! MISTAKE" behind a line
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("USER", "ana")
			env.Values[ledgerKey] = new(ledgerSlot)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"entry":    startOrBreakEntry,
			"voter":    startVoter,
			"exits":    checkExit,
			"mistakes": checkMistakes,
		},
	})
}

// memoryLedger is a ledger of one process, without a disk.
type memoryLedger struct {
	mu        sync.Mutex
	sets      []*catalog.Set
	revisions []bamboostep.Revision
	drained   map[string]bool
	lose      bool // the next answer
	refuse    bool
}

func (l *memoryLedger) Publish(_ context.Context, p bamboostep.Publication) (bamboostep.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse {
		return bamboostep.Revision{}, &bamboostep.UnavailableError{Operation: "publish", NotApplied: true, Cause: errors.New("no quorum")}
	}
	i := slices.IndexFunc(l.revisions, func(r bamboostep.Revision) bool { return r.ID == p.ID })
	if i < 0 {
		n := uint64(len(l.revisions))
		if n != p.BaseRevision {
			return bamboostep.Revision{}, &bamboostep.ConflictError{BaseRevision: p.BaseRevision, Newest: l.revisions[n-1]}
		}
		set, err := catalog.Decode(p.Set)
		if err != nil {
			return bamboostep.Revision{}, err
		}
		l.sets = append(l.sets, set.WithRevision(n+1))
		l.revisions = append(l.revisions, bamboostep.Revision{Number: n + 1, ID: p.ID, Author: p.Author, At: time.Unix(0, 0)})
		i = int(n)
	}
	if l.lose {
		l.lose = false
		return bamboostep.Revision{}, &bamboostep.UnavailableError{Operation: "publish", Cause: errors.New("leader went away")}
	}
	return l.revisions[i], nil
}

func (l *memoryLedger) Drain(_ context.Context, vm string, leaving bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained[vm] = leaving
	return nil
}

func (l *memoryLedger) Claim(context.Context, bamboostep.Claim) (bamboostep.ClaimResult, error) {
	return bamboostep.ClaimResult{}, errors.ErrUnsupported
}

func (l *memoryLedger) Settle(context.Context, bamboostep.Settlement) error {
	return errors.ErrUnsupported
}

var _ bamboostep.Ledger = (*memoryLedger)(nil)

func (l *memoryLedger) newest() *catalog.Set {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sets) == 0 {
		return nil
	}
	return l.sets[len(l.sets)-1]
}

func (l *memoryLedger) status() operator.Status {
	s := operator.Status{
		Entry: "entry-a", Leader: "entry-a", Term: 3,
		Voters: []operator.VoterStatus{{Name: "entry-a", Reachable: true}, {Name: "entry-b"}},
		VMs: []operator.VMStatus{{Name: "vm-1", Place: "taller", FailureDomain: "a", State: operator.VMReady,
			MemoryMiB: 100, ReservedMiB: 60, HeldMiB: 50}},
	}
	if l.drained["vm-1"] {
		s.VMs[0].State = operator.VMDrained
	}
	set := l.newest()
	if set == nil {
		return s
	}
	s.Revision = set.Revision()
	for _, m := range set.Objects().Models {
		s.Models = append(s.Models, operator.ModelStatus{Kind: catalog.KindModel, Name: m.Name, Place: m.Place, Wanted: m.MinCopies,
			Copies: []operator.CopyStatus{
				{VM: "vm-1", State: bamboostep.ReplicaResident, Ready: true},
				{VM: "vm-2", State: bamboostep.ReplicaLoading, Ready: true},
				{VM: "vm-3", State: bamboostep.ReplicaResident},
			}})
	}
	return s
}

func (l *memoryLedger) events(_ context.Context, q timeline.Query) []timeline.Event {
	noon := timeline.Stamp(12*time.Hour/time.Millisecond) << 16
	return []timeline.Event{{Stamp: noon, Process: "entry-a", Kind: "offer_sent", Request: q.Request, Model: q.Model, VM: "vm-1", Term: 3}}
}

// ledgerSlot holds the ledger of the entry that a script started.
type ledgerSlot struct{ ledger *memoryLedger }

const ledgerKey = "ledger"

func startOrBreakEntry(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) == 1 {
		l := ts.Value(ledgerKey).(*ledgerSlot).ledger
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lose = args[0] == "lose"
		l.refuse = args[0] == "refuse"
		return
	}
	l := &memoryLedger{drained: make(map[string]bool)}
	s := httptest.NewServer(&operator.Handler{
		Ledger: l, Set: l.newest, Status: l.status, Timeline: l.events,
		Revisions: func() []bamboostep.Revision { return l.revisions },
	})
	ts.Defer(s.Close)
	ts.Setenv(envEntry, s.URL)
	ts.Value(ledgerKey).(*ledgerSlot).ledger = l
}

func startVoter(ts *testscript.TestScript, neg bool, args []string) {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PatternReadRoutes, func(w http.ResponseWriter, r *http.Request) {
		if len(args) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		http.ServeFile(w, r, ts.MkAbs(args[0]))
	})
	s := httptest.NewServer(mux)
	ts.Defer(s.Close)
	ts.Setenv("VOTER", s.URL)
}

func checkExit(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	err = ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("got exit status %d (%v), want %d", got, err, want)
	}
}

func checkMistakes(ts *testscript.TestScript, neg bool, args []string) {
	dir := ts.MkAbs(args[0])
	want := announcedMistakes(ts, dir)
	var got []string
	_, err := catalog.Load(dir)
	var problems *catalog.ProblemsError
	if errors.As(err, &problems) {
		for _, p := range problems.Problems {
			file, line := p.File, p.Line
			p.File, p.Line = "", 0
			got = append(got, fmt.Sprintf("%s:%d: %s", file, line, p))
		}
	}
	if !slices.Equal(got, want) {
		ts.Fatalf("got %v\n%s\nwant\n%s", err, strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func announcedMistakes(ts *testscript.TestScript, dir string) []string {
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	ts.Check(err)
	var want []string
	for _, file := range files {
		text, err := os.ReadFile(file)
		ts.Check(err)
		for i, line := range strings.Split(string(text), "\n") {
			if _, mistake, ok := strings.Cut(line, "#! "); ok {
				want = append(want, fmt.Sprintf("%s:%d: %s", filepath.Base(file), i+1, mistake))
			}
		}
	}
	return want
}
