package dispatch

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// TestRefusedIsTakenOver has an entry that has just started hear what another refuses.
func TestRefusedIsTakenOver(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var old, fresh Suspects
	for i, attempt := range []bamboostep.AttemptID{"r.1", "r.2"} {
		old.Note(now.Add(time.Duration(i)*time.Minute), []bamboostep.Suspect{{Fingerprint: 7, Attempt: attempt, VM: "taller-1", Crashes: 1}})
	}
	old.Note(now, []bamboostep.Suspect{{Fingerprint: 8, Attempt: "s.1", VM: "taller-2", Crashes: 1}})
	now = now.Add(time.Minute)
	if v := old.Judge(now, 7); !v.Refused {
		t.Fatalf("entry that saw both crashes: got %+v, want a refusal", v)
	}
	fresh.Note(now, old.Refused(now))
	if v := fresh.Judge(now, 7); !v.Refused {
		t.Errorf("entry that has just started: got %+v, want a refusal", v)
	}
	if v := fresh.Judge(now, 8); v != (Verdict{}) {
		t.Errorf("request that was beside it: got %+v, want it to run as any other", v)
	}
	if got := old.Refused(now.Add(defaultRefuseFor)); len(got) != 0 {
		t.Errorf("when the refusal is over: got %v, want none", got)
	}
}
