package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
	sample "filberttrack.example/track/examples"
)

// devCommand runs a whole deployment of stand-ins in one process.
func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run an entry, agents and stand-ins in one process",
		Flags: []cli.Flag{
			settingsFlag(false),
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` for callers"},
			&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` for operators"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := devSettings(c.String("settings"))
			if err != nil {
				return err
			}
			// No balancer stands in front that would need time to notice a stop.
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

func devSettings(file string) (conf.Settings, error) {
	if file == "" {
		return conf.Parse("aserrin.toml", sample.Aserrin, conf.UseDev)
	}
	return conf.Load(file, conf.UseDev)
}

func startDev(ctx context.Context, s conf.Settings, l *zap.Logger) (stopper, string, error) {
	d, err := boot.StartDev(ctx, s, l)
	if err != nil {
		return nil, "", err
	}
	return d, fmt.Sprintf("ready listen=%s admin=%s", d.Entry.Addr(), d.Entry.AdminAddr()), nil
}
