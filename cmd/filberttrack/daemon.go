package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/conf"
	"filberttrack.example/track/logger"
)

// settingsFlag names the settings file of a daemon.
func settingsFlag(required bool) cli.Flag {
	return &cli.StringFlag{
		Name:      "settings",
		Usage:     "settings `FILE` in TOML",
		Required:  required,
		TakesFile: true,
	}
}

// stopper is a running daemon.
type stopper interface {
	Stop(ctx context.Context) error
}

// starter starts a daemon and returns the line to print once it is ready.
type starter func(ctx context.Context, s conf.Settings, l *zap.Logger) (stopper, string, error)

// runDaemon starts a daemon, runs it until SIGINT or SIGTERM, and stops it
// gracefully. A second signal ends the process at once.
func runDaemon(ctx context.Context, s conf.Settings, timeout time.Duration, start starter) error {
	built, err := logger.New(s.Logging)
	if err != nil {
		return err
	}
	defer func() {
		// Standard error can't always be synced; nothing is lost by that.
		_ = built.Sync()
	}()
	signalled, restore := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer restore()
	daemon, ready, err := start(ctx, s, built)
	if err != nil {
		return err
	}
	fmt.Println(ready)
	<-signalled.Done()
	// From here on a second signal has its default effect.
	restore()
	built.Info("stopping", zap.Duration("Timeout", timeout))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	return daemon.Stop(ctx)
}
