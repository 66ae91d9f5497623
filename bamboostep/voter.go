package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/ledger"
)

func voterCommand() *cli.Command {
	return &cli.Command{
		Name:      "voter",
		Usage:     "let an entry with a data folder vote in the ledger, or vote no more",
		ArgsUsage: "NAME",
		Flags: entryFlags(
			waitFlag(),
			&cli.StringFlag{Name: "address", Usage: "`HOST:PORT` at which the other entries reach it"},
			&cli.StringFlag{Name: "failure-domain", Usage: "`NAME` of its failure domain"},
			&cli.BoolFlag{Name: "remove", Usage: "let it vote no more, such as when it lost its disk"},
		),
		OnUsageError: usageError,
		Action:       action(changeVoter, writeVoter),
	}
}

type voterOutput struct {
	Voter string `json:"voter"`
	Votes bool   `json:"votes"`
}

func changeVoter(ctx context.Context, cmd *cli.Command) (voterOutput, error) {
	name, err := oneArgument(cmd, "voter")
	if err != nil {
		return voterOutput{}, err
	}
	client, err := newClient(cmd)
	if err != nil {
		return voterOutput{}, err
	}
	if cmd.Bool("remove") {
		return voterOutput{name, false}, client.RemoveVoter(ctx, name)
	}
	m := ledger.Member{Name: name, Address: cmd.String("address"), FailureDomain: cmd.String("failure-domain")}
	if m.Address == "" {
		return voterOutput{}, &usageProblem{"voter wants --address or --remove"}
	}
	return voterOutput{name, true}, client.AddVoter(ctx, m)
}

func writeVoter(w io.Writer, v voterOutput) {
	if v.Votes {
		fmt.Fprintf(w, "%s votes\n", v.Voter)
		return
	}
	fmt.Fprintf(w, "%s votes no more\n", v.Voter)
}
