package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var baseTime = time.UnixMilli(1_700_000_000_000)

// crashRecord returns the record of a request with a crash on each of the servers, two
// seconds apart.
func crashRecord(fingerprint uint64, servers ...string) Record {
	r := Record{Fingerprint: fingerprint}
	for i, name := range servers {
		r.Crashes = append(r.Crashes, Crash{Address: name, At: baseTime.Add(time.Duration(i) * 2 * time.Second).UnixMilli()})
	}
	return r
}

// TestEvaluate checks the verdict on one request given its crashes, those of other requests
// and unrelated crashes.
func TestEvaluate(t *testing.T) {
	for name, c := range map[string]struct {
		records []Record // the first is that of the request under test
		crashes []Crash  // unrelated crashes
		refused time.Duration
		apart   bool
	}{
		"one crash":                       {records: []Record{crashRecord(1, "a")}},
		"two crashes":                     {records: []Record{crashRecord(1, "a", "b")}, apart: true},
		"three crashes, no other suspect": {records: []Record{crashRecord(1, "a", "b", "c")}, refused: 30 * time.Second, apart: true},
		"four crashes":                    {records: []Record{crashRecord(1, "a", "b", "c", "d")}, refused: 10 * time.Minute, apart: true},
		"five crashes":                    {records: []Record{crashRecord(1, "a", "b", "c", "d", "e")}, refused: 24 * time.Hour, apart: true},
		"three, another at one of them":   {records: []Record{crashRecord(1, "a", "b", "c"), crashRecord(2, "a")}, refused: 30 * time.Second, apart: true},
		"three, another at all of them":   {records: []Record{crashRecord(1, "a", "b", "c"), crashRecord(2, "a", "b", "c")}, refused: 2 * time.Second, apart: true},
		"two shared with a culprit":       {records: []Record{crashRecord(1, "a", "b"), crashRecord(2, "a", "b", "c", "d")}},
		"two, another at both":            {records: []Record{crashRecord(1, "a", "b"), crashRecord(2, "a", "b")}, apart: true},
		"three, with unrelated crashes":   {records: []Record{crashRecord(1, "a", "b", "c")}, crashes: crashRecord(0, "x", "y", "z").Crashes, refused: 2 * time.Second, apart: true},
		"three, before unrelated crashes": {records: []Record{crashRecord(1, "a", "b", "c")}, crashes: crashRecord(0, "", "", "", "", "x", "y", "z").Crashes[4:], refused: 30 * time.Second, apart: true},
		"cleared":                         {records: []Record{crashRecord(1, "a", "b", "c"), {Fingerprint: 1, ClearedAt: baseTime.Add(time.Minute).UnixMilli()}}},
	} {
		t.Run(name, func(t *testing.T) {
			var table Table
			table.MergeCrashes(c.crashes)
			table.Merge(baseTime, c.records)
			first := c.records[0]
			got := table.Evaluate(time.UnixMilli(first.lastCrash()), 1)
			if got.Refused != (c.refused > 0) || got.RetryAfter != c.refused || got.Isolated != c.apart {
				t.Errorf("got %+v, want refused for %v, apart %v", got, c.refused, c.apart)
			}
			later := table.Evaluate(time.UnixMilli(first.lastCrash()).Add(c.refused), 1)
			if later.Refused || later.Trial != (c.refused > 0) {
				t.Errorf("after the refusal: got %+v, want a trial if it was refused", later)
			}
		})
	}
}

// TestMergeOrderDoesNotMatter delivers the same records in different orders and more than
// once, including one crash as two entries observed it, and checks that the tables agree.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	secondView := Crash{Address: "b", At: baseTime.Add(2*time.Second + 300*time.Millisecond).UnixMilli()}
	records := []Record{crashRecord(1, "a"), crashRecord(1, "a", "b"), {Fingerprint: 1, Crashes: []Crash{secondView}}, crashRecord(2, "a"), {Fingerprint: 2, ClearedAt: baseTime.UnixMilli()}, crashRecord(1, "a", "b", "c")}
	var want string
	for offset := range len(records) {
		var table Table
		for i := range 2 * len(records) {
			table.Merge(baseTime, records[(i+offset)%len(records):][:1])
		}
		got := fmt.Sprint(table.Evaluate(baseTime.Add(10*time.Second), 1), table.Evaluate(baseTime, 2))
		if want == "" {
			want = got
		}
		if got != want {
			t.Errorf("starting at record %d: got %s, want %s", offset, got, want)
		}
	}
}

// TestTableSizeIsBounded adds far more suspects with one crash than the table keeps, and
// checks that a record with more crashes is kept.
func TestTableSizeIsBounded(t *testing.T) {
	var table Table
	table.Merge(baseTime, []Record{crashRecord(1, "a", "b", "c")})
	for i := range 3 * maxRecords {
		table.Merge(baseTime.Add(time.Minute), []Record{{Fingerprint: uint64(10 + i), Crashes: []Crash{{Address: fmt.Sprint(i % 700), At: baseTime.Add(time.Minute).UnixMilli()}}}})
	}
	if got := len(table.Records()); got > maxRecords {
		t.Errorf("records: got %d, want at most %d", got, maxRecords)
	}
	if got := len(table.crashesByTime); got > maxKnownCrashes {
		t.Errorf("crashes: got %d, want at most %d", got, maxKnownCrashes)
	}
	if v := table.Evaluate(baseTime.Add(5*time.Second), 1); !v.Refused {
		t.Errorf("request at three crashes: got %+v, want it refused", v)
	}
}

// TestChangesSinceContainsOnlySuspects checks that entries receive only records with
// suspectThreshold crashes or more. This bounds the traffic when many backend servers crash.
func TestChangesSinceContainsOnlySuspects(t *testing.T) {
	var table Table
	table.Merge(baseTime, []Record{crashRecord(1, "a"), crashRecord(2, "a", "b")})
	first, _ := table.changesSince(0)
	if got := fingerprints(first.Records); !slices.Equal(got, []uint64{2}) {
		t.Errorf("first changes: got %v, want 2", got)
	}
	if again, _ := table.changesSince(first.Version); len(again.Records) != 0 || len(again.Crashes) != 0 {
		t.Errorf("changes since the first: got %+v, want none", again)
	}
	table.Clear(baseTime.Add(time.Minute), 2)
	if then, _ := table.changesSince(first.Version); len(then.Records) != 1 || then.Records[0].ClearedAt == 0 {
		t.Errorf("changes after clearing: got %+v, want the cleared record", then.Records)
	}
}

func fingerprints(records []Record) []uint64 {
	var list []uint64
	for _, r := range records {
		list = append(list, r.Fingerprint)
	}
	slices.Sort(list)
	return list
}

// TestOneTrialAtATime requests a trial again before and after the first one has expired.
func TestOneTrialAtATime(t *testing.T) {
	var table Table
	table.Merge(baseTime, []Record{crashRecord(1, "a", "b", "c")})
	if !table.grantTrial(baseTime, SuspectID{Fingerprint: 1}, 0) || table.grantTrial(baseTime.Add(trialDuration/2), SuspectID{Fingerprint: 1}, 0) {
		t.Error("got a second trial before the first expired, want one")
	}
	if !table.grantTrial(baseTime.Add(trialDuration), SuspectID{Fingerprint: 1}, 0) {
		t.Error("got no trial after the first expired, want one")
	}
}
