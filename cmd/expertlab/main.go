// Command expertlab compares the expert placement policy with its baselines on
// seeded traces and prints the table of docs/measurements/expert-maps.md.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"filberttrack.example/track/bench/skew"
	"filberttrack.example/track/expert"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "expertlab",
		Usage: "compare the expert placement policy with its baselines",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the traces"},
			&cli.IntFlag{Name: "layers", Value: 16, Usage: "layers of the model"},
			&cli.IntFlag{Name: "parallel", Value: 2, Usage: "runs at the same time"},
			&cli.StringFlag{Name: "only", Usage: "run only the cases whose name contains this"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot of the lunch day to this SVG file"},
		},
		Action: compare,
	}
}

// labCase is one trace against one way of placement.
type labCase struct {
	deployment skew.Deployment
	shape      expert.Shape
	kind       skew.Kind
	placer     string
	result     skew.Result
}

func (c *labCase) String() string {
	return fmt.Sprintf("%s %s %d %s", c.deployment.Name, c.kind, c.shape.Ranks, c.placer)
}

func compare(_ context.Context, cmd *cli.Command) error {
	cases := list(cmd.Int("layers"), cmd.String("only"))
	var group errgroup.Group
	group.SetLimit(cmd.Int("parallel"))
	for _, c := range cases {
		group.Go(func() error { return c.run(cmd.Uint64("seed")) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	show(cmd.Root().Writer, cases)
	if path := cmd.String("plot"); path != "" {
		return draw(path, cases)
	}
	return nil
}

func list(layers int, only string) []*labCase {
	var out []*labCase
	for _, d := range skew.Deployments() {
		for _, kind := range []skew.Kind{skew.Drift, skew.Lunch, skew.Noise, skew.Jitter} {
			for _, shape := range skew.Shapes(layers) {
				for _, placer := range placers(kind) {
					c := &labCase{deployment: d, shape: shape, kind: kind, placer: placer}
					if strings.Contains(c.String(), only) {
						out = append(out, c)
					}
				}
			}
		}
	}
	return out
}

// placers returns the ways of placement that are compared on a kind of trace.
func placers(kind skew.Kind) []string {
	switch kind {
	case skew.Noise:
		return []string{"static", "full repack", "policy", "oracle"}
	case skew.Jitter:
		return []string{"full repack", "policy"}
	}
	return []string{"static", "full repack", "policy"}
}

func (c *labCase) run(seed uint64) error {
	trace := skew.NewTrace(c.shape, c.kind, c.deployment.Jumps, seed)
	target := c.deployment.Target
	switch c.placer {
	case "static":
		c.result = skew.Run(trace, skew.Static{}, target)
	case "full repack":
		c.result = skew.Run(trace, &skew.Full{}, target)
	case "oracle":
		c.result = skew.Run(trace, skew.NewOracle(c.shape, seed), target)
	default:
		start := time.Now()
		policy, err := skew.NewPolicy(c.shape, c.deployment.Policy, func() time.Duration { return time.Since(start) })
		if err != nil {
			return err
		}
		c.result = skew.Run(trace, policy, target)
		c.result.SlowestPlan = policy.Slowest
	}
	return nil
}

func show(w io.Writer, cases []*labCase) {
	fmt.Fprintln(w, "| weights | trace | ranks | way | mean | p95 | p95 / bound | GiB moved | of full | changes | stalled | longest switch | even again | slowest plan |")
	fmt.Fprintln(w, "| --- | --- | ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	full := int64(0)
	for _, c := range cases {
		r := c.result
		if c.placer == "full repack" {
			full = r.Bytes
		}
		fmt.Fprintf(w, "| %s | %s | %d | %s | %.3f | %.3f | %.3f | %.0f | %s | %d | %s | %s | %s | %s |\n",
			c.deployment.Name, c.kind, c.shape.Ranks, c.placer, r.Mean, r.P95, r.P95Bound,
			float64(r.Bytes)/(1<<30), ratio(r.Bytes, full, c.placer), r.Changes,
			r.Stalled.Round(100*time.Millisecond), r.LongestStall, even(r.EvenAgain), r.SlowestPlan.Round(100*time.Microsecond))
	}
}

func ratio(bytes, full int64, placer string) string {
	if placer != "policy" || full == 0 {
		return ""
	}
	return fmt.Sprintf("%.3f", float64(bytes)/float64(full))
}

func even(d time.Duration) string {
	switch {
	case d < 0:
		return ""
	case d >= 24*time.Hour:
		return "never"
	}
	return d.String()
}
