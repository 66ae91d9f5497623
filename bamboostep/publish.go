package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/operator"
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "make the objects of a folder the next revision",
		ArgsUsage: "DIR",
		Flags: entryFlags(
			waitFlag(),
			&cli.Uint64Flag{Name: "based", Usage: "`REVISION` that the objects were made from; by default the one that get or publish noted in DIR"},
			&cli.StringFlag{Name: "id", Usage: "`ID` to publish under; by default a new one, or that of the same publish if its outcome is unknown"},
			&cli.StringFlag{Name: "author", Usage: "`NAME` to publish under; by default the user's", Sources: cli.EnvVars("USER")},
		),
		OnUsageError: usageError,
		Action:       action(publish, writePublish),
	}
}

func publish(ctx context.Context, cmd *cli.Command) (bamboostep.Revision, error) {
	var none bamboostep.Revision
	dir, err := oneArgument(cmd, "folder")
	if err != nil {
		return none, err
	}
	client, err := newClient(cmd)
	if err != nil {
		return none, err
	}
	set, err := catalog.Load(dir)
	if err != nil {
		return none, err
	}
	state, err := readState(dir)
	if err != nil {
		return none, err
	}
	based := state.Revision
	if cmd.IsSet("based") {
		based = cmd.Uint64("based")
	}
	sum, err := set.Sum()
	if err != nil {
		return none, err
	}
	state = state.withPending(cmd.String("id"), based, sum)
	if err := writeState(dir, state); err != nil {
		return none, err
	}
	revision, err := client.Publish(ctx, state.PendingID, based, author(cmd), set)
	if err != nil {
		return none, settle(dir, state, err)
	}
	return revision, writeState(dir, folderState{Revision: revision.Number})
}

// author returns who publishes, so that whoever comes second is told.
func author(cmd *cli.Command) string {
	if name := cmd.String("author"); name != "" {
		return name
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// settle notes how a publish failed: one whose outcome is unknown stays pending.
func settle(dir string, state folderState, err error) error {
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) && !unreachable.Known {
		return &unknownOutcomeError{dir, state.PendingID, err}
	}
	return errors.Join(err, writeState(dir, folderState{Revision: state.Revision}))
}

func writePublish(w io.Writer, r bamboostep.Revision) {
	fmt.Fprintf(w, "published revision %d by %s at %s\n", r.Number, r.Author, r.At.UTC().Format(time.RFC3339))
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:         "diff",
		Usage:        "show what publishing a folder would change",
		ArgsUsage:    "DIR",
		Flags:        entryFlags(),
		OnUsageError: usageError,
		Action:       action(diff, writeDiff),
	}
}

type diffOutput struct {
	Revision uint64           `json:"revision"` // that the folder is compared with
	Changes  []catalog.Change `json:"changes"`
}

func diff(ctx context.Context, cmd *cli.Command) (diffOutput, error) {
	dir, err := oneArgument(cmd, "folder")
	if err != nil {
		return diffOutput{}, err
	}
	client, err := newClient(cmd)
	if err != nil {
		return diffOutput{}, err
	}
	set, err := catalog.Load(dir)
	if err != nil {
		return diffOutput{}, err
	}
	newest, err := client.Set(ctx)
	if err != nil {
		return diffOutput{}, err
	}
	changes := catalog.Diff(newest, set)
	if changes == nil {
		changes = []catalog.Change{}
	}
	return diffOutput{newest.Revision(), changes}, nil
}

func writeDiff(w io.Writer, d diffOutput) {
	if len(d.Changes) == 0 {
		fmt.Fprintf(w, "no change from revision %d\n", d.Revision)
	}
	for _, c := range d.Changes {
		fmt.Fprintln(w, c)
	}
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:         "get",
		Usage:        "print the newest objects, or write them to a folder",
		ArgsUsage:    "[DIR]",
		Flags:        entryFlags(),
		OnUsageError: usageError,
		Action:       action(get, writeGet),
	}
}

type getOutput struct {
	Revision uint64          `json:"revision"`
	Objects  catalog.Objects `json:"objects"`
	Dir      string          `json:"dir,omitempty"`
}

func get(ctx context.Context, cmd *cli.Command) (getOutput, error) {
	if cmd.NArg() > 1 {
		return getOutput{}, &usageProblem{"get wants at most one folder"}
	}
	client, err := newClient(cmd)
	if err != nil {
		return getOutput{}, err
	}
	set, err := client.Set(ctx)
	if err != nil {
		return getOutput{}, err
	}
	out := getOutput{set.Revision(), set.Objects(), cmd.Args().First()}
	if out.Dir == "" {
		return out, nil
	}
	return out, writeFolder(out.Dir, set)
}

func writeGet(w io.Writer, g getOutput) {
	if g.Dir != "" {
		fmt.Fprintf(w, "wrote revision %d to %s\n", g.Revision, g.Dir)
		return
	}
	fmt.Fprintf(w, "# revision %d\n", g.Revision)
	if err := catalog.Write(w, g.Objects); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
