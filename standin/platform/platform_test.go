package platform

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

func TestListLags(t *testing.T) {
	now := time.Unix(100, 0)
	live := []bamboostep.VM{{Name: "vm", State: bamboostep.VMLive}}
	leaving := []bamboostep.VM{{Name: "vm", State: bamboostep.VMLeaving}}
	tests := map[string]struct {
		at   time.Duration
		want bamboostep.VMState
	}{
		"before the lag": {5500 * time.Millisecond, bamboostep.VMLive},
		"after the lag":  {6 * time.Second, bamboostep.VMLeaving},
	}
	for name, tt := range tests {
		p := &Platform{Lag: time.Second}
		p.add(now, live)
		p.add(now.Add(5*time.Second), leaving)
		if got := p.asOf(now.Add(tt.at - p.Lag))[0].State; got != tt.want {
			t.Errorf("%s: got %q, want %q", name, got, tt.want)
		}
	}
}
