// Package keyed follows compacted topics of the platform's log, which retain the newest
// record of each key. It keeps a local mirror of each topic and serves it to peers that the
// log doesn't answer.
package keyed

import (
	"cmp"
	"errors"
	"slices"
	"sync"

	"filberttrack.example/track"
)

// maxTombstones is the number of tombstones that pruning leaves in a mirror. A tombstone is
// a record without a value. It marks its key as deleted and is kept for peers that have yet
// to read the deletion.
const maxTombstones = 1024

// Mirror holds the newest record of each key of a topic. It is safe for concurrent use.
type Mirror struct {
	mu sync.Mutex
	// records holds the newest record of each key, tombstones included.
	records map[string]track.KeyedRecord
	// era is the era of the log that the records come from.
	era uint64
	// end is the offset after the last record read.
	end uint64
	// tombstonesFrom is the offset from which on all tombstones are kept.
	tombstonesFrom uint64
	// loaded is set once the mirror holds the whole topic.
	loaded bool
}

// NewMirror returns a mirror that isn't loaded yet.
func NewMirror() *Mirror {
	return &Mirror{records: make(map[string]track.KeyedRecord)}
}

// End returns the offset up to which the mirror holds the topic; 0 if nothing was read.
func (m *Mirror) End() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.end
}

// Position returns the position up to which the mirror holds the topic.
func (m *Mirror) Position() track.LogPosition {
	m.mu.Lock()
	defer m.mu.Unlock()
	return track.LogPosition{Era: m.era, Offset: m.end}
}

// Loaded reports whether the mirror holds the topic's records.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// Add adds a page of records in the order of the log. It returns those that are newer than
// the mirror's record of their key. A page of another era is ignored.
func (m *Mirror) Add(page track.KeyedPage) []track.KeyedRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && page.Era != m.era {
		return nil
	}
	m.era = page.Era
	var changes []track.KeyedRecord
	for _, r := range page.Records {
		if m.put(r) {
			changes = append(changes, r)
		}
	}
	m.end = max(m.end, page.End)
	m.pruneTombstones()
	return changes
}

// Replace replaces the mirror's records with a page that holds the newest record of each
// key, and returns the records that changed. Keys that are missing count as deleted, unless
// the mirror has already read beyond the end of the page. Records that are newer than that
// are kept. A page of a later era replaces the records whatever their offsets, one of an
// earlier era is ignored.
func (m *Mirror) Replace(page track.KeyedPage) []track.KeyedRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && page.Era < m.era {
		return nil
	}
	previous, newEra := m.records, page.Era > m.era
	if newEra {
		m.era, m.end, m.loaded = page.Era, 0, false
		m.records = make(map[string]track.KeyedRecord, len(page.Records))
	}
	var changes []track.KeyedRecord
	present := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		present[r.Key] = true
		if m.put(r) {
			changes = append(changes, r)
		}
	}
	end := page.End
	if end >= m.end {
		for key, r := range previous {
			if !present[key] && len(r.Value) > 0 && (newEra || r.Offset < end) {
				tombstone := track.KeyedRecord{Key: key, Offset: max(end, 1) - 1}
				changes = append(changes, tombstone)
				// The offset of a tombstone in an empty topic is that of the first record to come.
				if end > 0 {
					m.records[key] = tombstone
				}
			}
		}
	}
	if !m.loaded {
		m.tombstonesFrom = end
	}
	m.loaded = true
	m.end = max(m.end, end)
	return changes
}

// put stores a record unless the mirror holds one of its key that is as new or newer. It
// reports whether the record was stored.
func (m *Mirror) put(r track.KeyedRecord) bool {
	if old, ok := m.records[r.Key]; ok && old.Offset >= r.Offset {
		return false
	}
	m.records[r.Key] = r
	return true
}

// pruneTombstones removes the oldest tombstones beyond maxTombstones. It does nothing while
// the mirror holds at most twice as many records.
func (m *Mirror) pruneTombstones() {
	if len(m.records) <= 2*maxTombstones {
		return
	}
	var tombstones []track.KeyedRecord
	for _, r := range m.records {
		if len(r.Value) == 0 {
			tombstones = append(tombstones, r)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b track.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range tombstones[:len(tombstones)-maxTombstones] {
		delete(m.records, r.Key)
		m.tombstonesFrom = max(m.tombstonesFrom, r.Offset+1)
	}
}

var errNotMirrored = errors.New("the mirror doesn't hold the requested records")

// Since returns the records from an offset on, in the order of the log and including
// tombstones. It fails with kind Expired if the mirror isn't loaded or no longer holds all
// tombstones since the offset.
func (m *Mirror) Since(from uint64) (track.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || from < m.tombstonesFrom {
		return track.KeyedPage{}, track.Fail("read mirror", track.Expired, errNotMirrored)
	}
	return m.page(func(r track.KeyedRecord) bool { return r.Offset >= from }), nil
}

// Newest returns the newest record of each key that isn't deleted, in the order of the
// log. It fails with kind Unavailable if the mirror isn't loaded.
func (m *Mirror) Newest() (track.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return track.KeyedPage{}, track.Fail("read mirror", track.Unavailable, errNotMirrored)
	}
	return m.page(func(r track.KeyedRecord) bool { return len(r.Value) > 0 }), nil
}

// page returns the records that match, in the order of the log.
func (m *Mirror) page(matches func(track.KeyedRecord) bool) track.KeyedPage {
	page := track.KeyedPage{End: m.end, Era: m.era}
	for _, r := range m.records {
		if matches(r) {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b track.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return page
}
