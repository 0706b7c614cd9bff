package keyed_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/keyed"
)

// restorableLog is a log that can come back from an older copy of itself.
type restorableLog struct {
	fakeLog
	era uint64
}

// restore drops the records from an offset on and starts the next era.
func (l *restorableLog) restore(end int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:end]
	l.era++
}

func (l *restorableLog) Newest(ctx context.Context, topic, after string) (track.KeyedPage, error) {
	page, err := l.fakeLog.Newest(ctx, topic, after)
	page.Era = l.era
	return page, err
}

func (l *restorableLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	l.mu.Lock()
	beyond := from > uint64(len(l.records))
	l.mu.Unlock()
	if beyond {
		return track.KeyedPage{}, track.Fail("read log", track.Expired, errors.New("no such offset"))
	}
	page, err := l.fakeLog.Read(ctx, topic, from, wait)
	page.Era = l.era
	return page, err
}

// After the restore, other records get the offsets that the follower has read already.
func TestFollowerOfRestoredLog(t *testing.T) {
	for _, c := range []struct {
		name string
		// again is the number of records written between the restore and the next read.
		again int
		want  map[string]string
	}{
		{"the end is before the follower's position", 0, map[string]string{"k00": "a"}},
		{"the end is at the follower's position", 2, map[string]string{"k00": "b", "k03": "b"}},
		{"the end is beyond the follower's position", 3, map[string]string{"k00": "b", "k03": "b", "k04": "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := &restorableLog{era: 1}
			log.put("k00", "a")
			log.put("k01", "a")
			log.put("k02", "a")
			restored := 0
			f := newTestFollower(t, keyed.Options{
				Log: log, PollInterval: time.Second,
				ApplyRestored: func([]track.KeyedRecord) { restored++ },
			})
			log.restore(1)
			for i := range c.again {
				log.put([]string{"k00", "k03", "k04"}[i], "b")
			}
			f.endPause(time.Second)
			f.endPause(time.Second)
			page, err := f.Mirror().Newest()
			assert.NilError(t, err)
			got := map[string]string{}
			for _, r := range page.Records {
				got[r.Key] = string(r.Value)
			}
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, page.Era, uint64(2))
			assert.Equal(t, restored, 1)
		})
	}
}

func TestLateResponseOfEarlierEraIsIgnored(t *testing.T) {
	mirror := keyed.NewMirror()
	records := []track.KeyedRecord{{Key: "k", Value: []byte("new"), Offset: 3}}
	mirror.Replace(track.KeyedPage{Records: records, End: 4, Era: 2})
	old := []track.KeyedRecord{{Key: "k", Value: []byte("old"), Offset: 90}}
	assert.Equal(t, len(mirror.Add(track.KeyedPage{Records: old, End: 91, Era: 1})), 0)
	assert.Equal(t, len(mirror.Replace(track.KeyedPage{Records: old, End: 91, Era: 1})), 0)
	assert.Equal(t, mirror.Position(), track.LogPosition{Era: 2, Offset: 4})
}

// A process that the log turns away learns of the new era from a peer.
func TestPeerInLaterEra(t *testing.T) {
	log, peer := &restorableLog{era: 1}, &restorableLog{era: 2}
	for range 3 {
		log.put("k00", "a")
	}
	peer.put("k00", "b")
	f := newTestFollower(t, keyed.Options{
		Log: log, PollInterval: time.Second, Peers: func() []track.KeyedLog { return []track.KeyedLog{peer} },
	})
	log.mu.Lock()
	log.unavailable = true
	log.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.RunPeerSync(ctx) }()
	f.NotifyPeerPosition(track.LogPosition{Era: 2, Offset: 1})
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 2))
	assert.Equal(t, f.Mirror().Position(), track.LogPosition{Era: 2, Offset: 1})
	f.assertState(map[string]string{"k00": "b"})
	cancel()
	<-done
}

// Guards against a follower that never takes the first record of a log that came back empty, as it takes the deletion of
// the same key for newer.
func TestFollowerOfLogRestoredEmpty(t *testing.T) {
	log := &restorableLog{era: 1}
	log.put("k00", "a")
	f := newTestFollower(t, keyed.Options{Log: log, PollInterval: time.Second})
	log.restore(0)
	f.endPause(time.Second)
	log.put("k00", "b")
	f.endPause(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.state["k00"], "b")
}
