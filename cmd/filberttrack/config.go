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

// configCommand shows the history of the configuration and rolls it back.
func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show the history of the configuration, and roll it back",
		Commands: []*cli.Command{
			{Name: "history", Usage: "list decided changes", Flags: adminFlags(), Action: showHistory},
			{
				Name: "diff", Usage: "show what differs between two versions", Action: showDiff,
				Flags: append(adminFlags(),
					&cli.UintFlag{Name: "from", Usage: "older `VERSION`", Required: true},
					&cli.UintFlag{Name: "to", Usage: "newer `VERSION`; that in force if not given"}),
			},
			{
				Name: "rollback", Usage: "publish a change that brings back all objects of a version", Action: rollBack,
				Flags: append(publishFlags(), &cli.UintFlag{Name: "to", Usage: "`VERSION` to bring back", Required: true}),
			},
			{Name: "status", Usage: "show how old an instance's knowledge is", Flags: adminFlags(), Action: showConfigStatus},
		},
	}
}

// show fetches a value and prints it, as JSON if asked for.
func show[T any](ctx context.Context, c *cli.Command, path string, table func(io.Writer, T) error) error {
	value, err := get[T](ctx, c.String("admin"), path)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, value)
	}
	return table(c.Root().Writer, value)
}

func showHistory(ctx context.Context, c *cli.Command) error {
	return show(ctx, c, edits.HistoryPath, printHistory)
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
	return show(ctx, c, withQuery(edits.DiffPath, pairs...), printDiff)
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

func rollBack(ctx context.Context, c *cli.Command) error {
	changed, err := get[[]change.Edit](ctx, c.String("admin"), withQuery(edits.RollbackPath, "to", fmt.Sprint(c.Uint("to"))))
	if err != nil {
		return err
	}
	return publishEdits(ctx, c, changed)
}

func showConfigStatus(ctx context.Context, c *cli.Command) error {
	return show(ctx, c, edits.StatusPath, printConfigStatus)
}

func printConfigStatus(w io.Writer, s config.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "Known\t%t\n", s.Known)
	fmt.Fprintf(t, "Version\t%d\n", s.Version)
	fmt.Fprintf(t, "Age\t%s\n", ageText(s.Age))
	fmt.Fprintf(t, "Log\t%s\n", logText(s))
	fmt.Fprintf(t, "Newest snapshot\t%s\n", ageText(s.SnapshotAge))
	return t.Flush()
}

// ageText returns an age to the second, or that there is none.
func ageText(age time.Duration) string {
	if age < 0 {
		return "unknown"
	}
	return age.Round(time.Second).String()
}

func logText(s config.Status) string {
	switch {
	case s.LogError != "":
		return "away: " + s.LogError
	case s.Searching:
		return "records expired unread; looking for a snapshot"
	default:
		return fmt.Sprintf("read to offset %d", s.Offset)
	}
}
