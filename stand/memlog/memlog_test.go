package memlog_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/memlog"
)

const stream = "claims"

func batch(words ...string) [][]byte {
	var data [][]byte
	for _, w := range words {
		data = append(data, []byte(w))
	}
	return data
}

// read reads a page from the offset and checks that its offsets are consecutive. It
// also returns the data of its records.
func read(t *testing.T, l *memlog.Log, from uint64) (track.Page, []string) {
	t.Helper()
	page, err := l.Read(t.Context(), stream, from, 100)
	assert.NilError(t, err)
	var words []string
	for i, r := range page.Records {
		assert.Equal(t, r.Offset, page.Records[0].Offset+uint64(i))
		words = append(words, string(r.Data))
	}
	return page, words
}

func TestAppendAndRead(t *testing.T) {
	l := memlog.New(clockwork.NewFakeClock(), memlog.Settings{PageLimit: 2})
	first, err := l.Append(t.Context(), stream, batch("a", "b", "c"))
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(0))
	second, err := l.Append(t.Context(), stream, batch("d"))
	assert.NilError(t, err)
	assert.Equal(t, second, uint64(3))

	page, words := read(t, l, 0)
	assert.DeepEqual(t, words, []string{"a", "b"})
	assert.Equal(t, page.Next, uint64(4))
	_, words = read(t, l, 3)
	assert.DeepEqual(t, words, []string{"d"})
	_, err = l.Append(t.Context(), stream, nil)
	assert.Assert(t, track.IsKind(err, track.Invalid))
	_, err = l.Read(t.Context(), stream, 0, 0)
	assert.Assert(t, track.IsKind(err, track.Invalid))
}

func TestOffsetsAreNotReusedAfterExpiry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := memlog.New(clock, memlog.Settings{Retention: time.Hour})
	_, err := l.Append(t.Context(), stream, batch("a", "b"))
	assert.NilError(t, err)
	clock.Advance(2 * time.Hour)
	page, words := read(t, l, 0)
	assert.Equal(t, len(words), 0)
	assert.Equal(t, page.Oldest, uint64(2))
	offset, err := l.Append(t.Context(), stream, batch("c", "d"))
	assert.NilError(t, err)
	assert.Equal(t, offset, uint64(2))
	l.Expire(stream, 3)
	page, words = read(t, l, 0)
	assert.DeepEqual(t, words, []string{"d"})
	assert.Equal(t, page.Oldest, uint64(3))
}

func TestAppendFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*memlog.Log)
		kind  track.Kind
		// before and after are the records read before and after Release.
		before, after []string
	}{
		{"Away", func(l *memlog.Log) { l.SetUnavailable(true) }, track.Unavailable, nil, nil},
		{"AnswerLost", func(l *memlog.Log) { l.LoseResponses(1) }, track.Ambiguous, []string{"a"}, []string{"a"}},
		{"RequestLost", func(l *memlog.Log) { l.LoseRequests(1) }, track.Ambiguous, nil, nil},
		{"LandsLate", func(l *memlog.Log) { l.HoldAppends(1) }, track.Ambiguous, nil, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := memlog.New(clockwork.NewFakeClock(), memlog.Settings{})
			tt.fault(l)
			_, err := l.Append(t.Context(), stream, batch("a"))
			assert.Assert(t, track.IsKind(err, tt.kind), "%v", err)
			l.SetUnavailable(false)
			_, words := read(t, l, 0)
			assert.DeepEqual(t, words, tt.before)
			l.ReleaseAppends()
			_, words = read(t, l, 0)
			assert.DeepEqual(t, words, tt.after)
		})
	}
}

func TestReadLagHidesRecords(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := memlog.New(clock, memlog.Settings{})
	l.SetReadLag(time.Second)
	_, err := l.Append(t.Context(), stream, batch("a"))
	assert.NilError(t, err)
	page, words := read(t, l, 0)
	assert.Equal(t, len(words), 0)
	assert.Equal(t, page.Next, uint64(0))
	clock.Advance(time.Second)
	_, words = read(t, l, 0)
	assert.DeepEqual(t, words, []string{"a"})
}

func TestCancelledSlowAppendIsAmbiguousAndTakesEffect(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := memlog.New(clock, memlog.Settings{})
	l.SetDelay(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := l.Append(ctx, stream, batch("a"))
		done <- err
	}()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	cancel()
	assert.Assert(t, track.IsKind(<-done, track.Ambiguous))
	l.SetDelay(0)
	_, words := read(t, l, 0)
	assert.DeepEqual(t, words, []string{"a"})
}

func TestConcurrentAppendsGetDistinctOffsets(t *testing.T) {
	l := memlog.New(clockwork.NewFakeClock(), memlog.Settings{})
	var wg sync.WaitGroup
	offsets := make([]uint64, 50)
	for i := range offsets {
		wg.Go(func() {
			offsets[i], _ = l.Append(t.Context(), stream, batch(fmt.Sprint(i), "second"))
		})
	}
	wg.Wait()
	page, _ := read(t, l, 0)
	for i, offset := range offsets {
		assert.Equal(t, string(page.Records[offset].Data), fmt.Sprint(i))
	}
}
