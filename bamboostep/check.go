package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/catalog"
)

type checkOutput struct {
	Places   int `json:"places"`
	Versions int `json:"versions"`
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
	Services int `json:"services"`
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "find every mistake in the objects of a folder, or in a file of routes (.json)",
		ArgsUsage: "DIR|FILE",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.StringFlag{Name: "against", Usage: "`FILE` of routes to compare with"},
			&cli.StringFlag{Name: "voter", Usage: "`URL` of a voter whose routes in force to compare with", Validator: checkVoter},
		},
		OnUsageError: usageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if strings.HasSuffix(cmd.Args().First(), routesSuffix) {
				return checkRoutes(ctx, cmd)
			}
			return action(check, writeCheck)(ctx, cmd)
		},
	}
}

func check(_ context.Context, cmd *cli.Command) (checkOutput, error) {
	dir, err := oneArgument(cmd, "folder")
	if err != nil {
		return checkOutput{}, err
	}
	s, err := catalog.Load(dir)
	if err != nil {
		return checkOutput{}, err
	}
	o := s.Objects()
	return checkOutput{len(o.Places), len(o.Versions), len(o.Models), len(o.Adapters), len(o.Services)}, nil
}

func writeCheck(w io.Writer, c checkOutput) {
	fmt.Fprintf(w, "ok: %d places, %d versions, %d models, %d adapters, %d services\n",
		c.Places, c.Versions, c.Models, c.Adapters, c.Services)
}
