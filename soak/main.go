// Command soak runs the real entries as processes of their own on loopback, in front of
// stand-ins of the platform's log and of replicas, has seeds disturb them from outside,
// and checks what clients and replicas saw.
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
	if err := root().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "disturb real processes and check what their clients saw",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first run"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs, one seed after the other"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "time of disturbances in a run"},
			&cli.IntFlag{Name: "entries", Value: 4, Usage: "number of entries"},
			&cli.IntFlag{Name: "replicas", Value: 6, Usage: "number of replicas of each of two services"},
			&cli.IntFlag{Name: "clients", Value: 40, Usage: "number of clients"},
			&cli.StringFlag{Name: "logs", Usage: "directory that keeps logs of runs with a broken promise"},
			&cli.BoolFlag{Name: "plan", Usage: "print the disturbances of the seeds and run nothing"},
		},
		Action: run,
	}
}

var errBroken = errors.New("a promise was broken")

func run(ctx context.Context, c *cli.Command) (err error) {
	work, err := os.MkdirTemp("", "soak")
	if err != nil {
		return fmt.Errorf("make a directory: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(work)) }()
	binary := filepath.Join(work, "trackd")
	if !c.Bool("plan") {
		if err := build(ctx, binary); err != nil {
			return err
		}
	}
	broken := 0
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i)
		plan := Plan(seed, c.Duration("for"))
		if c.Bool("plan") {
			for _, e := range plan {
				fmt.Println(e)
			}
			continue
		}
		setup := Setup{
			Binary: binary, Work: filepath.Join(work, fmt.Sprint("seed-", seed)), Seed: seed,
			Entries: c.Int("entries"), Replicas: c.Int("replicas"), Clients: c.Int("clients"),
			Length: c.Duration("for"), Bounds: DefaultBounds(),
		}
		history, err := Play(ctx, setup, plan)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		found := Check(history, setup.Bounds)
		report(seed, plan, history, found)
		if len(found) == 0 {
			continue
		}
		broken++
		if logs := c.String("logs"); logs != "" {
			if err := os.CopyFS(filepath.Join(logs, fmt.Sprint("seed-", seed)), os.DirFS(setup.Work)); err != nil {
				return fmt.Errorf("keep logs: %w", err)
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w in %d of %d runs", errBroken, broken, c.Int("seeds"))
	}
	return nil
}

// report prints one line on a run, and one on each broken promise.
func report(seed uint64, plan []Event, h *History, found []Violation) {
	served, refused, failed := 0, 0, 0
	for _, o := range h.Outcomes {
		switch {
		case o.served():
			served++
		case o.Reply.Status == 503:
			refused++
		default:
			failed++
		}
	}
	fmt.Printf("seed %d: %d requests, %d served, %d told 503, %d others, %d runs, %d changes of ranks' maps, %d disturbances %v, %d broken promises\n",
		seed, len(h.Outcomes), served, refused, failed, len(h.Runs), h.Changes, len(plan), countFaults(plan), len(found))
	for i, v := range found {
		if i == maxShown {
			fmt.Printf("  and %d more\n", len(found)-i)
			return
		}
		fmt.Printf("  %s: %s\n", v.Rule, v.Detail)
	}
}

// maxShown bounds the broken promises that a report shows.
const maxShown = 8
