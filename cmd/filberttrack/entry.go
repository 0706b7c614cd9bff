package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/plat"
)

// platformTimeout bounds one call to the platform's services.
const platformTimeout = 10 * time.Second

// entryCommand runs an entry.
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

func startEntry(ctx context.Context, s conf.Settings, l *zap.Logger) (stopper, string, error) {
	platform, err := platformOf(s.Platform)
	if err != nil {
		return nil, "", err
	}
	e, err := boot.StartEntry(ctx, s, platform, l)
	if err != nil {
		return nil, "", err
	}
	return e, fmt.Sprintf("ready listen=%s admin=%s", e.Addr(), e.AdminAddr()), nil
}

// platformOf returns clients of the platform's services.
func platformOf(p conf.Platform) (boot.Platform, error) {
	logURL, err := url.Parse(p.LogURL)
	if err != nil {
		return boot.Platform{}, fmt.Errorf("parse address of the log: %w", err)
	}
	listURL, err := url.Parse(p.ListURL)
	if err != nil {
		return boot.Platform{}, fmt.Errorf("parse address of the instance list: %w", err)
	}
	client := &http.Client{Timeout: platformTimeout}
	return boot.Platform{
		Log:  plat.NewLog(client, logURL),
		List: plat.NewInstanceList(client, listURL),
	}, nil
}
