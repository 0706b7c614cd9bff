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

// memory is a log of one topic that can be away and forget its history.
type memory struct {
	mu      sync.Mutex
	records []track.KeyedRecord
	// first is the offset of the oldest record that reads still get.
	first uint64
	away  bool
	calls int
}

func (m *memory) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = append(m.records, track.KeyedRecord{Key: key, Value: []byte(value), Offset: uint64(len(m.records))})
}

func (m *memory) call() error {
	m.calls++
	if m.away {
		return track.Fail("call log", track.Unavailable, errors.New("away"))
	}
	return nil
}

// asked returns the number of calls so far.
func (m *memory) asked() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Newest implements track.KeyedLog, with two keys a page.
func (m *memory) Newest(_ context.Context, _, after string) (track.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.call(); err != nil {
		return track.KeyedPage{}, err
	}
	newest := map[string]track.KeyedRecord{}
	for _, r := range m.records {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	page := track.KeyedPage{End: uint64(len(m.records))}
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
func (m *memory) Read(_ context.Context, _ string, from uint64, _ time.Duration) (track.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.call(); err != nil {
		return track.KeyedPage{}, err
	}
	if from < m.first {
		return track.KeyedPage{}, track.Fail("read log", track.Expired, errors.New("gone"))
	}
	return track.KeyedPage{Records: append([]track.KeyedRecord(nil), m.records[from:]...), End: uint64(len(m.records))}, nil
}

// Put implements track.KeyedLog.
func (m *memory) Put(_ context.Context, _, key string, value []byte) error {
	m.put(key, string(value))
	return nil
}

// follow runs a follower of the log on a fake clock.
type follow struct {
	t     *testing.T
	clock *clockwork.FakeClock
	*keyed.Follower
	mu    sync.Mutex
	state map[string]string
}

func newFollow(t *testing.T, o keyed.Options) *follow {
	f := &follow{t: t, clock: clockwork.NewFakeClock(), state: map[string]string{}}
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
	f.Follower = keyed.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	f.wait()
	return f
}

// wait waits until the follower pauses.
func (f *follow) wait() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(f.t, f.clock.BlockUntilContext(ctx, 1))
}

// pass lets a pause pass.
func (f *follow) pass(d time.Duration) {
	f.t.Helper()
	f.clock.Advance(d)
	f.wait()
}

func (f *follow) has(want map[string]string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.DeepEqual(f.t, f.state, want)
}

func TestFollowsThroughOutagesAndLostHistory(t *testing.T) {
	log := &memory{}
	for i := range 5 {
		log.put(fmt.Sprintf("k%02d", i), "a")
	}
	log.put("k01", "")
	f := newFollow(t, keyed.Options{Log: log, Pause: time.Second})
	f.has(map[string]string{"k00": "a", "k02": "a", "k03": "a", "k04": "a"})

	log.put("k02", "b")
	f.pass(time.Second)
	f.has(map[string]string{"k00": "a", "k02": "b", "k03": "a", "k04": "a"})

	log.mu.Lock()
	log.away = true
	log.mu.Unlock()
	log.put("k03", "")
	f.pass(time.Second)
	since, returned := f.Away()
	assert.Assert(t, !since.IsZero() && returned.IsZero())

	log.mu.Lock()
	log.away, log.first = false, uint64(len(log.records))
	log.mu.Unlock()
	f.pass(time.Second)
	f.has(map[string]string{"k00": "a", "k02": "b", "k04": "a"})
	since, returned = f.Away()
	assert.Assert(t, since.IsZero() && !returned.IsZero())
}

func TestPausesGrow(t *testing.T) {
	log := &memory{}
	f := newFollow(t, keyed.Options{Log: log, Pause: time.Second, MaxPause: 4 * time.Second})
	for _, pause := range []time.Duration{1, 2, 4, 4} {
		calls := log.asked()
		f.clock.Advance(pause*time.Second - time.Millisecond)
		assert.Equal(t, log.asked(), calls)
		f.pass(time.Millisecond)
		assert.Equal(t, log.asked(), calls+1)
	}
}

func TestAPeerHelpsWhileTheLogIsAway(t *testing.T) {
	shared := &memory{}
	shared.put("k00", "a")
	own := &memory{away: true}
	f := newFollow(t, keyed.Options{Log: own, Pause: time.Second, Peers: func() []track.KeyedLog { return []track.KeyedLog{own, shared} }})
	f.has(map[string]string{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.RunPeers(ctx) }()
	f.Heard(1)
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 2))
	f.has(map[string]string{"k00": "a"})
	shared.put("k00", "")
	shared.put("k01", "b")
	f.clock.Advance(200 * time.Millisecond)
	f.Heard(1)
	f.Heard(3)
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 2))
	f.has(map[string]string{"k01": "b"})
	cancel()
	<-ended
}

func TestMirrorEndsAsTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &memory{}
		source, copied := keyed.NewMirror(), keyed.NewMirror()
		source.Replace(nil, 0)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				key := fmt.Sprintf("k%02d", rapid.IntRange(0, 5).Draw(t, "key"))
				log.put(key, rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "value"))
				continue
			}
			page, err := log.Read(context.Background(), "", source.End(), 0)
			assert.NilError(t, err)
			source.Add(page.Records, page.End)
			hand(t, source, copied)
		}
		page, err := log.Read(context.Background(), "", source.End(), 0)
		assert.NilError(t, err)
		source.Add(page.Records, page.End)
		hand(t, source, copied)
		want, err := source.Newest()
		assert.NilError(t, err)
		got, err := copied.Newest()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

// hand brings one mirror up to date from another, as peers do.
func hand(t *rapid.T, from, to *keyed.Mirror) {
	if !to.Known() {
		page, err := from.Newest()
		assert.NilError(t, err)
		to.Replace(page.Records, page.End)
		return
	}
	page, err := from.Since(to.End())
	assert.NilError(t, err)
	to.Add(page.Records, page.End)
}

func TestAMirrorSaysHowFarBackItReaches(t *testing.T) {
	m := keyed.NewMirror()
	_, err := m.Since(0)
	assert.Assert(t, track.IsKind(err, track.Expired))
	m.Replace([]track.KeyedRecord{{Key: "k", Value: []byte("a"), Offset: 6}}, 7)
	_, err = m.Since(6)
	assert.Assert(t, track.IsKind(err, track.Expired), "what was dropped before is not known")
	_, err = m.Since(7)
	assert.NilError(t, err)
	var records []track.KeyedRecord
	for i := range 3000 {
		records = append(records, track.KeyedRecord{Key: fmt.Sprint(i), Offset: uint64(7 + i)})
	}
	m.Add(records, 3007)
	_, err = m.Since(7)
	assert.Assert(t, track.IsKind(err, track.Expired), "dropped keys are forgotten at some time")
}

func TestRelayReadsFromItsPeer(t *testing.T) {
	log, peer := &memory{}, &memory{}
	log.put("k00", "a")
	use := true
	relay := keyed.NewRelay(log, func() (track.KeyedLog, bool) { return peer, use }, clockwork.NewFakeClock())
	_, err := relay.Read(t.Context(), "", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, log.asked(), 0)
	_, known := relay.Age()
	assert.Assert(t, !known, "the log itself has told nothing")
	peer.away = true
	page, err := relay.Read(t.Context(), "", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 1, "the log answers for a peer that doesn't")
	_, known = relay.Age()
	assert.Assert(t, known)
}
