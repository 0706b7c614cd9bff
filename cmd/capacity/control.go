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

// subject is one part whose costs are measured at several sizes.
type subject struct {
	name string
	// variable names what the sizes count.
	variable string
	sizes    []int
	costs    []cost
	// measure returns the costs at a size, in the order of costs.
	measure func(ctx context.Context, size int) ([]float64, error)
}

// cost is one cost of a subject. Its figures are derived for the two sizes of a
// deployment from the line through the measured points.
type cost struct {
	name string
	unit string
	// today and planned are the sizes of a deployment of today and of the size
	// to design for.
	today, planned float64
	// rate is set if the sizes of a deployment are events a second, so that the
	// cost of starting the measurement does not count.
	rate bool
}

// at returns the cost at a size of a deployment: the measured one, or else that
// of the line, marked with a tilde.
func (c cost) at(points []gauge.Point, line gauge.Line, size float64) string {
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
		Usage: "slopes of the state, messages and processor time of control",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "only", Usage: "measure only the subjects whose name contains `TEXT`", Destination: &only},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return measureControl(ctx, c.Root().Writer, subjects(), only)
		},
	}
}

// subjects lists all parts that are measured.
func subjects() []subject {
	return slices.Concat(
		claimSubjects(), configSubjects(), memberSubjects(), entrySubjects(),
		agentSubjects(), expertSubjects(), platformSubjects(), pathSubjects(),
	)
}

func measureControl(ctx context.Context, out io.Writer, all []subject, only string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "part\tcost\tof\tmeasured\tbase\tslope\tR2\ttoday\ttwo years")
	for _, s := range all {
		if !strings.Contains(s.name, only) {
			continue
		}
		if err := s.print(ctx, table); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return table.Flush()
}

// print measures the subject and prints a row for each cost.
func (s subject) print(ctx context.Context, out io.Writer) error {
	points := make([][]gauge.Point, len(s.costs))
	// The first run fills pools and caches, and does not count.
	if _, err := s.measure(ctx, s.sizes[0]); err != nil {
		return err
	}
	for _, size := range s.sizes {
		values, err := s.measure(ctx, size)
		if err != nil {
			return err
		}
		for i, v := range values {
			points[i] = append(points[i], gauge.Point{Size: float64(size), Cost: v})
		}
	}
	for i, c := range s.costs {
		line := gauge.Fit(points[i])
		measured := make([]string, len(points[i]))
		for j, p := range points[i] {
			measured[j] = fmt.Sprintf("%.0f:%.4g", p.Size, p.Cost)
		}
		fmt.Fprintf(out, "%s\t%s, %s\t%s\t%s\t%.4g\t%.4g\t%.3f\t%s\t%s\n",
			s.name, c.name, c.unit, s.variable, strings.Join(measured, " "), line.Intercept, line.Slope, line.R2,
			c.at(points[i], line, c.today), c.at(points[i], line, c.planned))
	}
	return nil
}

// processorMicros returns the processor time of run in microseconds.
func processorMicros(run func() error) (float64, error) {
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

// heapKB returns by how many kilobytes the heap grew since before.
func heapKB(before uint64) float64 {
	return (float64(gauge.HeapBytes()) - float64(before)) / 1000
}
