// Command routelab compares routing algorithms on the same seeded trace of requests and prints a
// table with a row for each.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/bench/trace"
)

func main() {
	spec := trace.Default()
	command := &cli.Command{
		Name:  "routelab",
		Usage: "compare routers on the same seeded trace",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the trace", Value: spec.Seed, Destination: &spec.Seed},
			&cli.Float64Flag{Name: "rate", Usage: "requests a second", Value: spec.Rate, Destination: &spec.Rate},
			&cli.Float64Flag{
				Name: "surge", Usage: "factor by which the rate rises in the middle third of the trace",
				Value: spec.Surge, Destination: &spec.Surge,
			},
			&cli.DurationFlag{Name: "lag", Usage: "delay of load reports", Value: spec.ReportLag, Destination: &spec.ReportLag},
			&cli.DurationFlag{Name: "length", Usage: "length of the trace", Value: spec.Length, Destination: &spec.Length},
		},
		Action: func(context.Context, *cli.Command) error {
			compare(spec)
			return nil
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// compare runs the trace with each router and prints the table.
func compare(spec trace.Spec) {
	fmt.Printf("%-18s %s\n", "router", trace.Header)
	for _, contestant := range trace.RouterVariants() {
		report := trace.Run(spec, contestant.Build)
		fmt.Printf("%-18s %s\n", contestant.Name, report.String())
	}
}
