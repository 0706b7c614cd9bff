package keyed_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/keyed"
)

// fakeLog is a log of one topic that can be unavailable and whose older records can expire.
type fakeLog struct {
	mu      sync.Mutex
	records []track.KeyedRecord
	// oldest is the offset of the oldest record that Read can return.
	oldest      uint64
	unavailable bool
	calls       int
}

func (l *fakeLog) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, track.KeyedRecord{Key: key, Value: []byte(value), Offset: uint64(len(l.records))})
}

// recordCall counts a call. It fails if the log is unavailable.
func (l *fakeLog) recordCall() error {
	l.calls++
	if l.unavailable {
		return track.Fail("call log", track.Unavailable, errors.New("away"))
	}
	return nil
}

// callCount returns the number of reads so far.
func (l *fakeLog) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Newest implements track.KeyedLog, with two keys per page.
func (l *fakeLog) Newest(_ context.Context, _, after string) (track.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.recordCall(); err != nil {
		return track.KeyedPage{}, err
	}
	newest := map[string]track.KeyedRecord{}
	for _, r := range l.records {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	page := track.KeyedPage{End: uint64(len(l.records))}
	for i := range 100 {
		key := fmt.Sprintf("k%02d", i)
		r, ok := newest[key]
		if !ok || key <= after {
			continue
		}
		if len(page.Records) == 2 {
			page.More = true
			break
		}
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// Read implements track.KeyedLog.
func (l *fakeLog) Read(_ context.Context, _ string, from uint64, _ time.Duration) (track.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.recordCall(); err != nil {
		return track.KeyedPage{}, err
	}
	if from < l.oldest {
		return track.KeyedPage{}, track.Fail("read log", track.Expired, errors.New("gone"))
	}
	return track.KeyedPage{
		Records: append([]track.KeyedRecord(nil), l.records[from:]...), End: uint64(len(l.records)),
	}, nil
}

// Put implements track.KeyedLog.
func (l *fakeLog) Put(_ context.Context, _, key string, value []byte) error {
	l.put(key, string(value))
	return nil
}

// testFollower runs a follower of a log on a fake clock and applies its records to state.
type testFollower struct {
	t     *testing.T
	clock *clockwork.FakeClock
	*keyed.Follower
	mu    sync.Mutex
	state map[string]string
}

func newTestFollower(t *testing.T, o keyed.Options) *testFollower {
	f := &testFollower{t: t, clock: clockwork.NewFakeClock(), state: map[string]string{}}
	o.Topic, o.Clock, o.Logger = "topic", f.clock, zap.NewNop()
	if o.Peers == nil {
		o.Peers = func() []track.KeyedLog { return nil }
	}
	o.Apply = func(records []track.KeyedRecord) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, r := range records {
			if len(r.Value) == 0 {
				delete(f.state, r.Key)
				continue
			}
			f.state[r.Key] = string(r.Value)
		}
	}
	f.Follower = keyed.NewFollower(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	f.waitForPause()
	return f
}

// waitForPause waits until the follower pauses between two reads.
func (f *testFollower) waitForPause() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(f.t, f.clock.BlockUntilContext(ctx, 1))
}

// endPause advances the clock by a pause and waits for the next one.
func (f *testFollower) endPause(d time.Duration) {
	f.t.Helper()
	f.clock.Advance(d)
	f.waitForPause()
}

func (f *testFollower) assertState(want map[string]string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.DeepEqual(f.t, f.state, want)
}

func TestFollowerRecoversFromOutageAndExpiredRecords(t *testing.T) {
	log := &fakeLog{}
	for i := range 5 {
		log.put(fmt.Sprintf("k%02d", i), "a")
	}
	log.put("k01", "")
	f := newTestFollower(t, keyed.Options{Log: log, PollInterval: time.Second})
	f.assertState(map[string]string{"k00": "a", "k02": "a", "k03": "a", "k04": "a"})

	log.put("k02", "b")
	f.endPause(time.Second)
	f.assertState(map[string]string{"k00": "a", "k02": "b", "k03": "a", "k04": "a"})

	log.mu.Lock()
	log.unavailable = true
	log.mu.Unlock()
	log.put("k03", "")
	f.endPause(time.Second)
	since, returned := f.Outage()
	assert.Assert(t, !since.IsZero() && returned.IsZero())

	log.mu.Lock()
	log.unavailable, log.oldest = false, uint64(len(log.records))
	log.mu.Unlock()
	f.endPause(time.Second)
	f.assertState(map[string]string{"k00": "a", "k02": "b", "k04": "a"})
	since, returned = f.Outage()
	assert.Assert(t, since.IsZero() && !returned.IsZero())
}

func TestPollIntervalDoublesUpToMaxPollInterval(t *testing.T) {
	log := &fakeLog{}
	f := newTestFollower(t, keyed.Options{Log: log, PollInterval: time.Second, MaxPollInterval: 4 * time.Second})
	for _, pause := range []time.Duration{1, 2, 4, 4} {
		calls := log.callCount()
		f.clock.Advance(pause*time.Second - time.Millisecond)
		assert.Equal(t, log.callCount(), calls)
		f.endPause(time.Millisecond)
		assert.Equal(t, log.callCount(), calls+1)
	}
}

// Records in quick succession are read together.
func TestGatherTime(t *testing.T) {
	log := &fakeLog{}
	log.put("k00", "a")
	f := newTestFollower(t, keyed.Options{Log: log, LongPollTimeout: time.Second, GatherTime: 300 * time.Millisecond})
	f.assertState(map[string]string{"k00": "a"})
	calls := log.callCount()
	for _, value := range []string{"b", "c", "d"} {
		log.put("k00", value)
		f.clock.Advance(90 * time.Millisecond)
	}
	assert.Equal(t, log.callCount(), calls)
	f.endPause(30 * time.Millisecond)
	f.assertState(map[string]string{"k00": "d"})
	assert.Equal(t, log.callCount(), calls+1)
}

func TestReadsFromPeerDuringOutage(t *testing.T) {
	peer := &fakeLog{}
	peer.put("k00", "a")
	log := &fakeLog{unavailable: true}
	f := newTestFollower(t, keyed.Options{
		Log: log, PollInterval: time.Second,
		Peers: func() []track.KeyedLog { return []track.KeyedLog{log, peer} },
	})
	f.assertState(map[string]string{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.RunPeerSync(ctx) }()
	f.NotifyPeerPosition(track.LogPosition{Offset: 1})
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 2))
	f.assertState(map[string]string{"k00": "a"})
	peer.put("k00", "")
	peer.put("k01", "b")
	f.clock.Advance(200 * time.Millisecond)
	f.NotifyPeerPosition(track.LogPosition{Offset: 1})
	f.NotifyPeerPosition(track.LogPosition{Offset: 3})
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 2))
	f.assertState(map[string]string{"k01": "b"})
	cancel()
	<-done
}

