// Command expertlab compares the expert placement policy with baseline strategies on seeded
// traces and prints the table of docs/measurements/expert-maps.md.
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
	if err := rootCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// rootCommand returns the command line of the program.
func rootCommand() *cli.Command {
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

// benchCase is the run of one placement strategy on one trace.
type benchCase struct {
	deployment skew.Deployment
	shape      expert.Shape
	// kind is the kind of trace.
	kind     skew.Kind
	strategy string
	result   skew.Result
}

// String returns the name that --only is matched with.
func (c *benchCase) String() string {
	return fmt.Sprintf("%s %s %d %s", c.deployment.Name, c.kind, c.shape.Ranks, c.strategy)
}

// compare runs the cases that the flags select, and prints the table and the plot.
func compare(_ context.Context, cmd *cli.Command) error {
	cases := newCases(cmd.Int("layers"), cmd.String("only"))
	var group errgroup.Group
	group.SetLimit(cmd.Int("parallel"))
	for _, c := range cases {
		group.Go(func() error { return c.run(cmd.Uint64("seed")) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	printTable(cmd.Root().Writer, cases)
	if path := cmd.String("plot"); path != "" {
		return writePlot(path, cases)
	}
	return nil
}

// newCases returns the cases whose name contains only. The "full repack" case of a trace precedes
// its "policy" case, which printTable relies on.
func newCases(layers int, only string) []*benchCase {
	var cases []*benchCase
	for _, d := range skew.Deployments() {
		for _, kind := range []skew.Kind{skew.Drift, skew.Lunch, skew.Noise, skew.Jitter} {
			for _, shape := range skew.Shapes(layers) {
				for _, strategy := range strategies(kind) {
					c := &benchCase{deployment: d, shape: shape, kind: kind, strategy: strategy}
					if strings.Contains(c.String(), only) {
						cases = append(cases, c)
					}
				}
			}
		}
	}
	return cases
}

// strategies returns the placement strategies that are compared on a kind of trace.
func strategies(kind skew.Kind) []string {
	switch kind {
	case skew.Noise:
		return []string{"static", "full repack", "policy", "oracle"}
	case skew.Jitter:
		return []string{"full repack", "policy"}
	}
	return []string{"static", "full repack", "policy"}
}

// run runs the strategy on the trace that the seed generates, and stores the result.
func (c *benchCase) run(seed uint64) error {
	trace := skew.NewTrace(c.shape, c.kind, c.deployment.Jumps, seed)
	target := c.deployment.Target
	switch c.strategy {
	case "static":
		c.result = skew.Run(trace, skew.Static{}, target)
	case "full repack":
		c.result = skew.Run(trace, &skew.FullRepack{}, target)
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

// printTable prints the results as a Markdown table. It relates the bytes that "policy" moved to
// those of "full repack" in the case before.
func printTable(w io.Writer, cases []*benchCase) {
	fmt.Fprintln(w, "| weights | trace | ranks | way | mean | p95 | p95 / bound | GiB moved | of full | changes | stalled | longest switch | even again | slowest plan |")
	fmt.Fprintln(w, "| --- | --- | ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	fullBytes := int64(0)
	for _, c := range cases {
		r := c.result
		if c.strategy == "full repack" {
			fullBytes = r.Bytes
		}
		fmt.Fprintf(w, "| %s | %s | %d | %s | %.3f | %.3f | %.3f | %.0f | %s | %d | %s | %s | %s | %s |\n",
			c.deployment.Name, c.kind, c.shape.Ranks, c.strategy, r.Mean, r.P95, r.P95Bound,
			float64(r.Bytes)/(1<<30), formatRatio(r.Bytes, fullBytes, c.strategy), r.Changes,
			r.Stalled.Round(100*time.Millisecond), r.LongestStall, formatBalancedAfter(r.RebalanceTime),
			r.SlowestPlan.Round(100*time.Microsecond))
	}
}

// formatRatio returns the bytes that "policy" moved as a share of those that "full repack" moved;
// empty for other strategies.
func formatRatio(bytes, fullBytes int64, strategy string) string {
	if strategy != "policy" || fullBytes == 0 {
		return ""
	}
	return fmt.Sprintf("%.3f", float64(bytes)/float64(fullBytes))
}

// formatBalancedAfter returns the time from a jump until the skew was at most its target again; empty if
// the trace has no jumps, "never" from 24 hours on.
func formatBalancedAfter(d time.Duration) string {
	switch {
	case d < 0:
		return ""
	case d >= 24*time.Hour:
		return "never"
	}
	return d.String()
}
