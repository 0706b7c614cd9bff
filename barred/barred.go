// Package barred keeps what crashes backend servers in the platform's log, so that entries that
// start know it when no other entry is left that could tell them.
package barred

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/parts"
)

const (
	// updateInterval is the time between two comparisons of the log with what is barred.
	updateInterval = time.Second
	// pageLimit is the largest number of records that are read at once.
	pageLimit = 100
	// historyTime is the age from which on records of the log are ignored: all that they hold has
	// expired.
	historyTime = 15 * time.Minute
)

// Snapshot is a record of the stream: all that an entry bars. A later one replaces an earlier one of
// the same entry.
type Snapshot struct {
	From      track.InstanceID
	WrittenAt time.Time
	Requests  []crash.Quarantine `json:",omitempty"`
	Parts     []parts.Charge     `json:",omitempty"`
}

// Options holds the dependencies of a Keeper.
type Options struct {
	Self     track.InstanceID
	Log      track.Log
	Requests *crash.Tracker
	Parts    *parts.Tracker
	Clock    clockwork.Clock
	Logger   *zap.Logger
}

// Keeper keeps what an entry bars in the log. It is used by one goroutine at a time.
type Keeper struct {
	options Options
	// written holds what the latest snapshot of this entry bars.
	written map[subject]bool
}

// subject identifies a request or part in a snapshot. The time that it remains barred is no part of
// it, so that the passing of time makes no new snapshots.
type subject struct {
	id    uint64
	part  bool
	epoch uint32
}

// New returns a Keeper that has read and written nothing yet.
func New(options Options) *Keeper {
	return &Keeper{options: options}
}

// Run restores what the log holds and then keeps the log up to date until the context ends. It
// returns the context's cause.
func (k *Keeper) Run(ctx context.Context) error {
	step := k.Load
	for {
		if err := step(ctx); err != nil {
			k.options.Logger.Warn("barred requests can't be read or written", zap.Error(err))
		} else {
			step = k.Update
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-k.options.Clock.After(updateInterval):
		}
	}
}

// Load restores what the log holds. Errors are those of the log; records that can't be decoded are
// skipped.
func (k *Keeper) Load(ctx context.Context) error {
	latest := make(map[track.InstanceID]Snapshot)
	for from := uint64(0); ; {
		page, err := k.options.Log.Read(ctx, track.StreamBarred, from, pageLimit)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			from = r.Offset + 1
			snapshot, err := decode(r.Data)
			if err != nil {
				k.options.Logger.Warn("record of barred requests skipped", zap.Uint64("Offset", r.Offset), zap.Error(err))
				continue
			}
			latest[snapshot.From] = snapshot
		}
		if len(page.Records) == 0 || from >= page.Next {
			break
		}
	}
	for _, s := range latest {
		k.restore(s)
	}
	k.written = k.barred().subjects()
	return nil
}

// restore takes over a snapshot.
func (k *Keeper) restore(s Snapshot) {
	age := max(k.options.Clock.Since(s.WrittenAt), 0)
	if age >= historyTime {
		return
	}
	for i := range s.Requests {
		s.Requests[i].Remaining -= age
	}
	k.options.Requests.Restore(s.Requests)
	for _, c := range s.Parts {
		// One at a time, since only the first few of a message are merged.
		k.options.Parts.Merge([]parts.Charge{c.Aged(age)})
	}
	k.options.Logger.Info("barred requests restored", zap.String("From", string(s.From)), zap.Duration("Age", age),
		zap.Int("Requests", len(s.Requests)), zap.Int("Parts", len(s.Parts)))
}

// Update appends a snapshot if other requests or parts are barred than in the latest one.
func (k *Keeper) Update(ctx context.Context) error {
	snapshot := k.barred()
	subjects := snapshot.subjects()
	if maps.Equal(subjects, k.written) {
		return nil
	}
	data, err := json.Marshal(snapshot)
	if err != nil {
		return track.Fail("encode barred requests", Malformed, err)
	}
	if _, err := k.options.Log.Append(ctx, track.StreamBarred, [][]byte{data}); err != nil {
		return err
	}
	k.written = subjects
	return nil
}

// barred returns a snapshot of what is barred now.
func (k *Keeper) barred() Snapshot {
	return Snapshot{
		From: k.options.Self, WrittenAt: k.options.Clock.Now(),
		Requests: k.options.Requests.Quarantines(), Parts: k.options.Parts.Convicted(),
	}
}

// subjects returns what the snapshot bars.
func (s Snapshot) subjects() map[subject]bool {
	subjects := make(map[subject]bool, len(s.Requests)+len(s.Parts))
	for _, q := range s.Requests {
		subjects[subject{id: q.Fingerprint, epoch: q.Epoch}] = true
	}
	for _, c := range s.Parts {
		subjects[subject{id: uint64(c.Part), part: true, epoch: c.Round}] = true
	}
	return subjects
}

// decode decodes a record of the stream. An error is of kind Malformed.
func decode(data []byte) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return Snapshot{}, track.Fail("decode barred requests", Malformed, err)
	}
	return s, nil
}
