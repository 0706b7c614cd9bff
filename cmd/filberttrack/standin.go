package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
)

// standinStopTimeout is how long the stand-ins may take to stop.
const standinStopTimeout = 5 * time.Second

// standinCommand returns the command that runs stand-ins for the platform and for backend
// servers.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins for the platform and for backend servers",
		Flags: []cli.Flag{settingsFlag(true)},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := conf.Load(c.String("settings"), conf.UseStandin)
			if err != nil {
				return err
			}
			return runDaemon(ctx, s, standinStopTimeout, startStandin)
		},
	}
}

// startStandin implements startFunc.
func startStandin(ctx context.Context, s conf.Settings, log *zap.Logger) (stopper, string, error) {
	standin, err := boot.StartStandin(ctx, s, log)
	if err != nil {
		return nil, "", err
	}
	return standin, "ready listen=" + standin.Addr(), nil
}