// stuckLog returns the same page of the newest records again and again.
type stuckLog struct{ fakeLog }

func (l *stuckLog) Newest(ctx context.Context, topic, _ string) (track.KeyedPage, error) {
	return l.fakeLog.Newest(ctx, topic, "")
}

// Guards against a follower that reads the newest records without end, since a key isn't text.
func TestFollowerPassesAKeyThatCantBeNamed(t *testing.T) {
	log := &stuckLog{}
	for i := range 5 {
		log.put(fmt.Sprintf("k%02d", i), "a")
	}
	f := newTestFollower(t, keyed.Options{Log: log, PollInterval: time.Second})
	f.assertState(map[string]string{"k00": "a", "k01": "a"})
	log.put("k03", "b")
	f.endPause(time.Second)
	f.assertState(map[string]string{"k00": "a", "k01": "a", "k03": "b"})
}

// Guards against an entry that gets a change seconds late, since most of its peers lack it as well and any of
// them is asked first.
func TestNewsIsReadPastPeersThatLackIt(t *testing.T) {
	fresh := &fakeLog{}
	fresh.put("k00", "a")
	log := &fakeLog{unavailable: true}
	f := newTestFollower(t, keyed.Options{
		Log: log, PollInterval: time.Second,
		Peers: func() []track.KeyedLog { return []track.KeyedLog{&fakeLog{}, &fakeLog{}, &fakeLog{}, fresh} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.RunPeerSync(ctx) }()
	f.NotifyPeerPosition(track.LogPosition{Offset: 1})
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 2))
	f.assertState(map[string]string{"k00": "a"})
	cancel()
	<-done
}

// TestMirrorCopyEqualsSource follows a log of random changes with one mirror and keeps a
// second mirror up to date from the first, as peers do.
func TestMirrorCopyEqualsSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &fakeLog{}
		source, copied := keyed.NewMirror(), keyed.NewMirror()
		source.Replace(track.KeyedPage{})
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				key := fmt.Sprintf("k%02d", rapid.IntRange(0, 5).Draw(t, "key"))
				log.put(key, rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "value"))
				continue
			}
			page, err := log.Read(context.Background(), "", source.End(), 0)
			assert.NilError(t, err)
			source.Add(page)
			syncMirror(t, source, copied)
		}
		page, err := log.Read(context.Background(), "", source.End(), 0)
		assert.NilError(t, err)
		source.Add(page)
		syncMirror(t, source, copied)
		want, err := source.Newest()
		assert.NilError(t, err)
		got, err := copied.Newest()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

// syncMirror brings one mirror up to date from another, as peers do.
func syncMirror(t *rapid.T, from, to *keyed.Mirror) {
	if !to.Loaded() {
		page, err := from.Newest()
		assert.NilError(t, err)
		to.Replace(page)
		return
	}
	page, err := from.Since(to.End())
	assert.NilError(t, err)
	to.Add(page)
}

func TestSinceFailsForForgottenTombstones(t *testing.T) {
	mirror := keyed.NewMirror()
	_, err := mirror.Since(0)
	assert.Assert(t, track.IsKind(err, track.Expired))
	mirror.Replace(track.KeyedPage{Records: []track.KeyedRecord{{Key: "k", Value: []byte("a"), Offset: 6}}, End: 7})
	_, err = mirror.Since(6)
	assert.Assert(t, track.IsKind(err, track.Expired), "keys deleted before the mirror was loaded are not known")
	_, err = mirror.Since(7)
	assert.NilError(t, err)
	var records []track.KeyedRecord
	for i := range 3000 {
		records = append(records, track.KeyedRecord{Key: fmt.Sprint(i), Offset: uint64(7 + i)})
	}
	mirror.Add(track.KeyedPage{Records: records, End: 3007})
	_, err = mirror.Since(7)
	assert.Assert(t, track.IsKind(err, track.Expired), "the oldest tombstones must have been pruned")
}

func TestRelayReadsFromPeer(t *testing.T) {
	log, peer := &fakeLog{}, &fakeLog{}
	log.put("k00", "a")
	hasPeer := true
	relay := keyed.NewRelay(log, func() (track.KeyedLog, bool) { return peer, hasPeer }, keyed.RelayLimits{}, clockwork.NewFakeClock())
	_, err := relay.Read(t.Context(), "", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, log.callCount(), 0)
	peer.unavailable = true
	page, err := relay.Read(t.Context(), "", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 1, "the relay must read from the log if the peer fails")
	assert.Equal(t, log.callCount(), 1)
}
