package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/conf"
)

// checkCommand returns the command that validates settings files. It starts nothing.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings files",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return cli.Exit("check: expected at least one settings file", exitSettings)
			}
			for _, file := range c.Args().Slice() {
				_, err := conf.Load(file, conf.UseAny)
				if err != nil {
					return err
				}
				fmt.Println(file + ": ok")
			}
			return nil
		},
	}
}
