package ledger

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
)

func claimOf(name, attempt string) command {
	return command{Claim: &bamboostep.Claim{Name: name, Attempt: bamboostep.AttemptID(attempt), Retention: time.Hour}}
}

func settlementOf(name, attempt string, outcome bamboostep.Outcome, body string) command {
	return command{Settle: &bamboostep.Settlement{
		Name:    name,
		Attempt: bamboostep.AttemptID(attempt),
		Outcome: outcome,
		Status:  201,
		Body:    []byte(body),
	}}
}

func (c command) after(d time.Duration) command {
	c.Elapsed = d
	return c
}

// applyAll applies commands and writes what each gave.
func applyAll(t testing.TB, m *machine, commands []command) string {
	t.Helper()
	var text string
	for _, c := range commands {
		data, err := c.encode()
		if err != nil {
			t.Fatal(err)
		}
		r := m.apply(entry{Index: m.state.index + 1, Term: 1, Kind: entryCommand, Data: data})
		if r.Refused != "" {
			text += r.Refused + "; "
			continue
		}
		if c.Claim != nil {
			s := r.Claim.Settlement
			text += fmt.Sprintf("%s by %s %s%d%s; ", r.Claim.State, r.Claim.Holder, s.Outcome, s.Status, s.Body)
		}
	}
	return text
}

