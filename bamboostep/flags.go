package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/operator"
)

const (
	outputText = "text"
	outputJSON = "json"

	defaultWait = 10 * time.Second

	envEntry = "BAMBOOSTEP_ENTRY"
	envToken = "BAMBOOSTEP_TOKEN"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Value: outputText,
		Usage: "form of the output: text or json",
		Validator: func(s string) error {
			if s != outputText && s != outputJSON {
				return fmt.Errorf("output %q is neither text nor json", s)
			}
			return nil
		},
	}
}

// entryFlags are the flags of every command that talks to an entry.
func entryFlags(more ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		outputFlag(),
		&cli.StringSliceFlag{
			Name:      "entry",
			Usage:     "`URL` of an entry; give several to have them tried in turn",
			Sources:   cli.EnvVars(envEntry),
			Validator: checkEntries,
		},
		&cli.StringFlag{Name: "token", Usage: "bearer `TOKEN`", Sources: cli.EnvVars(envToken)},
	}
	return append(flags, more...)
}

// waitFlag is a flag of every command that changes something.
func waitFlag() cli.Flag {
	return &cli.DurationFlag{
		Name:  "wait",
		Value: defaultWait,
		Usage: "go on for `SPAN` while the entries cannot carry out the command",
	}
}

func checkEntries(entries []string) error {
	for _, entry := range entries {
		u, err := url.Parse(entry)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return fmt.Errorf("entry %q is not a URL like http://10.0.0.1:8080", entry)
		}
	}
	return nil
}

func newClient(cmd *cli.Command) (*operator.Client, error) {
	entries := cmd.StringSlice("entry")
	if len(entries) == 0 {
		return nil, &usageProblem{fmt.Sprintf("no entry is named; set --entry or %s", envEntry)}
	}
	return &operator.Client{Entries: entries, Token: cmd.String("token"), Patience: cmd.Duration("wait")}, nil
}

// oneArgument returns the only argument of a command.
func oneArgument(cmd *cli.Command, what string) (string, error) {
	if cmd.NArg() != 1 {
		return "", &usageProblem{fmt.Sprintf("%s wants one %s, got %d arguments", cmd.Name, what, cmd.NArg())}
	}
	return cmd.Args().First(), nil
}

// action wraps the work of a command: its result is written as text or JSON, and
// its error as JSON where that was asked for.
func action[T any](work func(ctx context.Context, cmd *cli.Command) (T, error), text func(w io.Writer, v T)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		w := cmd.Root().Writer
		v, err := work(ctx, cmd)
		if cmd.String("output") != outputJSON {
			if err != nil {
				return err
			}
			text(w, v)
			return nil
		}
		if err != nil {
			return showError(w, err)
		}
		return json.NewEncoder(w).Encode(v)
	}
}
