package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/crash"
)

// quarantineCommand returns the commands that list requests that crash backend servers and
// release them from quarantine.
func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list requests that crash backend servers, and release them",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list suspects and quarantined requests and parts of prompts by fingerprint", Flags: adminFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					return showValue(ctx, c, crash.ListPath, printQuarantine)
				},
			},
			{
				Name: "release", Usage: "end the quarantine of a fingerprint in all entries of the zone",
				ArgsUsage: "FINGERPRINT", Action: releaseQuarantine,
				Flags: append(adminFlags(),
					&cli.StringFlag{
						Name: "token-file", Usage: "`FILE` with the admin token",
						Sources: cli.EnvVars("FILBERTTRACK_TOKEN_FILE"),
					}),
			},
		},
	}
}

func printQuarantine(w io.Writer, listed []crash.ListedFingerprint) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FINGERPRINT\tSTANDING\tLEFT")
	for _, l := range listed {
		left := time.Duration(l.LeftSeconds * float64(time.Second)).Round(time.Second)
		fmt.Fprintf(t, "%s\t%s\t%s\n", l.Fingerprint, l.Standing, left)
	}
	return t.Flush()
}

func releaseQuarantine(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("expected one fingerprint as printed by the list command")
	}
	token, err := adminToken(c)
	if err != nil {
		return err
	}
	release := crash.ReleaseRequest{Fingerprint: c.Args().First()}
	released, err := postJSON[crash.ReleaseRequest, crash.ReleaseRequest](
		ctx, c.String("admin"), crash.ReleasePath, token, release)
	if err != nil {
		return err
	}
	fmt.Println("released", released.Fingerprint)
	return nil
}
