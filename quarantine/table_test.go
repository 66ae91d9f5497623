package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var noon = time.UnixMilli(1_700_000_000_000)

// at returns the record of a request that was at crashes of the named backend servers,
// a second after each other.
func at(content uint64, servers ...string) Record {
	r := Record{Content: content}
	for i, name := range servers {
		r.Crashes = append(r.Crashes, Crash{Address: name, At: noon.Add(time.Duration(i) * 2 * time.Second).UnixMilli()})
	}
	return r
}

// TestWhoIsRefused is one request and what else is known when it comes again.
func TestWhoIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		records []Record // the first is that of the request
		crashes []Crash  // of other causes
		refused time.Duration
		apart   bool
	}{
		"one crash":                        {records: []Record{at(1, "a")}},
		"two crashes":                      {records: []Record{at(1, "a", "b")}, apart: true},
		"three crashes, nobody beside":     {records: []Record{at(1, "a", "b", "c")}, refused: 30 * time.Second, apart: true},
		"four crashes":                     {records: []Record{at(1, "a", "b", "c", "d")}, refused: 10 * time.Minute, apart: true},
		"five crashes":                     {records: []Record{at(1, "a", "b", "c", "d", "e")}, refused: 24 * time.Hour, apart: true},
		"three, another at one of them":    {records: []Record{at(1, "a", "b", "c"), at(2, "a")}, refused: 30 * time.Second, apart: true},
		"three, another at all of them":    {records: []Record{at(1, "a", "b", "c"), at(2, "a", "b", "c")}, refused: 2 * time.Second, apart: true},
		"beside one that was at more":      {records: []Record{at(1, "a", "b"), at(2, "a", "b", "c", "d")}},
		"beside one that was at as many":   {records: []Record{at(1, "a", "b"), at(2, "a", "b")}, apart: true},
		"three, in a storm of crashes":     {records: []Record{at(1, "a", "b", "c")}, crashes: at(0, "x", "y", "z").Crashes, refused: 2 * time.Second, apart: true},
		"three, in a storm that was later": {records: []Record{at(1, "a", "b", "c")}, crashes: at(0, "", "", "", "", "x", "y", "z").Crashes[4:], refused: 30 * time.Second, apart: true},
		"cleared":                          {records: []Record{at(1, "a", "b", "c"), {Content: 1, Passed: noon.Add(time.Minute).UnixMilli()}}},
	} {
		t.Run(name, func(t *testing.T) {
			var table Table
			table.NoteCrashes(c.crashes)
			table.Note(noon, c.records)
			first := c.records[0]
			got := table.Judge(time.UnixMilli(first.last()), 1)
			if got.Refused != (c.refused > 0) || got.RetryAfter != c.refused || got.Apart != c.apart {
				t.Errorf("got %+v, want refused for %v, apart %v", got, c.refused, c.apart)
			}
			later := table.Judge(time.UnixMilli(first.last()).Add(c.refused), 1)
			if later.Refused || later.Trial != (c.refused > 0) {
				t.Errorf("when that is over: got %+v, want a trial if it was refused", later)
			}
		})
	}
}

// TestNewsInAnyOrder has the same news come in any order, more than once, and one crash as
// two entries saw it: the tables agree.
func TestNewsInAnyOrder(t *testing.T) {
	seen := Crash{Address: "b", At: noon.Add(2*time.Second + 300*time.Millisecond).UnixMilli()}
	news := []Record{at(1, "a"), at(1, "a", "b"), {Content: 1, Crashes: []Crash{seen}}, at(2, "a"), {Content: 2, Passed: noon.UnixMilli()}, at(1, "a", "b", "c")}
	var want string
	for turn := range len(news) {
		var table Table
		for i := range 2 * len(news) {
			table.Note(noon, news[(i+turn)%len(news):][:1])
		}
		got := fmt.Sprint(table.Judge(noon.Add(10*time.Second), 1), table.Judge(noon, 2))
		if want == "" {
			want = got
		}
		if got != want {
			t.Errorf("news from the one numbered %d on: got %s, want %s", turn, got, want)
		}
	}
}

// TestStormCostsLittleMemory has far more suspects of one crash than are kept: those that
// were at more crashes stay.
func TestStormCostsLittleMemory(t *testing.T) {
	var table Table
	table.Note(noon, []Record{at(1, "a", "b", "c")})
	for i := range 3 * maxRecords {
		table.Note(noon.Add(time.Minute), []Record{{Content: uint64(10 + i), Crashes: []Crash{{Address: fmt.Sprint(i % 700), At: noon.Add(time.Minute).UnixMilli()}}}})
	}
	if got := len(table.All()); got > maxRecords {
		t.Errorf("records: got %d, want at most %d", got, maxRecords)
	}
	if got := len(table.known); got > maxKnown {
		t.Errorf("crashes: got %d, want at most %d", got, maxKnown)
	}
	if v := table.Judge(noon.Add(5*time.Second), 1); !v.Refused {
		t.Errorf("request at three crashes: got %+v, want it refused", v)
	}
}

// TestEntriesHearOfSuspectsOnly bounds what a storm of crashes costs all entries.
func TestEntriesHearOfSuspectsOnly(t *testing.T) {
	var table Table
	table.Note(noon, []Record{at(1, "a"), at(2, "a", "b")})
	first, _ := table.since(0)
	if got := contents(first.Records); !slices.Equal(got, []uint64{2}) {
		t.Errorf("told at first: got %v, want 2", got)
	}
	if again, _ := table.since(first.Number); len(again.Records) != 0 || len(again.Crashes) != 0 {
		t.Errorf("told again: got %+v, want nothing", again)
	}
	table.Passed(noon.Add(time.Minute), 2)
	if then, _ := table.since(first.Number); len(then.Records) != 1 || then.Records[0].Passed == 0 {
		t.Errorf("told after it passed: got %+v, want that it did", then.Records)
	}
}

func contents(records []Record) []uint64 {
	var list []uint64
	for _, r := range records {
		list = append(list, r.Content)
	}
	slices.Sort(list)
	return list
}

// TestOneTriesAtATime has several processes ask whether they may try a request.
func TestOneTriesAtATime(t *testing.T) {
	var table Table
	table.Note(noon, []Record{at(1, "a", "b", "c")})
	if !table.grant(noon, 1) || table.grant(noon.Add(trialTime/2), 1) {
		t.Error("got another trial before the first can have ended, want one")
	}
	if !table.grant(noon.Add(trialTime), 1) {
		t.Error("got no trial after the first, want one")
	}
}
