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
	"filberttrack.example/track/duty"
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
// gracefully. A second signal or the time limit cuts off what is still open.
func runDaemon(ctx context.Context, s conf.Settings, timeout time.Duration, start starter) error {
	built, err := logger.New(s.Logging)
	if err != nil {
		return err
	}
	defer func() {
		// Standard error can't always be synced; nothing is lost by that.
		_ = built.Sync()
	}()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	daemon, ready, err := start(ctx, s, built)
	if err != nil {
		return err
	}
	fmt.Println(ready)
	select {
	case <-signals:
	case <-ctx.Done():
	}
	built.Info("stopping", zap.Duration("Timeout", timeout))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	stopped := duty.Start(ctx, "stop", daemon.Stop)
	select {
	case err = <-stopped.Done():
		return err
	case <-signals:
	}
	built.Warn("second signal: open requests are cut off")
	cancel()
	return <-stopped.Done()
}
