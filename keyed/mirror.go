// Package keyed follows topics of the platform's log that retain the newest
// record of each key, and hands their records on to peers that the log turns
// away.
package keyed

import (
	"cmp"
	"errors"
	"slices"
	"sync"

	"filberttrack.example/track"
)

// maxDropped bounds the dropped keys that a mirror remembers for peers.
const maxDropped = 1024

// Mirror holds the newest record of each key of a topic. It is safe for
// concurrent use.
type Mirror struct {
	mu      sync.Mutex
	records map[string]track.KeyedRecord
	end     uint64
	// floor is the offset from which on all dropped keys are remembered.
	floor uint64
	known bool
}

// NewMirror returns a mirror that knows no record.
func NewMirror() *Mirror {
	return &Mirror{records: make(map[string]track.KeyedRecord)}
}

// End returns the offset up to which the topic is known; 0 if it isn't.
func (m *Mirror) End() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.end
}

// Known reports whether the mirror holds the topic's records.
func (m *Mirror) Known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// Add takes records in the order of the log and returns those that are news.
func (m *Mirror) Add(records []track.KeyedRecord, end uint64) []track.KeyedRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var news []track.KeyedRecord
	for _, r := range records {
		if m.put(r) {
			news = append(news, r)
		}
	}
	m.end = max(m.end, end)
	m.prune()
	return news
}

// Replace takes the newest records of the whole topic as they stood at an offset,
// and returns what is news; keys that are missing count as dropped.
func (m *Mirror) Replace(records []track.KeyedRecord, end uint64) []track.KeyedRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var news []track.KeyedRecord
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		if m.put(r) {
			news = append(news, r)
		}
	}
	if end >= m.end {
		for key, r := range m.records {
			if !present[key] && len(r.Value) > 0 && r.Offset < end {
				gone := track.KeyedRecord{Key: key, Offset: end - 1}
				m.records[key] = gone
				news = append(news, gone)
			}
		}
	}
	if !m.known {
		m.floor = end
	}
	m.known = true
	m.end = max(m.end, end)
	return news
}

func (m *Mirror) put(r track.KeyedRecord) bool {
	if old, ok := m.records[r.Key]; ok && old.Offset >= r.Offset {
		return false
	}
	m.records[r.Key] = r
	return true
}

// prune forgets the oldest dropped keys beyond maxDropped.
func (m *Mirror) prune() {
	if len(m.records) <= 2*maxDropped {
		return
	}
	var dropped []track.KeyedRecord
	for _, r := range m.records {
		if len(r.Value) == 0 {
			dropped = append(dropped, r)
		}
	}
	if len(dropped) <= maxDropped {
		return
	}
	slices.SortFunc(dropped, func(a, b track.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range dropped[:len(dropped)-maxDropped] {
		delete(m.records, r.Key)
		m.floor = max(m.floor, r.Offset+1)
	}
}

var errUnknown = errors.New("this mirror doesn't know the topic that far back")

// Since returns the records from an offset on, in the order of the log. Dropped
// keys have no value. It fails with kind Expired if the mirror doesn't reach that
// far back.
func (m *Mirror) Since(from uint64) (track.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known || from < m.floor {
		return track.KeyedPage{}, track.Fail("read mirror", track.Expired, errUnknown)
	}
	return m.page(func(r track.KeyedRecord) bool { return r.Offset >= from }), nil
}

// Newest returns the newest record of each key that wasn't dropped.
func (m *Mirror) Newest() (track.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known {
		return track.KeyedPage{}, track.Fail("read mirror", track.Unavailable, errUnknown)
	}
	return m.page(func(r track.KeyedRecord) bool { return len(r.Value) > 0 }), nil
}

func (m *Mirror) page(wanted func(track.KeyedRecord) bool) track.KeyedPage {
	page := track.KeyedPage{End: m.end}
	for _, r := range m.records {
		if wanted(r) {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b track.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return page
}