func TestClaims(t *testing.T) {
	const ran, notRun, unknown = bamboostep.Ran, bamboostep.NotRun, bamboostep.Unknown
	long := string(make([]byte, maxAnswerBytes+1))
	tests := map[string]struct {
		commands []command
		want     string
	}{
		"one attempt only": {
			[]command{claimOf("n", "x"), claimOf("n", "y"), claimOf("n", "x")},
			"granted by x 0; held by x 0; granted by x 0; ",
		},
		"the answer is kept": {
			[]command{claimOf("n", "x"), settlementOf("n", "x", ran, "ok"), claimOf("n", "y"), claimOf("n", "x")},
			"granted by x 0; settled by x ran201ok; settled by x ran201ok; ",
		},
		"until its time has passed": {
			[]command{
				claimOf("n", "x"),
				settlementOf("n", "x", ran, "ok").after(time.Minute),
				claimOf("n", "y").after(time.Hour),
				claimOf("n", "y").after(time.Hour + time.Minute),
			},
			"granted by x 0; settled by x ran201ok; granted by y 0; ",
		},
		"a settlement sent again keeps the first answer and time": {
			[]command{
				claimOf("n", "x"),
				settlementOf("n", "x", ran, "ok"),
				settlementOf("n", "x", ran, "other").after(30 * time.Minute),
				claimOf("n", "y").after(59 * time.Minute),
				claimOf("n", "y").after(time.Hour),
			},
			"granted by x 0; settled by x ran201ok; granted by y 0; ",
		},
		"not run frees the name, and a late claim of that attempt does not take it": {
			[]command{claimOf("n", "x"), settlementOf("n", "x", notRun, ""), claimOf("n", "x"), claimOf("n", "y")},
			"granted by x 0; settled by x not_run0; granted by y 0; ",
		},
		"not run before the claim arrives": {
			[]command{settlementOf("n", "x", notRun, ""), claimOf("n", "x"), claimOf("n", "y")},
			"settled by x not_run0; granted by y 0; ",
		},
		"a name that ran is not freed": {
			[]command{claimOf("n", "x"), settlementOf("n", "x", ran, "ok"), settlementOf("n", "x", notRun, ""), claimOf("n", "y")},
			"granted by x 0; not_holder; settled by x ran201ok; ",
		},
		"unknown stays taken, and may become known": {
			[]command{
				claimOf("n", "x"),
				settlementOf("n", "x", unknown, ""),
				claimOf("n", "y").after(1000 * time.Hour),
				settlementOf("n", "x", ran, "ok"),
				claimOf("n", "y"),
			},
			"granted by x 0; settled by x unknown201; settled by x ran201ok; ",
		},
		"only the holder settles": {
			[]command{claimOf("n", "x"), settlementOf("n", "y", ran, ""), settlementOf("m", "y", ran, "")},
			"granted by x 0; not_holder; not_holder; ",
		},
		"an answer that is too long is not kept, but the name is": {
			[]command{claimOf("n", "x"), settlementOf("n", "x", ran, long), claimOf("n", "y")},
			"granted by x 0; settled by x ran0; ",
		},
		"a leader whose clock is behind does not turn time back": {
			[]command{
				claimOf("n", "x").after(time.Hour),
				settlementOf("n", "x", ran, "ok").after(time.Minute),
				claimOf("n", "y").after(2*time.Hour - 1),
			},
			"granted by x 0; settled by x ran201ok; ",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := applyAll(t, newMachine(), test.commands); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// A full table refuses new names, frees none that ran, and makes room only from
// names that were left unsettled for long.
func TestClaimsAreBounded(t *testing.T) {
	m := newMachine()
	applyAll(t, m, []command{claimOf("left", "x"), claimOf("ran", "x"), settlementOf("ran", "x", bamboostep.Ran, "ok")})
	for i := len(m.claims.taken); i < maxClaims; i++ {
		m.claims.claim(bamboostep.Claim{Name: fmt.Sprint(i), Attempt: "x"}, time.Minute)
	}
	soon, late := staleAfter-1, staleAfter
	got := applyAll(t, m, []command{
		claimOf("new", "y").after(soon),
		claimOf("left", "y").after(soon),
	})
	if want := "granted by y 0; held by x 0; "; got != want {
		t.Errorf("with room from the expired name: got %q, want %q", got, want)
	}
	got = applyAll(t, m, []command{
		claimOf("newer", "y").after(soon),
		claimOf("newer", "y").after(late),
		claimOf("left", "y").after(late),
	})
	if want := "claims_full; granted by y 0; claims_full; "; got != want {
		t.Errorf("when full: got %q, want %q", got, want)
	}
}

// A machine that was restored from a snapshot goes on exactly like the one that
// was not.
func TestSnapshotOfMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept, restored := newMachine(), newMachine()
		var now time.Duration
		for i := range rapid.IntRange(1, 200).Draw(t, "commands") {
			op := drawCommand(t, i)
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "minutes")) * time.Minute
			op.Elapsed = now
			data, err := op.encode()
			if err != nil {
				t.Fatal(err)
			}
			e := entry{Index: uint64(i + 1), Term: 1, Data: data, Kind: entryCommand}
			if a, b := kept.apply(e), restored.apply(e); !reflect.DeepEqual(a, b) {
				t.Fatalf("command %d: restored machine gave %+v, want %+v", i, b, a)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				restored = mustRestore(t, restored)
			}
		}
		if a, b := mustEncode(t, kept), mustEncode(t, restored); !bytes.Equal(a, b) {
			t.Error("restored machine differs at the end")
		}
	})
}

func drawCommand(t *rapid.T, i int) command {
	name := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "name"))
	attempt := fmt.Sprint("x", rapid.IntRange(0, 3).Draw(t, "attempt"))
	outcomes := []bamboostep.Outcome{bamboostep.NotRun, bamboostep.Ran, bamboostep.Unknown}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return claimOf(name, attempt)
	case 1:
		return settlementOf(name, attempt, rapid.SampledFrom(outcomes).Draw(t, "outcome"), fmt.Sprint(i))
	case 2:
		return command{Drain: &drainCommand{ID: attempt, VM: name, Leaving: i%2 == 0}}
	}
	p := bamboostep.Publication{ID: fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id")), BaseRevision: uint64(rapid.IntRange(0, 5).Draw(t, "based"))}
	return command{Publish: &p}
}

func mustEncode(t *rapid.T, m *machine) []byte {
	data, err := m.encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func mustRestore(t *rapid.T, m *machine) *machine {
	restored, err := decodeMachine(mustEncode(t, m))
	if err != nil {
		t.Fatal(err)
	}
	return restored
}
