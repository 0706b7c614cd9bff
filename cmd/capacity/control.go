package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/gauge"
)

// benchmark measures the costs of one part of the system at several sizes.
type benchmark struct {
	name string
	// variable names what the sizes count.
	variable string
	sizes    []int
	costs    []cost
	// measure returns the measured costs at a size, in the order of the field costs.
	measure func(ctx context.Context, size int) ([]float64, error)
}

// cost is one cost that a benchmark measures. Its values for the two deployment sizes are
// extrapolated from the line fitted to the measured points.
type cost struct {
	name string
	unit string
	// today and planned are the sizes in a deployment of today and in the planned one.
	today, planned float64
	// rate is set if the sizes are events per second. The extrapolated cost then leaves out
	// the base of the line, which is the cost of starting the measurement.
	rate bool
}

// formatAt returns the cost at a size: the measured value if there is one, else that of the fitted
// line, marked with a tilde.
func (c cost) formatAt(points []gauge.Point, line gauge.Line, size float64) string {
	for _, p := range points {
		if p.Size == size {
			return fmt.Sprintf("%.4g", p.Cost)
		}
	}
	if c.rate {
		return fmt.Sprintf("~%.4g", line.Slope*size)
	}
	return fmt.Sprintf("~%.4g", line.At(size))
}

func controlCommand() *cli.Command {
	var only string
	return &cli.Command{
		Name:  "control",
		Usage: "measure how state, messages and CPU time of the control plane grow with a deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "only", Usage: "measure only the parts whose name contains `TEXT`", Destination: &only},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return measureControl(ctx, c.Root().Writer, benchmarks(), only)
		},
	}
}

// benchmarks returns the benchmarks of all parts.
func benchmarks() []benchmark {
	return slices.Concat(
		claimBenchmarks(), configBenchmarks(), memberBenchmarks(), entryBenchmarks(),
		agentBenchmarks(), expertBenchmarks(), platformBenchmarks(), memoryBenchmarks(),
	)
}

// measureControl runs the benchmarks whose name contains only, and prints their table.
func measureControl(ctx context.Context, out io.Writer, all []benchmark, only string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "part\tcost\tof\tmeasured\tbase\tslope\tR2\ttoday\ttwo years")
	for _, b := range all {
		if !strings.Contains(b.name, only) {
			continue
		}
		if err := b.print(ctx, table); err != nil {
			return fmt.Errorf("%s: %w", b.name, err)
		}
	}
	return table.Flush()
}

// print runs the benchmark at each size and prints a row for each cost.
func (b benchmark) print(ctx context.Context, out io.Writer) error {
	points := make([][]gauge.Point, len(b.costs))
	// Runs once unmeasured to fill pools and caches.
	if _, err := b.measure(ctx, b.sizes[0]); err != nil {
		return err
	}
	for _, size := range b.sizes {
		values, err := b.measure(ctx, size)
		if err != nil {
			return err
		}
		for i, v := range values {
			points[i] = append(points[i], gauge.Point{Size: float64(size), Cost: v})
		}
	}
	for i, c := range b.costs {
		line := gauge.Fit(points[i])
		measured := make([]string, len(points[i]))
		for j, p := range points[i] {
			measured[j] = fmt.Sprintf("%.0f:%.4g", p.Size, p.Cost)
		}
		fmt.Fprintf(out, "%s\t%s, %s\t%s\t%s\t%.4g\t%.4g\t%.3f\t%s\t%s\n",
			b.name, c.name, c.unit, b.variable, strings.Join(measured, " "), line.Intercept, line.Slope, line.R2,
			c.formatAt(points[i], line, c.today), c.formatAt(points[i], line, c.planned))
	}
	return nil
}

// cpuMicros returns the CPU time of run in microseconds.
func cpuMicros(run func() error) (float64, error) {
	before, err := gauge.CPUTime()
	if err != nil {
		return 0, err
	}
	if err := run(); err != nil {
		return 0, err
	}
	after, err := gauge.CPUTime()
	return float64(after-before) / float64(time.Microsecond), err
}

// heapGrowthKB returns by how many kilobytes the heap has grown; before is the earlier size in
// bytes.
func heapGrowthKB(before uint64) float64 {
	return (float64(gauge.HeapBytes()) - float64(before)) / 1000
}
