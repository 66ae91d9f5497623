package daemon

import (
	"syscall"
	"testing"
)

// Guards against a port that takes all descriptors of a process, or more than its memory is enough for.
func TestConnectionsOfPort(t *testing.T) {
	const mib = 1 << 20
	for name, c := range map[string]struct {
		resources   Resources
		part        float64
		want, admin int
	}{
		"no limits":                  {Resources{}, CallersPart, 0, adminConnections},
		"memory alone":               {Resources{Memory: Memory{Bytes: 96 * mib}}, CallersPart, 1024, adminConnections},
		"descriptors alone":          {Resources{Descriptors: 1000}, CallersPart, 300, 20},
		"memory for fewer":           {Resources{Memory{Bytes: 9 * mib}, 1000}, CallersPart, 96, 20},
		"descriptors for fewer":      {Resources{Memory{Bytes: 284 * mib}, 1000}, VoterPeersPart, 400, 20},
		"a setting":                  {Resources{Memory{Bytes: 96 * mib, Connections: 50}, 1000}, CallersPart, 50, 20},
		"a setting beyond the limit": {Resources{Memory{Connections: 5000}, 1000}, CallersPart, 300, 20},
		"hardly any":                 {Resources{Descriptors: 10}, AdminPart, minConnections, minConnections},
		"a users' VM":                {Resources{Memory{Bytes: 284 * mib}, 3900}, CallersPart, 1170, adminConnections},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.resources.Connections(c.part); got != c.want {
				t.Errorf("connections: got %d, want %d", got, c.want)
			}
			if got := c.resources.AdminConnections(); got != c.admin {
				t.Errorf("connections of a port of metrics: got %d, want %d", got, c.admin)
			}
		})
	}
}

// Guards against parts that together are more than there is: callers with their backend servers, and each role's ports, leave a tenth at least.
func TestPartsLeaveDescriptorsForTheProcess(t *testing.T) {
	for role, used := range map[string]float64{
		"entry":                       2*CallersPart + IdleServersPart + 2*AdminPart,
		"entry of the own interface":  2*CallersPart + EntryPeersPart + EntryOperatorPart,
		"voter":                       VoterPeersPart + VoterOperatorPart + AdminPart,
		"holder and agent beside one": HolderPeersPart + AdminPart,
	} {
		if used > 0.9 {
			t.Errorf("%s: its ports use %.2f of the descriptors, want at most 0.9", role, used)
		}
	}
}

func TestProcessDescriptors(t *testing.T) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if got := ProcessDescriptors(100); got <= 0 || got > 100 {
		t.Errorf("with a setting of 100: got %d, want at most that", got)
	}
	if got := ProcessDescriptors(0); uint64(got) > limit.Cur {
		t.Errorf("without a setting: got %d, want at most the system's %d", got, limit.Cur)
	}
}
