package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
)

// agentCommand returns the command that runs an agent.
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

// startAgent implements startFunc.
func startAgent(ctx context.Context, s conf.Settings, log *zap.Logger) (stopper, string, error) {
	platform, err := newPlatformClients(s.Platform, log)
	if err != nil {
		return nil, "", err
	}
	agent, err := boot.StartAgent(ctx, s, platform, log)
	if err != nil {
		return nil, "", err
	}
	readyLine := "ready listen=" + agent.Instance().Address
	if agent.AdminAddr() != "" {
		readyLine += " admin=" + agent.AdminAddr()
	}
	return agent, readyLine, nil
}
