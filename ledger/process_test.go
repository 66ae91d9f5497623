package ledger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/ledger"
)

// voterVariable makes the test binary run one voter until it is killed. Its value
// is an encoded voterSettings.
const voterVariable = "LEDGER_TEST_VOTER"

type voterSettings struct {
	Root    string
	Members []ledger.Member
	Own     ledger.Member
}

func TestMain(m *testing.M) {
	text := os.Getenv(voterVariable)
	if text == "" {
		os.Exit(m.Run())
	}
	var s voterSettings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	c := &cluster{t: &testing.B{}, root: s.Root, members: s.Members, running: make(map[string]*process)}
	<-c.start(s.Own).done
}

// startProcess runs a voter in a process of its own.
func (c *cluster) startProcess(m ledger.Member) *exec.Cmd {
	c.t.Helper()
	text, err := json.Marshal(voterSettings{c.root, c.members, m})
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), voterVariable+"="+string(text))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { kill(cmd) })
	return cmd
}

func kill(cmd *exec.Cmd) {
	cmd.Process.Kill()
	cmd.Wait()
}

// A leader that freezes loses the lead though its connections stay open, and
// learns so when it goes on. A leader that is killed, and all voters killed at
// once, lose nothing that was answered. Sent again, a publication gets the first
// answer each time.
func TestVotersAreFrozenAndKilled(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	processes := make(map[string]*exec.Cmd)
	for _, m := range c.members {
		processes[m.Name] = c.startProcess(m)
	}
	node, recorder := newNode("client")
	client := &ledger.Client{Node: node, Members: c.members, Recorder: recorder}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)

	var first []bamboostep.Revision
	publish := func() {
		t.Helper()
		n := uint64(len(first))
		first = append(first, mustPublish(t, client, publication(fmt.Sprint("p", n), n)))
	}
	leader := func() *exec.Cmd {
		c.eventually("a leader", func() bool { name, _ := client.Leader(); return name != "" })
		name, _ := client.Leader()
		return processes[name]
	}

	publish()
	frozen := leader()
	frozen.Process.Signal(syscall.SIGSTOP)
	began := time.Now()
	publish()
	t.Logf("published %v after the leader froze", time.Since(began))
	frozen.Process.Signal(syscall.SIGCONT)
	publish()

	killed, _ := client.Leader()
	kill(processes[killed])
	began = time.Now()
	publish()
	t.Logf("published %v after the leader was killed", time.Since(began))
	for _, p := range processes {
		kill(p)
	}
	for _, m := range c.members {
		processes[m.Name] = c.startProcess(m)
	}
	publish()
	for n, want := range first {
		got := mustPublish(t, client, publication(fmt.Sprint("p", n), uint64(n)))
		if got.Number != want.Number || !got.At.Equal(want.At) || got.Number != uint64(n+1) {
			t.Errorf("publication %d sent again: got %+v, want %+v", n, got, want)
		}
	}
}
