package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/parts"
)

// topicBarred is the topic with a record for each request and each part of prompts that is
// barred. Entries read it when they start, in case that none is left which could tell them.
const topicBarred = "barred"

const (
	// barredUpdateInterval is the time between two comparisons of the topic with what is barred.
	barredUpdateInterval = 250 * time.Millisecond
	// barredBackoff is the pause after a failed call.
	barredBackoff = time.Second
)

// barredRecord is a record of topicBarred. One of Request and Part is set.
type barredRecord struct {
	Request *blame.Charge `json:",omitempty"`
	Part    *parts.Charge `json:",omitempty"`
	// WrittenAt is when the record was written, by the clock of its writer. The times in the
	// charges are relative to it.
	WrittenAt time.Time
}

// barredKeeper keeps what this entry has barred in the log. What peers have barred is theirs to
// keep.
type barredKeeper struct {
	log      track.KeyedLog
	clock    clockwork.Clock
	requests *blame.Tracker
	parts    *parts.Tracker
	logger   *zap.Logger
	// written holds the keys of the records that this entry has written.
	written map[string]bool
	// again is set when the log may have lost these records.
	again atomic.Bool
}

func newBarredKeeper(
	log track.KeyedLog, clock clockwork.Clock, requests *blame.Tracker, partsTracker *parts.Tracker, logger *zap.Logger,
) *barredKeeper {
	return &barredKeeper{
		log: log, clock: clock, requests: requests, parts: partsTracker, logger: logger, written: make(map[string]bool),
	}
}

// Again makes the keeper write its records once more, since the log may have lost them.
func (k *barredKeeper) Again() {
	k.again.Store(true)
}

// Run reads the topic and then keeps it up to date until the context ends. It returns the
// context's cause.
func (k *barredKeeper) Run(ctx context.Context) error {
	step := k.load
	for {
		pause := barredUpdateInterval
		if err := step(ctx); err != nil {
			k.logger.Warn("records of barred requests can't be read or written", zap.Error(err))
			pause = barredBackoff
		} else {
			step = k.update
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-k.clock.After(pause):
		}
	}
}

// load takes over the records of the topic and deletes those that have expired.
func (k *barredKeeper) load(ctx context.Context) error {
	for after := ""; ; {
		page, err := k.log.Newest(ctx, topicBarred, after)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			after = r.Key
			if err := k.apply(ctx, r); err != nil {
				return err
			}
		}
		if !page.More || len(page.Records) == 0 {
			return nil
		}
	}
}

// apply takes over one record. One that can't be decoded is ignored.
func (k *barredKeeper) apply(ctx context.Context, r track.KeyedRecord) error {
	if len(r.Value) == 0 {
		return nil
	}
	var record barredRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		k.logger.Warn("record of a barred request can't be decoded", zap.String("Key", r.Key), zap.Error(err))
		return nil
	}
	if record.Request == nil && record.Part == nil {
		k.logger.Warn("record of a barred request is empty", zap.String("Key", r.Key))
		return nil
	}
	age := max(k.clock.Now().Sub(record.WrittenAt), 0)
	switch {
	case record.Request != nil && record.Request.Left > age:
		k.requests.Merge([]blame.Charge{record.Request.Aged(age)})
	case record.Part != nil && record.Part.Left > age:
		k.parts.Merge([]parts.Charge{record.Part.Aged(age)})
	default:
		return k.log.Put(ctx, topicBarred, r.Key, nil)
	}
	return nil
}

// update writes the records of what this entry has barred since the last update, and deletes those
// of what is no longer barred.
func (k *barredKeeper) update(ctx context.Context) error {
	barred := make(map[string]barredRecord)
	for _, c := range k.requests.OwnBarred() {
		barred[fmt.Sprintf("request:%016x", uint64(c.Fingerprint))] = barredRecord{Request: &c}
	}
	for _, c := range k.parts.OwnConvicted() {
		barred[fmt.Sprintf("part:%016x", uint64(c.Part))] = barredRecord{Part: &c}
	}
	if k.again.Swap(false) {
		clear(k.written)
	}
	for key, record := range barred {
		if k.written[key] {
			continue
		}
		record.WrittenAt = k.clock.Now()
		value, err := json.Marshal(record)
		if err != nil {
			return track.Fail("encode barred request", track.Invalid, err)
		}
		if err := k.log.Put(ctx, topicBarred, key, value); err != nil {
			return err
		}
		k.written[key] = true
	}
	for key := range k.written {
		if _, still := barred[key]; still {
			continue
		}
		if err := k.log.Put(ctx, topicBarred, key, nil); err != nil {
			return err
		}
		delete(k.written, key)
	}
	return nil
}
