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
	if err := rootCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "trackd:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command line of the program.
func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "trackd",
		Usage: "daemons of the load balancer on the platform's machines",
		Commands: []*cli.Command{
			entryCommand(launch.RunEntry),
			{Name: "agent", Usage: "balance the expert placement of a rank group", Action: daemonAction(launch.RunAgent)},
			checkCommand(),
			checkConfigCommand(),
			traceCommand(),
		},
	}
}

// daemonAction returns the action of a command that runs a daemon with the settings of the
// platform until SIGTERM or SIGINT.
func daemonAction(run func(context.Context, setup.Settings, *zap.Logger) error) cli.ActionFunc {
	return func(ctx context.Context, _ *cli.Command) error {
		s, err := setup.Load()
		if err != nil {
			return err
		}
		// The platform sends SIGHUP when settings change. A process keeps the settings that
		// it was started with until it restarts.
		signal.Ignore(syscall.SIGHUP)
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		log, writer := logger.NewAsync(os.Stdout, clockwork.NewRealClock())
		writerCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))
		writerDuty := duty.Start(writerCtx, "write log", writer.Run)
		metrics.GetOrCreateGauge("filberttrack_log_lines_dropped", func() float64 { return float64(writer.Dropped()) })
		err = run(ctx, s, log.With(zap.String("Instance", string(s.InstanceID))))
		stopWriter()
		return errors.Join(err, duty.Wait(zap.NewNop(), writerDuty))
	}
}
