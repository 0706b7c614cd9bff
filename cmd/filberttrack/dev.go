package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
	examples "filberttrack.example/track/examples"
)

// devCommand returns the command that runs an entry, agents, and stand-ins for the platform and
// the backend servers in one process.
func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run an entry, agents and stand-ins in one process",
		Flags: []cli.Flag{
			settingsFlag(false),
			&cli.StringFlag{Name: "listen", Usage: "listen `ADDRESS` for clients"},
			&cli.StringFlag{Name: "admin", Usage: "listen `ADDRESS` for operators"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := devSettings(c.String("settings"))
			if err != nil {
				return err
			}
			// There is no load balancer in front of the entry that needs time to notice a stop.
			s.Entry.BalancerDelay = 0
			if c.IsSet("listen") {
				s.Entry.Listen = c.String("listen")
			}
			if c.IsSet("admin") {
				s.Entry.Admin = c.String("admin")
			}
			return runDaemon(ctx, s, s.Entry.StopTimeout, startDev)
		},
	}
}

// devSettings returns the settings of a file, or the embedded example settings if file is empty.
func devSettings(file string) (conf.Settings, error) {
	if file == "" {
		return conf.Parse("aserrin.toml", examples.Aserrin, conf.UseDev)
	}
	return conf.Load(file, conf.UseDev)
}

// startDev implements startFunc.
func startDev(ctx context.Context, s conf.Settings, log *zap.Logger) (stopper, string, error) {
	dev, err := boot.StartDev(ctx, s, log)
	if err != nil {
		return nil, "", err
	}
	return dev, fmt.Sprintf("ready listen=%s admin=%s", dev.Entry.Addr(), dev.Entry.AdminAddr()), nil
}
