// Command trackd runs the daemons of the load balancer on the platform's machines.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"filberttrack.example/track/duty"
	"filberttrack.example/track/logger"
	"filberttrack.example/track/platform/launch"
	"filberttrack.example/track/platform/setup"
)

func main() {
	if err := root().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "trackd:", err)
		os.Exit(1)
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "trackd",
		Usage: "daemons of the load balancer on the platform's machines",
		Commands: []*cli.Command{
			{Name: "entry", Usage: "take clients' requests", Action: daemon(launch.RunEntry)},
			{Name: "agent", Usage: "keep the expert map of a rank group even", Action: daemon(launch.RunAgent)},
			checkCommand(),
			traceCommand(),
		},
	}
}

// daemon runs a process until it is told to stop.
func daemon(run func(context.Context, setup.Settings, *zap.Logger) error) cli.ActionFunc {
	return func(ctx context.Context, _ *cli.Command) error {
		s, err := setup.Load()
		if err != nil {
			return err
		}
		// The platform tells of changed settings by this signal; what a process has
		// been started with stays in force until it is started again.
		signal.Ignore(syscall.SIGHUP)
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		log, lines := logger.NewAsync(os.Stdout, clockwork.NewRealClock())
		writing, finish := context.WithCancel(context.WithoutCancel(ctx))
		written := duty.Start(writing, "write log", lines.Run)
		metrics.GetOrCreateGauge("filberttrack_log_lines_dropped", func() float64 { return float64(lines.Dropped()) })
		err = run(ctx, s, log.With(zap.String("Instance", string(s.InstanceID))))
		finish()
		return errors.Join(err, duty.Wait(zap.NewNop(), written))
	}
}
