package main

import (
	"context"
	"fmt"
	"io"

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
		Name:         "check",
		Usage:        "find every mistake in the objects of a folder",
		ArgsUsage:    "DIR",
		Flags:        []cli.Flag{outputFlag()},
		OnUsageError: usageError,
		Action:       action(check, writeCheck),
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
