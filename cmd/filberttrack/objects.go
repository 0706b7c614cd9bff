package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/edits"
)

// objectKind describes a kind of configuration object to the commands that list, show, publish
// and delete objects of the kind.
type objectKind[T any] struct {
	kind change.ObjectKind
	// fromSettings returns the objects of the kind in a settings file.
	fromSettings func(conf.Settings) []T
	name         func(T) string
	// columns and row are the columns that "list" prints after the common ones, and their
	// values for an object.
	columns []string
	row     func(T) []string
}

// objectCommands returns the commands for profiles, models, services and client accounts.
func objectCommands() []*cli.Command {
	return []*cli.Command{
		objectKind[track.Profile]{
			kind:         change.ProfileKind,
			fromSettings: func(s conf.Settings) []track.Profile { return s.Profile },
			name:         func(p track.Profile) string { return p.Name },
			columns:      []string{"TIMEOUT", "PRIORITY", "ATTEMPTS"},
			row: func(p track.Profile) []string {
				return []string{p.Timeout.String(), fmt.Sprint(p.Priority), fmt.Sprint(p.Retry.MaxAttempts)}
			},
		}.command(),
		objectKind[track.Model]{
			kind:         change.ModelKind,
			fromSettings: func(s conf.Settings) []track.Model { return s.Model },
			name:         func(m track.Model) string { return m.Name },
			columns:      []string{"PROFILE"},
			row:          func(m track.Model) []string { return []string{m.Profile} },
		}.command(),
		objectKind[track.Service]{
			kind:         change.ServiceKind,
			fromSettings: func(s conf.Settings) []track.Service { return s.Service },
			name:         func(v track.Service) string { return v.Name },
			columns:      []string{"PROFILE"},
			row:          func(v track.Service) []string { return []string{v.Profile} },
		}.command(),
		objectKind[track.ClientAccount]{
			kind:         change.AccountKind,
			fromSettings: func(s conf.Settings) []track.ClientAccount { return s.Account },
			name:         func(a track.ClientAccount) string { return a.Name },
			columns:      []string{"WEIGHT", "REQUESTS/S", "TOKENS/S"},
			row: func(a track.ClientAccount) []string {
				return []string{fmt.Sprint(a.Weight), fmt.Sprint(a.RequestsPerSecond), fmt.Sprint(a.TokensPerSecond)}
			},
		}.command(),
	}
}

// command returns the command of the kind with its subcommands.
func (k objectKind[T]) command() *cli.Command {
	kindName := strings.ToLower(string(k.kind))
	return &cli.Command{
		Name:  kindName,
		Usage: "list, show, publish and delete objects of kind " + kindName,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list all", Flags: adminFlags(), Action: k.list},
			{Name: "show", Usage: "show one", ArgsUsage: "NAME", Flags: adminFlags(), Action: k.show},
			{
				Name: "publish", Usage: "create or replace the objects in a TOML file", ArgsUsage: "FILE",
				Flags: append(publishFlags(), &cli.UintFlag{
					Name: "replaces", Usage: "refuse unless each object has this `VERSION`; 0 for new ones",
				}),
				Action: k.publish,
			},
			{Name: "delete", Usage: "delete one", ArgsUsage: "NAME", Flags: publishFlags(), Action: k.delete},
		},
	}
}

// fetchItems fetches the object with the name, or all objects of the kind if it is empty.
func (k objectKind[T]) fetchItems(ctx context.Context, c *cli.Command, name string) ([]change.Item, error) {
	return getJSON[[]change.Item](ctx, c.String("admin"), withQuery(edits.ItemsPath, "kind", string(k.kind), "name", name))
}

func (k objectKind[T]) list(ctx context.Context, c *cli.Command) error {
	items, err := k.fetchItems(ctx, c, "")
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, items)
	}
	return k.printTable(c.Root().Writer, items)
}

func (k objectKind[T]) printTable(w io.Writer, items []change.Item) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(append([]string{"NAME", "VERSION", "OPERATOR"}, k.columns...), "\t"))
	for _, item := range items {
		var object T
		if err := json.Unmarshal(item.Value, &object); err != nil {
			return fmt.Errorf("decode %s: %w", item.Key, err)
		}
		cells := append([]string{item.Name, fmt.Sprint(item.Version), item.Operator}, k.row(object)...)
		fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	return t.Flush()
}

// fetchNamed fetches the object that the only argument names.
func (k objectKind[T]) fetchNamed(ctx context.Context, c *cli.Command) (change.Item, error) {
	if c.NArg() != 1 {
		return change.Item{}, cli.Exit("expected the name of one "+strings.ToLower(string(k.kind)), exitSettings)
	}
	items, err := k.fetchItems(ctx, c, c.Args().First())
	if err != nil {
		return change.Item{}, err
	}
	if len(items) == 0 {
		return change.Item{}, fmt.Errorf("%s %q does not exist", strings.ToLower(string(k.kind)), c.Args().First())
	}
	return items[0], nil
}

func (k objectKind[T]) show(ctx context.Context, c *cli.Command) error {
	item, err := k.fetchNamed(ctx, c)
	if err != nil {
		return err
	}
	return printJSON(c.Root().Writer, item)
}

func (k objectKind[T]) delete(ctx context.Context, c *cli.Command) error {
	item, err := k.fetchNamed(ctx, c)
	if err != nil {
		return err
	}
	return publishEdits(ctx, c, []change.Edit{{Key: item.Key, Replaces: item.Version}})
}

func (k objectKind[T]) publish(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return cli.Exit("expected one TOML file", exitSettings)
	}
	settings, err := conf.Load(c.Args().First(), conf.UseSharedConfig)
	if err != nil {
		return err
	}
	current, err := k.fetchItems(ctx, c, "")
	if err != nil {
		return err
	}
	editList, err := k.diff(k.fromSettings(settings), current)
	if err != nil {
		return err
	}
	if c.IsSet("replaces") {
		for i := range editList {
			editList[i].Replaces = uint64(c.Uint("replaces"))
		}
	}
	return publishEdits(ctx, c, editList)
}

// diff returns the edits that turn the current objects into those of a file. Objects that are
// not in the file stay as they are.
func (k objectKind[T]) diff(objects []T, current []change.Item) ([]change.Edit, error) {
	items := make(map[string]change.Item, len(current))
	for _, item := range current {
		items[item.Name] = item
	}
	var editList []change.Edit
	for _, object := range objects {
		value, err := change.EncodeObject(object)
		if err != nil {
			return nil, err
		}
		item := items[k.name(object)]
		if bytes.Equal(item.Value, value) {
			continue
		}
		editList = append(editList, change.Edit{
			Key: change.Key{Kind: k.kind, Name: k.name(object)}, Replaces: item.Version, Value: value,
		})
	}
	return editList, nil
}
