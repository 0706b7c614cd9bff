// Command soak tests filberttrack against injected faults. It runs the real daemons as processes on
// loopback addresses, with stand-ins of the platform's log and of replicas. It injects faults that it
// generates from seeds, and checks what clients and replicas observed.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "inject faults into real processes and check what their clients observed",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first run"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs, with consecutive seeds"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "time during which a run injects faults"},
			&cli.IntFlag{Name: "entries", Value: 4, Usage: "number of entries"},
			&cli.IntFlag{Name: "replicas", Value: 6, Usage: "number of replicas of each of the two services"},
			&cli.IntFlag{Name: "zones", Value: 2, Usage: "number of zones over which entries and replicas are spread"},
			&cli.IntFlag{Name: "clients", Value: 40, Usage: "number of clients"},
			&cli.StringFlag{Name: "logs", Usage: "directory to which the logs of runs with violations are copied"},
			&cli.BoolFlag{Name: "plan", Usage: "only print the planned faults of the seeds"},
		},
		Action: run,
	}
}

var (
	errGuaranteeBroken = errors.New("a guarantee was broken")
	errInvalidFlag     = errors.New("invalid flag")
)

func run(ctx context.Context, c *cli.Command) (err error) {
	for _, name := range []string{"entries", "replicas", "zones", "clients"} {
		if c.Int(name) < 1 {
			return fmt.Errorf("%w: --%s must be at least 1", errInvalidFlag, name)
		}
	}
	work, err := os.MkdirTemp("", "soak")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(work)) }()
	binary := filepath.Join(work, "trackd")
	if !c.Bool("plan") {
		if err := buildBinary(ctx, binary); err != nil {
			return err
		}
	}
	broken := 0
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i)
		plan := PlanFaults(seed, c.Duration("for"))
		if c.Bool("plan") {
			for _, e := range plan {
				fmt.Println(e)
			}
			continue
		}
		setup := Setup{
			Binary: binary, WorkDir: filepath.Join(work, fmt.Sprint("seed-", seed)), Seed: seed,
			Entries: c.Int("entries"), Replicas: c.Int("replicas"), Clients: c.Int("clients"), Zones: c.Int("zones"),
			Length: c.Duration("for"), Bounds: DefaultBounds(),
		}
		history, err := RunTestbed(ctx, setup, plan)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		found := Check(history, setup.Bounds)
		printReport(seed, plan, history, found)
		if len(found) == 0 {
			continue
		}
		broken++
		if logs := c.String("logs"); logs != "" {
			if err := os.CopyFS(filepath.Join(logs, fmt.Sprint("seed-", seed)), os.DirFS(setup.WorkDir)); err != nil {
				return fmt.Errorf("copy logs: %w", err)
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w in %d of %d runs", errGuaranteeBroken, broken, c.Int("seeds"))
	}
	return nil
}

// printReport prints a summary of a run and its violations.
func printReport(seed uint64, plan []PlannedFault, h *History, found []Violation) {
	served, refused, failed := 0, 0, 0
	for _, o := range h.Requests {
		switch {
		case o.served():
			served++
		case o.Response.Status == 503:
			refused++
		default:
			failed++
		}
	}
	fmt.Printf("seed %d: %d requests, %d served, %d refused with 503, %d others, %d runs on replicas, %d crashes by requests, %d expert map changes on ranks, %d faults %v, %d violations\n",
		seed, len(h.Requests), served, refused, failed, len(h.Runs), len(h.Crashes), h.MapChanges, len(plan), countFaults(plan), len(found))
	for i, v := range found {
		if i == maxViolationsShown {
			fmt.Printf("  and %d more\n", len(found)-i)
			return
		}
		fmt.Printf("  %s: %s\n", v.Rule, v.Detail)
	}
}

// maxViolationsShown bounds the violations that a report lists.
const maxViolationsShown = 8
