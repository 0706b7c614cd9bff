package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
)

// agentCommand runs an agent.
func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run an agent beside a backend server",
		Flags: []cli.Flag{settingsFlag(true)},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := conf.Load(c.String("settings"), conf.UseAgent)
			if err != nil {
				return err
			}
			return runDaemon(ctx, s, s.Agent.StopTimeout, startAgent)
		},
	}
}

func startAgent(ctx context.Context, s conf.Settings, l *zap.Logger) (stopper, string, error) {
	platform, err := platformOf(s.Platform)
	if err != nil {
		return nil, "", err
	}
	a, err := boot.StartAgent(ctx, s, platform, l)
	if err != nil {
		return nil, "", err
	}
	ready := "ready listen=" + a.Instance().Address
	if a.AdminAddr() != "" {
		ready += " admin=" + a.AdminAddr()
	}
	return a, ready, nil
}
