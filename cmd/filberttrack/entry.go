package main

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/plat"
)

// platformTimeout is the timeout of one call to the platform's services.
const platformTimeout = 10 * time.Second

// entryCommand returns the command that runs an entry.
func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry",
		Flags: []cli.Flag{settingsFlag(true)},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := conf.Load(c.String("settings"), conf.UseEntry)
			if err != nil {
				return err
			}
			return runDaemon(ctx, s, s.Entry.StopTimeout, startEntry)
		},
	}
}

// startEntry implements startFunc.
func startEntry(ctx context.Context, s conf.Settings, log *zap.Logger) (stopper, string, error) {
	platform, err := newPlatformClients(s.Platform, log)
	if err != nil {
		return nil, "", err
	}
	entry, err := boot.StartEntry(ctx, s, platform, log)
	if err != nil {
		return nil, "", err
	}
	return entry, fmt.Sprintf("ready listen=%s admin=%s", entry.Addr(), entry.AdminAddr()), nil
}

// newPlatformClients returns HTTP clients for the platform's log and instance list.
func newPlatformClients(p conf.Platform, log *zap.Logger) (boot.Platform, error) {
	logURL, err := url.Parse(p.LogURL)
	if err != nil {
		return boot.Platform{}, fmt.Errorf("parse Platform.LogURL: %w", err)
	}
	listURL, err := url.Parse(p.ListURL)
	if err != nil {
		return boot.Platform{}, fmt.Errorf("parse Platform.ListURL: %w", err)
	}
	client := plat.NewHTTPClient(platformTimeout)
	return boot.Platform{
		Log:  plat.NewLog(client, logURL),
		List: plat.NewInstanceList(client, listURL, log),
	}, nil
}
