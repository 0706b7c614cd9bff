package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/change"
	"filberttrack.example/track/config"
	"filberttrack.example/track/edits"
)

// configCommand returns the commands that show the history and the state of the configuration
// and roll it back.
func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show the history of the configuration, and roll it back",
		Commands: []*cli.Command{
			{Name: "history", Usage: "list accepted and refused changes", Flags: adminFlags(), Action: showHistory},
			{
				Name: "diff", Usage: "show what differs between two versions", Action: showDiff,
				Flags: append(adminFlags(),
					&cli.UintFlag{Name: "from", Usage: "older `VERSION`", Required: true},
					&cli.UintFlag{Name: "to", Usage: "newer `VERSION`; the current one by default"}),
			},
			{
				Name: "rollback", Usage: "publish a change that brings back all objects of a version", Action: runRollback,
				Flags: append(publishFlags(), &cli.UintFlag{Name: "to", Usage: "`VERSION` to bring back", Required: true}),
			},
			{
				Name: "status", Usage: "show the configuration version of an instance and its age",
				Flags: adminFlags(), Action: showConfigStatus,
			},
		},
	}
}

// showValue fetches a value from the admin listener and prints it with printTable, or as JSON
// if --json is set.
func showValue[T any](ctx context.Context, c *cli.Command, path string, printTable func(io.Writer, T) error) error {
	value, err := getJSON[T](ctx, c.String("admin"), path)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, value)
	}
	return printTable(c.Root().Writer, value)
}

func showHistory(ctx context.Context, c *cli.Command) error {
	return showValue(ctx, c, edits.HistoryPath, printHistory)
}

func printHistory(w io.Writer, history []change.Decision) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SEQ\tVERSION\tVERDICT\tTIME\tOPERATOR\tCHANGE\tOBJECTS")
	for _, d := range history {
		verdict := "Accepted"
		if !d.Verdict.Accepted {
			verdict = string(d.Verdict.Reason)
		}
		fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%s\t%s\t%s\n", d.Seq, d.Verdict.Version, verdict,
			d.Change.Time.Format(time.RFC3339), d.Change.Operator, d.Change.ID, objectNames(d.Change))
	}
	return t.Flush()
}

func showDiff(ctx context.Context, c *cli.Command) error {
	pairs := []string{"from", fmt.Sprint(c.Uint("from"))}
	if c.IsSet("to") {
		pairs = append(pairs, "to", fmt.Sprint(c.Uint("to")))
	}
	return showValue(ctx, c, withQuery(edits.DiffPath, pairs...), printDiff)
}

func printDiff(w io.Writer, differences []change.Difference) error {
	for _, d := range differences {
		_, err := fmt.Fprintf(w, "%s\n- %s\n+ %s\n", d.Key, d.From, d.To)
		if err != nil {
			return err
		}
	}
	return nil
}

func runRollback(ctx context.Context, c *cli.Command) error {
	editList, err := getJSON[[]change.Edit](
		ctx, c.String("admin"), withQuery(edits.RollbackPath, "to", fmt.Sprint(c.Uint("to"))))
	if err != nil {
		return err
	}
	return publishEdits(ctx, c, editList)
}

func showConfigStatus(ctx context.Context, c *cli.Command) error {
	return showValue(ctx, c, edits.StatusPath, printConfigStatus)
}

func printConfigStatus(w io.Writer, s config.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "Known\t%t\n", s.Known)
	fmt.Fprintf(t, "Version\t%d\n", s.Version)
	fmt.Fprintf(t, "Age\t%s\n", formatAge(s.Age))
	fmt.Fprintf(t, "Log\t%s\n", describeLogState(s))
	fmt.Fprintf(t, "Newest snapshot\t%s\n", formatAge(s.SnapshotAge))
	return t.Flush()
}

// formatAge returns an age rounded to seconds, or "unknown" if it is negative.
func formatAge(age time.Duration) string {
	if age < 0 {
		return "unknown"
	}
	return age.Round(time.Second).String()
}

// describeLogState returns how far the instance has read the configuration log, or why it
// cannot.
func describeLogState(s config.Status) string {
	switch {
	case s.LogError != "":
		return "unavailable: " + s.LogError
	case s.Searching:
		return "records expired before they were read; searching for a snapshot"
	default:
		return fmt.Sprintf("read to offset %d", s.Offset)
	}
}
