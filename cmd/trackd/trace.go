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

// traceCommand returns the command that collects the log lines about one request from the
// logs of several processes and prints them sorted by time.
func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the log lines of several processes about one request, sorted by time",
		ArgsUsage: "REQUEST-ID LOG...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return errors.New("trace: expected a request ID and at least one log file")
			}
			var lines []story.Line
			for _, name := range c.Args().Tail() {
				fileLines, err := readLog(name)
				if err != nil {
					return err
				}
				lines = append(lines, fileLines...)
			}
			related, err := story.ForRequest(c.Args().First(), lines)
			if err != nil {
				return err
			}
			for _, line := range related {
				fmt.Fprintln(c.Root().Writer, line)
			}
			return nil
		},
	}
}

// readLog returns the lines of a log file.
func readLog(name string) ([]story.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer file.Close()
	lines, err := story.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// checkCommand returns the command that validates settings files of the platform.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings files",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			var failures []error
			for _, name := range c.Args().Slice() {
				data, err := os.ReadFile(name)
				if err == nil {
					_, err = setup.Decode(string(data))
				}
				if err != nil {
					failures = append(failures, fmt.Errorf("%s: %w", name, err))
					continue
				}
				fmt.Fprintln(c.Root().Writer, name+": ok")
			}
			return errors.Join(failures...)
		},
	}
}
