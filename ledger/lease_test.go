package ledger

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
)

// TestLease is a process whose last proof is so old, and which may have been suspended
// since it was last asked.
func TestLease(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		length  time.Duration
		proof   time.Duration // age; below 0 for none
		slept   time.Duration
		renewed bool // a proof has come since it woke
		want    bool
	}{
		"proved just now":                    {length: 4 * time.Second, want: true},
		"proved within the lease":            {length: 4 * time.Second, proof: 3900 * time.Millisecond, want: true},
		"proved too long ago":                {length: 4 * time.Second, proof: 4 * time.Second},
		"never proved":                       {length: 4 * time.Second, proof: -1},
		"never proved, none needed":          {proof: -1, want: true},
		"suspended since":                    {length: 4 * time.Second, proof: 10 * time.Millisecond, slept: 30 * time.Second},
		"suspended since, for a moment":      {length: 4 * time.Second, proof: 10 * time.Millisecond, slept: 10 * time.Millisecond, want: true},
		"suspended, and proved after waking": {length: 4 * time.Second, proof: 10 * time.Millisecond, slept: 30 * time.Second, renewed: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			client := &Client{}
			client.init()
			if c.proof >= 0 {
				client.noteProved(proof{at: now.Add(-c.proof)})
			}
			slept := time.Hour
			l := &Lease{Client: client, For: c.length, suspended: func() time.Duration { return slept }}
			l.Valid(now.Add(-c.proof))
			slept += c.slept
			got := l.Valid(now)
			if c.renewed {
				client.noteProved(proof{at: now.Add(time.Second)})
				got = l.Valid(now.Add(2 * time.Second))
			}
			if got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	if !(*Lease)(nil).Valid(now) {
		t.Error("no lease at all: got false, want true")
	}
}

// TestProofComesAfterWhatItProves guards against a key that was taken away and is in use
// again for a moment: a process that was cut off for long gets a newer state, which must be
// in force before it counts as proved.
func TestProofComesAfterWhatItProves(t *testing.T) {
	c := &Client{Recorder: &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}}
	c.init()
	before := time.Now()
	applied := false
	c.Applied = func(*State) {
		applied = true
		if !c.Current().IsZero() {
			t.Errorf("while the state is put in force: got it proved at %v, want not yet", c.Current())
		}
	}
	c.take(encodedState{Content: 1}.state(), watchReply{Changed: true}, proof{at: before})
	if !applied || !c.Current().Equal(before) {
		t.Errorf("got applied %v, proved at %v, want it applied and proved at %v", applied, c.Current(), before)
	}
}
