package crash

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// MaxDigestRows bounds the records of one digest.
const MaxDigestRows = 64

// row is a record on its way to another entry.
type row struct {
	Fingerprint uint64
	Epoch       uint32
	Standing    uint8
	_           [3]uint8
	// LeftMillis is the time in ms until the record ends. It is relative, so that
	// the clocks of entries need not agree.
	LeftMillis uint64
}

var rowSize = binary.Size(row{})

// Publish sends the records to the other entries of the zone: at each change,
// and when the owner calls it at each tick, for entries that are new or missed a
// digest.
func (t *Tracker) Publish() {
	rows := t.rows()
	if len(rows) == 0 {
		return
	}
	data, err := binary.Append(nil, binary.LittleEndian, rows)
	if err != nil {
		t.logger.Error("encoding a quarantine digest", zap.Error(err))
		return
	}
	t.gossip.Publish(track.Notice{Topic: track.TopicQuarantine, From: t.self, Data: data})
}

// rows returns the gravest and latest records, up to the size of a digest.
func (t *Tracker) rows() []row {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	rows := make([]row, 0, len(t.records))
	for fingerprint := range t.records {
		if r := t.live(fingerprint, now); r != nil {
			rows = append(rows, r.row(fingerprint, now))
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.Standing, a.Standing), cmp.Compare(b.LeftMillis, a.LeftMillis),
			cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return rows[:min(len(rows), MaxDigestRows)]
}

func (r *record) row(fingerprint uint64, now time.Time) row {
	return row{
		Fingerprint: fingerprint, Epoch: r.epoch, Standing: uint8(r.standing),
		LeftMillis: uint64(r.until.Sub(now).Milliseconds()),
	}
}

// receive merges the digest of another entry.
func (t *Tracker) receive(d track.Notice) {
	rows, err := decode(d.Data)
	if err != nil {
		t.logger.Warn("quarantine digest refused", zap.String("from", string(d.From)), zap.Error(err))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, in := range rows {
		t.merge(in, now)
	}
}

func decode(data []byte) ([]row, error) {
	const op = "decode quarantine digest"
	if len(data)%rowSize != 0 || len(data) > MaxDigestRows*rowSize {
		return nil, track.Fail(op, Malformed, nil)
	}
	rows := make([]row, len(data)/rowSize)
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

// merge takes in one record. It is commutative, associative and idempotent but
// for the passing of time, so that digests may be lost, doubled and reordered.
func (t *Tracker) merge(in row, now time.Time) {
	limit := max(t.policy.SuspectFor, t.policy.QuarantineFor)
	left := limit
	if in.LeftMillis < uint64(limit.Milliseconds()) {
		left = time.Duration(in.LeftMillis) * time.Millisecond
	}
	if left <= 0 {
		return
	}
	r := t.live(in.Fingerprint, now)
	if r == nil {
		r = t.insert(in.Fingerprint, now)
		*r = record{epoch: in.Epoch, standing: Standing(in.Standing), until: now.Add(left)}
		return
	}
	standing, until := Standing(in.Standing), now.Add(left)
	switch cmp.Or(cmp.Compare(in.Epoch, r.epoch), cmp.Compare(standing, r.standing)) {
	case 1:
		*r = record{epoch: in.Epoch, standing: standing, until: until}
	case 0:
		if until.After(r.until) {
			r.until = until
		}
	}
}
