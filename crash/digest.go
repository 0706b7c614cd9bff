package crash

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// MaxDigestRows is the most records that one digest holds.
const MaxDigestRows = 64

// digestRow is a record as a digest encodes it, in little-endian byte order.
type digestRow struct {
	Fingerprint uint64
	Epoch       uint32
	Standing    uint8
	_           [3]uint8
	// RemainingMillis is the time in ms until the record expires. It is relative so that
	// the clocks of the entries need not agree.
	RemainingMillis uint64
}

var digestRowSize = binary.Size(digestRow{})

// Publish sends a digest of the records to the other entries of the zone, if there are
// any records. The Tracker calls it after each change. Its owner must call it regularly,
// for entries that are new or have missed a digest.
func (t *Tracker) Publish() {
	rows := t.digestRows()
	if len(rows) == 0 {
		return
	}
	data, err := binary.Append(nil, binary.LittleEndian, rows)
	if err != nil {
		t.logger.Error("cannot encode quarantine digest", zap.Error(err))
		return
	}
	t.gossip.Publish(track.Notice{Topic: track.TopicQuarantine, From: t.self, Data: data})
}

// digestRows returns the records for a digest: those of the highest standing first, then
// those that expire last, up to MaxDigestRows.
func (t *Tracker) digestRows() []digestRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	rows := make([]digestRow, 0, len(t.records))
	for fingerprint := range t.records {
		if r := t.activeRecord(fingerprint, now); r != nil {
			rows = append(rows, r.digestRow(fingerprint, now))
		}
	}
	slices.SortFunc(rows, func(a, b digestRow) int {
		return cmp.Or(cmp.Compare(b.Standing, a.Standing), cmp.Compare(b.RemainingMillis, a.RemainingMillis),
			cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return rows[:min(len(rows), MaxDigestRows)]
}

func (r *record) digestRow(fingerprint uint64, now time.Time) digestRow {
	return digestRow{
		Fingerprint: fingerprint, Epoch: r.epoch, Standing: uint8(r.standing),
		RemainingMillis: uint64(r.until.Sub(now).Milliseconds()),
	}
}

// receiveDigest merges the digest of another entry.
func (t *Tracker) receiveDigest(d track.Notice) {
	rows, err := decodeDigest(d.Data)
	if err != nil {
		t.logger.Warn("quarantine digest rejected", zap.String("from", string(d.From)), zap.Error(err))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, in := range rows {
		t.merge(in, now)
	}
}

func decodeDigest(data []byte) ([]digestRow, error) {
	const op = "decode quarantine digest"
	if len(data)%digestRowSize != 0 || len(data) > MaxDigestRows*digestRowSize {
		return nil, track.Fail(op, Malformed, nil)
	}
	rows := make([]digestRow, len(data)/digestRowSize)
	if _, err := binary.Decode(data, binary.LittleEndian, rows); err != nil {
		return nil, track.Fail(op, Malformed, err)
	}
	for _, in := range rows {
		if Standing(in.Standing) > Quarantined {
			return nil, track.Fail(op, Malformed, nil)
		}
	}
	return rows, nil
}

// merge merges one record of another entry. Apart from the passing of time, merging is
// commutative, associative and idempotent, so that digests may be lost, duplicated and
// reordered.
func (t *Tracker) merge(in digestRow, now time.Time) {
	limit := max(t.policy.SuspectFor, t.policy.QuarantineFor)
	remaining := limit
	if in.RemainingMillis < uint64(limit.Milliseconds()) {
		remaining = time.Duration(in.RemainingMillis) * time.Millisecond
	}
	if remaining <= 0 {
		return
	}
	r := t.activeRecord(in.Fingerprint, now)
	if r == nil {
		r = t.insertRecord(in.Fingerprint, now)
		*r = record{epoch: in.Epoch, standing: Standing(in.Standing), until: now.Add(remaining)}
		return
	}
	standing, until := Standing(in.Standing), now.Add(remaining)
	switch cmp.Or(cmp.Compare(in.Epoch, r.epoch), cmp.Compare(standing, r.standing)) {
	case 1:
		*r = record{epoch: in.Epoch, standing: standing, until: until}
	case 0:
		if until.After(r.until) {
			r.until = until
		}
	}
}
