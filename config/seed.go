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

// seedOperator is the operator recorded in changes made from settings files.
const seedOperator = "settings"

// Seed publishes the configuration from the settings files if no change has ever
// been decided. Several instances may do so at once: equal settings give equal
// change IDs, which take effect once, and of different settings the first in the
// log takes effect. Seed runs as a background task and returns when it is done.
func (s *Store) Seed(ctx context.Context, cfg *track.Config) error {
	if err := s.AwaitReady(ctx); err != nil {
		return err
	}
	var edits []change.Edit
	var loadErr error
	err := s.View(func(state *change.State) {
		if state.Seq() == 0 {
			edits, loadErr = state.LoadEdits(cfg)
		}
	})
	if err != nil || loadErr != nil {
		return cmp.Or(err, loadErr)
	}
	for part := range slices.Chunk(edits, change.MaxEdits) {
		c := change.Change{ID: seedID(part), Operator: seedOperator, Time: s.options.Clock.Now().UTC(), Edits: part}
		d, err := s.Publish(ctx, c)
		if err != nil {
			return err
		}
		if !d.Verdict.Accepted {
			s.options.Logger.Warn("configuration from the settings refused", zap.String("Detail", d.Verdict.Detail))
		}
	}
	return nil
}

// seedID returns an ID that is the same for equal edits.
func seedID(edits []change.Edit) string {
	// Encoding can't fail, since Load has validated the values.
	data, _ := json.Marshal(edits)
	return fmt.Sprint("seed-", change.HexSHA256(data)[:32])
}
