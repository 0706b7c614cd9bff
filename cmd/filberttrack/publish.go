package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/change"
	"filberttrack.example/track/edits"
)

// Exit codes of commands that publish a change, and the operator that they name by default.
const (
	exitRefused     = 3
	exitNotInForce  = 4
	defaultOperator = "unnamed"
)

// publishFlags returns the flags of commands that publish a change.
func publishFlags() []cli.Flag {
	return append(adminFlags(),
		&cli.StringFlag{
			Name: "operator", Usage: "`NAME` that the history shows", Value: defaultOperator,
			Sources: cli.EnvVars("FILBERTTRACK_OPERATOR", "USER"),
		},
		&cli.StringFlag{
			Name: "token-file", Usage: "`FILE` with the admin token", Sources: cli.EnvVars("FILBERTTRACK_TOKEN_FILE"),
		},
		&cli.StringFlag{Name: "id", Usage: "change `ID`; to retry a change whose verdict is unknown, pass its ID again"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on all known live instances"},
		&cli.BoolFlag{Name: "dry-run", Usage: "show the verdict that the change would get, and publish nothing"},
		&cli.DurationFlag{
			Name:  "timeout",
			Usage: "longest `TIME` to wait for the verdict, and with --wait again until the change is in force",
			Value: 20 * time.Second,
		},
	)
}

// publishEdits publishes a change with the edits and prints the verdict. The error carries the
// exit code.
func publishEdits(ctx context.Context, c *cli.Command, editList []change.Edit) error {
	if len(editList) == 0 {
		_, err := fmt.Fprintln(c.Root().Writer, "nothing to change")
		return err
	}
	id := c.String("id")
	if id == "" {
		id = rand.Text()
	}
	published, err := publishChange(ctx, c, edits.PublishRequest{
		Change: change.Change{ID: id, Operator: c.String("operator"), Edits: editList},
		DryRun: c.Bool("dry-run"), Wait: c.Bool("wait"), Timeout: c.Duration("timeout"),
	})
	if err != nil {
		return fmt.Errorf("publish change %s: %w", id, err)
	}
	if c.Bool("json") {
		err = printJSON(c.Root().Writer, published)
	} else {
		err = printPublished(c.Root().Writer, published)
	}
	if err != nil {
		return err
	}
	return publicationError(published)
}

// publicationError returns the error with the exit code for a publication that was refused or is
// not in force everywhere yet. The details have been printed before.
func publicationError(p edits.PublishResult) error {
	switch {
	case !p.Decision.Verdict.Accepted:
		return cli.Exit("the change was refused", exitRefused)
	case p.Propagation != nil && !p.Propagation.Complete():
		return cli.Exit("the change is accepted, but not in force everywhere yet", exitNotInForce)
	}
	return nil
}

func printPublished(w io.Writer, p edits.PublishResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "Change\t%s\n", p.Decision.Change.ID)
	fmt.Fprintf(t, "Verdict\t%s\n", describeVerdict(p))
	fmt.Fprintf(t, "Version\t%d\n", p.Decision.Verdict.Version)
	if v := p.Decision.Verdict; !v.Accepted {
		fmt.Fprintf(t, "Detail\t%s\n", v.Detail)
		if v.Winner != nil {
			fmt.Fprintf(t, "Changed by\t%s at %s\n", v.Winner.Operator, v.Winner.Time.Format(time.RFC3339))
		}
	}
	if s := p.Propagation; s != nil {
		fmt.Fprintf(t, "In force on\t%d of %d instances\n", len(s.InForce), len(s.InForce)+len(s.Behind)+len(s.Silent))
		for _, id := range s.Behind {
			fmt.Fprintf(t, "Older version\t%s\n", id)
		}
		for _, id := range s.Silent {
			fmt.Fprintf(t, "No answer\t%s\n", id)
		}
	}
	return t.Flush()
}

func describeVerdict(p edits.PublishResult) string {
	text := "refused: " + string(p.Decision.Verdict.Reason)
	if p.Decision.Verdict.Accepted {
		text = "accepted"
	}
	if p.DryRun {
		text += " (dry run, nothing was published)"
	}
	return text
}

// objectNames returns the kinds and names of the first four objects that a change edits, and how
// many more there are.
func objectNames(c change.Change) string {
	names := make([]string, len(c.Edits))
	for i, e := range c.Edits {
		names[i] = strings.ToLower(string(e.Kind)) + "/" + e.Name
	}
	const maxNames = 4
	if len(names) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], " "), len(names)-maxNames)
	}
	return strings.Join(names, " ")
}
