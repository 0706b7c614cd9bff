package crash

import (
	"cmp"
	"slices"
	"time"
)

// Quarantine is the record of a quarantined fingerprint, in a form that outlasts the process.
type Quarantine struct {
	Fingerprint uint64
	// Epoch rises each time the fingerprint is cleared or released.
	Epoch uint32
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
}

// Quarantines returns the quarantined fingerprints, those that end last first. There are MaxDigestRows
// at most.
func (t *Tracker) Quarantines() []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var quarantines []Quarantine
	for fingerprint := range t.records {
		if r := t.activeRecord(fingerprint, now); r != nil && r.standing == Quarantined {
			quarantines = append(quarantines, Quarantine{Fingerprint: fingerprint, Epoch: r.epoch, Remaining: r.until.Sub(now)})
		}
	}
	slices.SortFunc(quarantines, func(a, b Quarantine) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return quarantines[:min(len(quarantines), MaxDigestRows)]
}

// Restore merges quarantines that were recorded before, like those in the digest of another entry.
func (t *Tracker) Restore(quarantines []Quarantine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, q := range quarantines {
		if q.Remaining > 0 {
			t.merge(digestRow{
				Fingerprint: q.Fingerprint, Epoch: q.Epoch, Standing: uint8(Quarantined),
				RemainingMillis: uint64(q.Remaining.Milliseconds()),
			}, now)
		}
	}
}
