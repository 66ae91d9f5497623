// Command bamboostep is the operators' command line: it checks declared objects,
// publishes them, and shows the state of the system.
//
// Exit status: 0 done, 1 the objects have mistakes or somebody else published
// first, 2 wrong usage, 3 no entry answered or the outcome is unknown.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(run(os.Args, os.Stdout, os.Stderr))
}

// run runs one command line and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cmd := newCommand(stdout, stderr)
	err := cmd.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	writeError(stderr, err)
	return exitStatus(err)
}

// newCommand returns the whole command line.
func newCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "bamboostep",
		Usage:     "check, publish and watch declared objects",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands: []*cli.Command{
			checkCommand(),
			publishCommand(),
			diffCommand(),
			getCommand(),
			statusCommand(),
			drainCommand(),
			timelineCommand(),
			voterCommand(),
		},
		OnUsageError:    usageError,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		CommandNotFound: nil,
		Action:          missingCommand,
	}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageProblem{err.Error()}
}

func missingCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return unknownCommand(cmd)
	}
	return cli.ShowAppHelp(cmd)
}

// unknownCommand names the command that was probably meant.
func unknownCommand(cmd *cli.Command) error {
	name := cmd.Args().First()
	issue := fmt.Sprintf("command %q is unknown", name)
	if near := cli.SuggestCommand(cmd.Commands, name); near != "" {
		issue += fmt.Sprintf("; did you mean %q?", near)
	}
	return &usageProblem{issue}
}
