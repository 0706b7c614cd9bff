// Command capacity measures the latency and CPU time that an entry and an agent add to
// requests and tokens, and how the memory, messages and CPU time of the control plane grow
// with the size of a deployment. docs/CAPACITY.md quotes its tables.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:     "capacity",
		Usage:    "measure filberttrack against the sizes it is designed for",
		Commands: []*cli.Command{pathCommand(), controlCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
