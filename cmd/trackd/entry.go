package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/platform/setup"
	"filberttrack.example/track/retry"
)

const flagHedgeShare = "hedge-share"

// entryCommand returns the command that runs an entry.
func entryCommand(run func(context.Context, setup.Settings, *zap.Logger) error) *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "accept and route client requests",
		Flags: []cli.Flag{&cli.StringFlag{
			Name:  flagHedgeShare,
			Usage: "send slow repeatable requests a second time, at most `S` times for each request of a service; off if not given",
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			share, err := hedgeShare(command)
			if err != nil {
				return err
			}
			return daemonAction(func(ctx context.Context, s setup.Settings, log *zap.Logger) error {
				s.HedgeShare = share
				return run(ctx, s, log)
			})(ctx, command)
		},
	}
}

// hedgeShare returns the greatest number of hedges for each request of a service; 0 if the flag isn't given.
func hedgeShare(command *cli.Command) (float64, error) {
	if !command.IsSet(flagHedgeShare) {
		return 0, nil
	}
	given := command.String(flagHedgeShare)
	share, err := strconv.ParseFloat(given, 64)
	if err != nil || !(share > 0 && share <= retry.MaxHedgeShare) {
		return 0, fmt.Errorf("--%s is %q, but must be a number above 0 and at most %v", flagHedgeShare, given, retry.MaxHedgeShare)
	}
	return share, nil
}
