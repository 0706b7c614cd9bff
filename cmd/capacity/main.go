// Command capacity measures what a request and a token cost on their way
// through an entry and an agent, and how the state and the messages of control
// grow with the size of a deployment. docs/CAPACITY.md quotes its tables.
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
	root := &cli.Command{
		Name:     "capacity",
		Usage:    "measure filberttrack against the sizes it is designed for",
		Commands: []*cli.Command{pathCommand(), controlCommand()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
