package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/platform/store"
	"filberttrack.example/track/verify"
)

// checkConfigCommand returns the command that checks a configuration before it is sent.
func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a configuration before it is sent",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "in-force", Usage: "also print the changes from the configuration in `FILE`"},
			&cli.BoolFlag{Name: "json", Usage: "print a JSON array"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errors.New("check-config: expected one configuration file")
			}
			data, err := os.ReadFile(c.Args().First())
			if err != nil {
				return fmt.Errorf("read configuration: %w", err)
			}
			var inForce []byte
			if c.IsSet("in-force") {
				if inForce, err = os.ReadFile(c.String("in-force")); err != nil {
					return fmt.Errorf("read configuration in force: %w", err)
				}
			}
			findings := store.CheckConfig(data, inForce)
			if err := printFindings(c.Root().Writer, findings, c.Bool("json")); err != nil {
				return fmt.Errorf("print findings: %w", err)
			}
			return countErrors(c.Args().First(), findings)
		},
	}
}

func printFindings(w io.Writer, findings []verify.Finding, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetEscapeHTML(false)
		return encoder.Encode(append([]verify.Finding{}, findings...))
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}

// countErrors returns an error if there are findings of level Error.
func countErrors(name string, findings []verify.Finding) error {
	n := 0
	for _, f := range findings {
		if f.Level == verify.Error {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return fmt.Errorf("check-config: %s: errors found: %d", name, n)
}
