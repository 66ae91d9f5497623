package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// The scenarios run the real programs, built with the race detector, under
// scripted failures. Each file of testdata/script is one; commands_test.go
// documents the language.

var builtPrograms string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bamboostep-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	builtPrograms = dir
	code := 1
	if err := buildPrograms(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

func buildPrograms(dir string) error {
	for _, module := range []string{"entry", "agent", "bamboostep", "standin"} {
		cmd := exec.Command("go", "build", "-race", "-o", dir+"/", ".")
		cmd.Dir = filepath.Join("..", module)
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("build of %s: %w\n%s", module, err, out)
		}
	}
	return nil
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup:               setUpScenario,
		Cmds:                scenarioCommands,
	})
}

// The demonstration is itself a test.
func TestDemo(t *testing.T) {
	var out strings.Builder
	d := &demo{Bin: builtPrograms, Objects: "../examples/demo", Out: &out}
	if err := d.Run(context.Background()); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if !strings.HasSuffix(out.String(), "demo: ok\n") {
		t.Errorf("got output that does not end in %q:\n%s", "demo: ok", out.String())
	}
}
