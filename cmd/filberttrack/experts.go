package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track"
)

// expertsCommand returns the commands that show and control the expert placement of a rank
// group. They call the admin listener of an agent of the group.
func expertsCommand() *cli.Command {
	return &cli.Command{
		Name:  "experts",
		Usage: "show and control the expert placement of a rank group",
		Commands: []*cli.Command{
			expertsSubcommand("show", "show map, load of each rank and skew", http.MethodGet, "/experts", printPlacement),
			expertsSubcommand("plan", "show the latest plan and its cost", http.MethodGet, "/experts", printPlan),
			expertsSubcommand("pause", "plan, but don't carry plans out", http.MethodPost, "/experts/pause", printPauseState),
			expertsSubcommand("resume", "carry plans out again", http.MethodPost, "/experts/resume", printPauseState),
		},
	}
}

// expertsSubcommand returns a command that calls a path of the admin listener and prints the
// expert report in the response with printReport, or as JSON.
func expertsSubcommand(
	name, usage, method, path string, printReport func(io.Writer, track.ExpertReport) error,
) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: adminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			report, err := callAdmin[track.ExpertReport](ctx, method, c.String("admin"), path)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(os.Stdout, report)
			}
			return printReport(os.Stdout, report)
		},
	}
}

func printPlacement(w io.Writer, r track.ExpertReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "Group\t%s\n", r.Group)
	fmt.Fprintf(t, "Map version\t%d by %s\n", r.Map.Version.Number, r.Map.Version.Driver)
	fmt.Fprintf(t, "Layers\t%d\n", len(r.Map.Layers))
	fmt.Fprintf(t, "Slots\t%d\n", r.Map.Slots)
	fmt.Fprintf(t, "Skew\t%.3f\n", r.Skew)
	fmt.Fprintf(t, "Lower bound\t%.3f\n", r.LowerBound)
	fmt.Fprintf(t, "Paused\t%t\n", r.Paused)
	fmt.Fprintf(t, "Latest change\t%s %s\n", r.Outcome, r.OutcomeReason)
	fmt.Fprintln(t, "\nRANK\tLOAD\tEXPERTS OF LAYER 0")
	for rank := range rankCount(r.Map) {
		load := 1.0
		if rank < len(r.RankLoads) {
			load = r.RankLoads[rank]
		}
		fmt.Fprintf(t, "%d\t%.3f\t%v\n", rank, load, r.Map.Layers[0][rank*r.Map.Slots:(rank+1)*r.Map.Slots])
	}
	return t.Flush()
}

// rankCount returns the number of ranks of a map; 0 for an empty map.
func rankCount(m track.ExpertMap) int {
	if len(m.Layers) == 0 || m.Slots == 0 {
		return 0
	}
	return len(m.Layers[0]) / m.Slots
}

func printPlan(w io.Writer, r track.ExpertReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "Planned\t%s\n", r.PlannedAt.Format(time.RFC3339))
	fmt.Fprintf(t, "Reason\t%s\n", r.Reason)
	fmt.Fprintf(t, "Skew\t%.3f, %.3f after the moves\n", r.Skew, r.ExpectedSkew)
	fmt.Fprintf(t, "Moves\t%d, %d deferred\n", len(r.Moves), r.Deferred)
	fmt.Fprintf(t, "Weights to fetch\t%d bytes in %s\n", r.Bytes, r.FetchTime.Round(time.Millisecond))
	fmt.Fprintf(t, "Paused\t%t\n", r.Paused)
	if len(r.Moves) > 0 {
		fmt.Fprintln(t, "\nLAYER\tRANK\tFROM\tTO")
	}
	for _, m := range r.Moves {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\n", m.Layer, m.Rank, m.From, m.To)
	}
	return t.Flush()
}

func printPauseState(w io.Writer, r track.ExpertReport) error {
	_, err := fmt.Fprintf(w, "group %s: paused %t\n", r.Group, r.Paused)
	return err
}
