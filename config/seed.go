package config

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
)

// seedOperator is the operator of changes that come from settings files.
const seedOperator = "settings"

// Seed publishes the configuration of the settings if no change has ever been
// decided. Several instances may do so at once: equal settings give equal change
// IDs, which count once, and of different settings the first in the log wins.
// Seed is run as a duty and returns when it has nothing more to do.
func (s *Store) Seed(ctx context.Context, cfg *track.Config) error {
	if err := s.AwaitReady(ctx); err != nil {
		return err
	}
	var edits []change.Edit
	var loading error
	err := s.View(func(state *change.State) {
		if state.Seq() == 0 {
			edits, loading = state.Load(cfg)
		}
	})
	if err != nil || loading != nil {
		return cmp.Or(err, loading)
	}
	for part := range slices.Chunk(edits, change.MaxEdits) {
		c := change.Change{ID: seedID(part), Operator: seedOperator, Time: s.o.Clock.Now().UTC(), Edits: part}
		d, err := s.Publish(ctx, c)
		if err != nil {
			return err
		}
		if !d.Verdict.Accepted {
			s.o.Logger.Warn("settings are not in force", zap.String("Detail", d.Verdict.Detail))
		}
	}
	return nil
}

// seedID returns an ID that is the same for equal edits.
func seedID(edits []change.Edit) string {
	// Edits from Load always encode.
	data, _ := json.Marshal(edits)
	return fmt.Sprint("seed-", change.Sum(data)[:32])
}
