package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
)

// standinStopTimeout bounds the stop of the stand-ins.
const standinStopTimeout = 5 * time.Second

// standinCommand runs stand-ins for the platform and for backend servers.
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

func startStandin(ctx context.Context, s conf.Settings, l *zap.Logger) (stopper, string, error) {
	p, err := boot.StartStandin(ctx, s, l)
	if err != nil {
		return nil, "", err
	}
	return p, "ready listen=" + p.Addr(), nil
}
