package dispatch

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// TestNewEntryLearnsRefusals checks that an entry which has just started refuses the
// requests that another entry refuses, and no others.
func TestNewEntryLearnsRefusals(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var running, started CrashSuspects
	for i, attempt := range []bamboostep.AttemptID{"r.1", "r.2"} {
		running.RecordCrash(now.Add(time.Duration(i)*time.Minute), []bamboostep.Suspect{{Fingerprint: 7, Attempt: attempt, VM: "taller-1", Crashes: 1}})
	}
	running.RecordCrash(now, []bamboostep.Suspect{{Fingerprint: 8, Attempt: "s.1", VM: "taller-2", Crashes: 1}})
	now = now.Add(time.Minute)
	if v := running.VerdictFor(now, 7); !v.Refused {
		t.Fatalf("entry that saw both crashes: got %+v, want a refusal", v)
	}
	started.RecordCrash(now, running.Refused(now))
	if v := started.VerdictFor(now, 7); !v.Refused {
		t.Errorf("entry that has just started: got %+v, want a refusal", v)
	}
	if v := started.VerdictFor(now, 8); v != (SuspectVerdict{}) {
		t.Errorf("request seen at one crash only: got %+v, want no restriction", v)
	}
	if got := running.Refused(now.Add(defaultRefuseFor)); len(got) != 0 {
		t.Errorf("when the refusal is over: got %v, want none", got)
	}
}
