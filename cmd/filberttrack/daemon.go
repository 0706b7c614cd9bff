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

// settingsFlag returns the flag for the settings file of a daemon.
func settingsFlag(required bool) cli.Flag {
	return &cli.StringFlag{
		Name:      "settings",
		Usage:     "settings `FILE` in TOML",
		Required:  required,
		TakesFile: true,
	}
}

// stopper is a running daemon. Stop returns once it has stopped; when ctx ends, open requests
// are aborted.
type stopper interface {
	Stop(ctx context.Context) error
}

// startFunc starts a daemon and returns it with the line to print once it is ready.
type startFunc func(ctx context.Context, s conf.Settings, log *zap.Logger) (stopper, string, error)

// runDaemon starts a daemon, runs it until SIGINT or SIGTERM, and stops it
// gracefully. A second signal or the timeout aborts requests that are still open.
func runDaemon(ctx context.Context, s conf.Settings, timeout time.Duration, start startFunc) error {
	log, err := logger.New(s.Logging)
	if err != nil {
		return err
	}
	defer func() {
		// Standard error does not always support sync; no log line is lost by that.
		_ = log.Sync()
	}()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	daemon, readyLine, err := start(ctx, s, log)
	if err != nil {
		return err
	}
	fmt.Println(readyLine)
	select {
	case <-signals:
	case <-ctx.Done():
	}
	log.Info("stopping", zap.Duration("Timeout", timeout))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	stopped := duty.Start(ctx, "stop", daemon.Stop)
	select {
	case err = <-stopped.Done():
		return err
	case <-signals:
	}
	log.Warn("second signal received, aborting open requests")
	cancel()
	return <-stopped.Done()
}
