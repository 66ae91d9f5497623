// Command standin holds the stand-ins for everything that the system meets in
// production: model engines, plain services, the weight store and the platform's
// list of VMs; and the load generator. It is for tests, experiments and the demo.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/standin/engine"
	"github.com/bamboostep/bamboostep/standin/experiment"
	"github.com/bamboostep/bamboostep/standin/load"
	"github.com/bamboostep/bamboostep/standin/platform"
	"github.com/bamboostep/bamboostep/standin/service"
	"github.com/bamboostep/bamboostep/standin/store"
)

func main() {
	cmd := &cli.Command{
		Name:  "standin",
		Usage: "stand in for what the system meets in production",
		Commands: []*cli.Command{
			engine.Command(),
			service.Command(),
			store.Command(),
			platform.Command(),
			load.Command(),
			experiment.Command(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
