// Command daylab simulates days of streamed requests on a virtual clock and prints the latencies
// that clients saw as a Markdown table, with one row for each day.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track"
	"filberttrack.example/track/emul"
)

func main() {
	if err := rootCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "daylab:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command line of the program. The defaults of the flags describe the
// larger of the users' deployments, on a day on which the popular experts change.
func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "daylab",
		Usage: "simulate days of streamed requests",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first day"},
			&cli.IntFlag{Name: "days", Value: 3, Usage: "number of days, one seed after the other"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "length of a day"},
			&cli.IntFlag{Name: "entries", Value: 38, Usage: "number of entries"},
			&cli.IntFlag{Name: "zones", Value: 3, Usage: "number of availability zones"},
			&cli.IntFlag{Name: "groups", Value: 3, Usage: "number of rank groups"},
			&cli.IntFlag{Name: "ranks", Value: 24, Usage: "ranks of a group"},
			&cli.FloatFlag{Name: "rate", Value: 295, Usage: "streams a second"},
			&cli.DurationFlag{
				Name: "hold", Value: 160 * time.Millisecond,
				Usage: "longest time for which an entry delays an event to even out pauses",
			},
			&cli.DurationFlag{
				Name: "shifts", Value: 2400 * time.Millisecond,
				Usage: "time between two changes of the popular experts; 0 for none",
			},
			&cli.DurationFlag{
				Name: "shift-time", Value: 300 * time.Millisecond,
				Usage: "time from a shift until the expert map is balanced again",
			},
			&cli.FloatFlag{Name: "shift-skew", Value: 3, Usage: "load skew between the ranks after a shift"},
			&cli.DurationFlag{
				Name: "far", Value: 300 * time.Millisecond,
				Usage: "delay with which the requests of other zones are known",
			},
			&cli.DurationFlag{Name: "outage", Usage: "time for which the first group is broken, from a third of the day on"},
			&cli.FloatFlag{
				Name:  "slow",
				Usage: "factor by which a rank of the last group is slower in the middle third of the day",
			},
		},
		Action: run,
	}
}

// run simulates the days and prints the table.
func run(_ context.Context, c *cli.Command) error {
	fmt.Println("| seed | asked | refused | on time | late first | late pause | first p50 | first p99 | pause p99 | pass p50 | pass p95 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i := range c.Int("days") {
		day := newDay(c)
		day.Seed += uint64(i)
		result, err := emul.Simulate(day)
		if err != nil {
			return err
		}
		percentileMs := func(durations []time.Duration, p float64) int64 {
			return emul.Percentile(durations, p).Milliseconds()
		}
		fmt.Printf("| %d | %d | %d | %.3f | %d | %d | %d ms | %d ms | %d ms | %d ms | %d ms |\n",
			day.Seed, result.Requested, result.Refused, result.OnTime(), result.LateFirst, result.LateGap,
			percentileMs(result.First, 0.5), percentileMs(result.First, 0.99), percentileMs(result.Gaps, 0.99),
			percentileMs(result.Passes, 0.5), percentileMs(result.Passes, 0.95))
	}
	return nil
}

// newDay returns the simulated day that the flags describe.
func newDay(c *cli.Command) emul.Scenario {
	length := c.Duration("length")
	day := emul.Scenario{
		Seed: c.Uint64("seed"), Length: length,
		Entries: c.Int("entries"), Zones: c.Int("zones"), Groups: c.Int("groups"), Ranks: c.Int("ranks"),
		Rate: c.Float("rate"), Prompt: 830, Events: 23, Samples: 1,
		Engine: track.EngineSpec{
			Slots: 10, MemoryTokens: 310000, TokensPerPass: 6,
			StepTime: 5850 * time.Microsecond, StepPerRequest: 426 * time.Microsecond,
			PromptTokensPerSecond: 61200, GroupRecoveryTime: 600 * time.Millisecond,
		},
		SameZoneDelay: 100 * time.Millisecond, OtherZoneDelay: c.Duration("far"),
		ShiftInterval: c.Duration("shifts"), ShiftDuration: c.Duration("shift-time"), Skew: 1.25,
		ShiftSkew: c.Float("shift-skew"),
		Objective: 400 * time.Millisecond, MaxGap: 120 * time.Millisecond, MaxHold: c.Duration("hold"),
	}
	if outage := c.Duration("outage"); outage > 0 {
		day.Outages = []emul.Outage{{From: length / 3, To: length/3 + outage}}
	}
	if slowdown := c.Float("slow"); slowdown > 1 {
		day.Slow = []emul.SlowPeriod{{Group: day.Groups - 1, Slowdown: slowdown, From: length / 3, To: 2 * length / 3}}
	}
	return day
}
