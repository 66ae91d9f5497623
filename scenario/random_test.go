package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bamboostep/bamboostep/internal/seed"
)

// Scenarios whose faults are drawn from a seed, in the language of the others. At any
// time at most one worker is in trouble, and one entry, which no load goes through:
// then every request of the loads must be whole, orders run at most once, and what was
// published is in force everywhere in the end.

const (
	randomScenarios = 2
	leastSteps      = 10
	mostSteps       = 14
)

func TestRandomFaults(t *testing.T) {
	dir := t.TempDir()
	first := seed.Value()
	for n := range uint64(randomScenarios) {
		file := filepath.Join(dir, fmt.Sprintf("seed_%d_%d.txtar", first, n))
		if err := os.WriteFile(file, []byte(drawScript(first, n)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		Setup:               setUpScenario,
		Cmds:                scenarioCommands,
	})
}

// fault is one kind of trouble and what ends it, in the language of scenarios.
type fault struct{ begin, end string }

// PROCESS stands for a process and BACKEND for its VM's backend server.
var (
	entryFaults = []fault{
		{"sigkill PROCESS", "start PROCESS"},
		{"freeze PROCESS", "thaw PROCESS"},
		{"cut PROCESS *", "heal PROCESS *"},
		{"silence PROCESS *", "heal PROCESS *"},
	}
	workerFaults = []fault{
		{"sigkill PROCESS", "start PROCESS"},
		{"freeze PROCESS", "thaw PROCESS"},
		{"cut PROCESS *", "heal PROCESS *"},
		{"silence PROCESS *", "heal PROCESS *"},
		{"sigkill BACKEND", "start BACKEND\nanswering BACKEND"},
		{"freeze BACKEND", "thaw BACKEND"},
	}
)

// script is a scenario that is being drawn.
type script struct {
	rand     *rand.Rand
	lines    []string
	sound    [2]string // entries without trouble
	troubled string    // the third
	ends     struct{ entry, worker string }
	orders   [][]string // names of the calls of each order
	revision int
}

func drawScript(first, n uint64) string {
	s := &script{rand: rand.New(rand.NewPCG(first, n)), sound: [2]string{"entry-a", "entry-b"}, troubled: "entry-c", revision: 1}
	if s.rand.IntN(2) == 0 {
		s.sound[1], s.troubled = s.troubled, s.sound[1]
	}
	s.begin()
	for range leastSteps + s.rand.IntN(mostSteps-leastSteps+1) {
		s.step()
	}
	s.finish()
	return strings.Join(s.lines, "\n") + "\n"
}

func (s *script) add(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

func (s *script) begin() {
	s.add("cluster")
	s.add("operate entry-a publish examples/demo")
	s.add("placed entry-a consulta presupuesto")
	s.add("revision entry-b 1 6s")
	s.add("revision entry-c 1 6s")
	s.add("load questions %s,%s consulta 10", s.sound[0], s.sound[1])
	s.add("load quotes %s,%s presupuesto 5", s.sound[1], s.sound[0])
	s.add("answered questions 5")
}

func (s *script) step() {
	switch n := s.rand.IntN(20); {
	case n < 5:
		s.order()
	case n < 10:
		s.toggle(&s.ends.entry, entryFaults, s.troubled, "")
	case n < 17:
		i := 1 + s.rand.IntN(3)
		s.toggle(&s.ends.worker, workerFaults, fmt.Sprintf("agent-taller-%d", i), fmt.Sprintf("engine-%d", i))
	default:
		s.publish()
	}
	if s.rand.IntN(2) == 0 {
		s.add("answered questions %d", 3+s.rand.IntN(20))
	}
}

// toggle ends the trouble that end describes, or begins another.
func (s *script) toggle(end *string, faults []fault, process, backend string) {
	if *end != "" {
		s.add("%s", *end)
		*end = ""
		s.awaitCopies()
		return
	}
	f := faults[s.rand.IntN(len(faults))]
	names := strings.NewReplacer("PROCESS", process, "BACKEND", backend)
	s.add("%s", names.Replace(f.begin))
	*end = names.Replace(f.end)
}

// awaitCopies waits until every wanted copy is there again, so that the next worker in
// trouble never holds the only one.
func (s *script) awaitCopies() {
	if s.ends.worker != "" {
		return
	}
	s.add("version consulta consulta-v1 60s")
	s.add("version presupuesto presupuesto-v1 60s")
}

// order sends one order up to three times, to any entry.
func (s *script) order() {
	n := len(s.orders)
	entries := []string{s.sound[0], s.sound[1], s.troubled}
	var calls []string
	for i := range 1 + s.rand.IntN(3) {
		name := fmt.Sprintf("order_%d_%d", n, i)
		s.add(`begin %s %s post /orders '{"order_id":"order-%d"}'`, name, entries[s.rand.IntN(len(entries))], n)
		calls = append(calls, name)
	}
	s.orders = append(s.orders, calls)
}

func (s *script) publish() {
	s.revision++
	s.add("operate %s get next%d", s.sound[0], s.revision)
	s.add("exec sed -i 's/between_tokens_ms = [0-9]*/between_tokens_ms = %d/' next%d/objects.toml", 80+s.revision, s.revision)
	s.add("publish_within 20s %s next%d", s.sound[0], s.revision)
	s.add("revision %s %d 6s", s.sound[1], s.revision)
}

func (s *script) finish() {
	for _, end := range []string{s.ends.worker, s.ends.entry} {
		if end != "" {
			s.add("%s", end)
		}
	}
	s.ends.worker = ""
	s.awaitCopies()
	for _, entry := range []string{"entry-a", "entry-b", "entry-c"} {
		s.add("healthy %s", entry)
		s.add("revision %s %d 6s", entry, s.revision)
	}
	for n, calls := range s.orders {
		for _, name := range calls {
			s.add("finish %s", name)
		}
		s.add("runs_match order-%d %s", n, strings.Join(calls, " "))
	}
	s.add("answered questions 5")
	s.add("unload questions 0")
	s.add("unload quotes 0")
	s.add("peak")
}
