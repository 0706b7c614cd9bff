package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/parts"
)

// keyedTopics is a log that holds the newest record of each key, and that can be away.
type keyedTopics struct {
	mu      sync.Mutex
	away    bool
	records map[string][]byte
	puts    int
}

var errAway = errors.New("away")

func (l *keyedTopics) Newest(context.Context, string, string) (track.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return track.KeyedPage{}, errAway
	}
	var page track.KeyedPage
	for key, value := range l.records {
		page.Records = append(page.Records, track.KeyedRecord{Key: key, Value: value})
	}
	return page, nil
}

func (l *keyedTopics) Read(context.Context, string, uint64, time.Duration) (track.KeyedPage, error) {
	return track.KeyedPage{}, errAway
}

func (l *keyedTopics) Put(_ context.Context, _, key string, value []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return errAway
	}
	l.puts++
	l.records[key] = value
	if len(value) == 0 {
		delete(l.records, key)
	}
	return nil
}

// barredEntry holds what an entry knows of requests that crash replicas.
type barredEntry struct {
	requests *blame.Tracker
	parts    *parts.Tracker
	keeper   *barredKeeper
}

func newBarredEntry(clock clockwork.Clock, log track.KeyedLog) *barredEntry {
	e := &barredEntry{parts: parts.New(clock, zap.NewNop(), metrics.NewSet())}
	e.requests = blame.New(clock, zap.NewNop(), metrics.NewSet(), e.parts)
	e.keeper = newBarredKeeper(log, clock, e.requests, e.parts, zap.NewNop())
	return e
}

// crash has n requests, different ones or always the same, crash a replica each.
func (e *barredEntry) crash(clock *clockwork.FakeClock, n int, same bool) {
	for i := range n {
		fingerprint := blame.Fingerprint(7)
		if !same {
			fingerprint = blame.Fingerprint(100 + i)
		}
		replica := track.Replica{ID: track.ReplicaID(fmt.Sprint("llm-", fingerprint)), StartID: int64(i + 1)}
		e.requests.AttemptBroke(blame.Attempt{
			Fingerprint: fingerprint, Replica: replica, Parts: []parts.Part{1, 2}, SentAt: clock.Now().Add(-time.Second),
		})
		e.requests.ReplicaDied(replica)
		clock.Advance(4 * time.Second)
	}
}

// Guards against requests that crash replicas once more after the restart of all entries.
func TestBarredRequestsAreKnownAfterTheRestartOfAllEntries(t *testing.T) {
	clock, log := clockwork.NewFakeClock(), &keyedTopics{records: map[string][]byte{}}
	old := newBarredEntry(clock, log)
	old.crash(clock, 3, true)
	old.crash(clock, 3, false)
	assert.Assert(t, old.requests.BarredFor(7) > 0)
	assert.Assert(t, old.parts.ConvictedFor([]parts.Part{2}) > 0)
	log.away = true
	assert.Assert(t, old.keeper.update(t.Context()) != nil)
	log.away = false
	for range 3 {
		assert.NilError(t, old.keeper.update(t.Context()))
	}
	assert.Equal(t, log.puts, 2, "each record is written once")
	clock.Advance(time.Minute)

	restarted := newBarredEntry(clock, log)
	assert.NilError(t, restarted.keeper.load(t.Context()))
	assert.Equal(t, restarted.requests.BarredFor(7), old.requests.BarredFor(7))
	assert.Equal(t, restarted.parts.ConvictedFor([]parts.Part{2}), old.parts.ConvictedFor([]parts.Part{2}))
	assert.Equal(t, restarted.parts.ConvictedFor([]parts.Part{1}), time.Duration(0))
	assert.NilError(t, restarted.keeper.update(t.Context()))
	assert.Equal(t, log.puts, 2, "what was read isn't written again")

	assert.Assert(t, old.parts.Release(2))
	assert.NilError(t, old.keeper.update(t.Context()))
	assert.Equal(t, len(log.records), 1, "what is released is deleted")
	clock.Advance(11 * time.Minute)
	late := newBarredEntry(clock, log)
	assert.NilError(t, late.keeper.load(t.Context()))
	assert.Equal(t, late.requests.BarredFor(7), time.Duration(0))
	assert.Equal(t, len(log.records), 0, "what has expired is deleted")
}

// Guards against barred requests that nobody knows after the restart of all entries, because the log
// had come back from a copy that lacks their records.
func TestBarredRequestsAreWrittenAgainToARestoredLog(t *testing.T) {
	clock, log := clockwork.NewFakeClock(), &keyedTopics{records: map[string][]byte{}}
	e := newBarredEntry(clock, log)
	e.crash(clock, 3, true)
	assert.NilError(t, e.keeper.update(t.Context()))
	assert.Equal(t, len(log.records), 1)

	log.records = map[string][]byte{}
	e.keeper.Again()
	e.keeper.Again()
	log.away = true
	assert.Assert(t, e.keeper.update(t.Context()) != nil)
	log.away = false
	for range 3 {
		assert.NilError(t, e.keeper.update(t.Context()))
	}
	assert.Equal(t, len(log.records), 1)
	assert.Equal(t, log.puts, 2, "each record is written once to each copy of the log")
}

func TestUnreadableBarredRecordIsIgnored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := &keyedTopics{records: map[string][]byte{"a": []byte("{"), "b": []byte("{}"), "c": []byte(`{"Part":{"Left":-1}}`)}}
	e := newBarredEntry(clock, log)
	assert.NilError(t, e.keeper.load(t.Context()))
	assert.Equal(t, len(e.parts.Barred()), 0)
}
