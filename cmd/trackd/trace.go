package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/platform/setup"
	"filberttrack.example/track/story"
)

// traceCommand prints what logs tell of one request.
func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print what the logs of several processes tell of one request, in order",
		ArgsUsage: "REQUEST-ID LOG...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("trace needs the id of a request and one log or more")
			}
			var lines []story.Line
			for _, name := range c.Args().Tail() {
				read, err := readLog(name)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			found, err := story.ForRequest(c.Args().First(), lines)
			if err != nil {
				return err
			}
			for _, l := range found {
				fmt.Fprintln(c.Root().Writer, l)
			}
			return nil
		},
	}
}

func readLog(name string) ([]story.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer file.Close()
	lines, err := story.Read(file)
	if err != nil {
		return nil, fmt.Errorf("log %s: %w", name, err)
	}
	return lines, nil
}

// checkCommand checks settings files of the platform.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings files",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			var faults []error
			for _, name := range c.Args().Slice() {
				text, err := os.ReadFile(name)
				if err == nil {
					_, err = setup.Decode(string(text))
				}
				if err != nil {
					faults = append(faults, fmt.Errorf("%s: %w", name, err))
					continue
				}
				fmt.Fprintln(c.Root().Writer, name+": in order")
			}
			return errors.Join(faults...)
		},
	}
}
