package keyed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/keyed"
)

// oddLog handles the first reads oddly, and answers the others.
type oddLog struct {
	fakeLog
	odd   int
	reads int
	do    func(ctx context.Context) (track.KeyedPage, error)
}

func (l *oddLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	l.mu.Lock()
	l.reads++
	odd := l.reads <= l.odd
	l.mu.Unlock()
	if odd {
		return l.do(ctx)
	}
	return l.fakeLog.Read(ctx, topic, from, wait)
}

func TestHedgeTakesTheFirstAnswer(t *testing.T) {
	for _, c := range []struct {
		lost  int
		after time.Duration
	}{{0, 0}, {1, time.Second}, {2, 2 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			log := &oddLog{odd: c.lost, do: func(ctx context.Context) (track.KeyedPage, error) {
				<-ctx.Done()
				return track.KeyedPage{}, track.Fail("read", track.Ambiguous, ctx.Err())
			}}
			log.put("k00", "a")
			sentAt := time.Now()
			page, err := keyed.NewHedge(log, clockwork.NewRealClock()).Read(t.Context(), "topic", 0, 0)
			assert.NilError(t, err)
			assert.Equal(t, len(page.Records), 1)
			assert.Equal(t, time.Since(sentAt), c.after)
		})
	}
}

// Guards against a process that ends since an answer can't be coped with.
func TestHedgeTurnsAPanicIntoAnError(t *testing.T) {
	log := &oddLog{odd: 1, do: func(context.Context) (track.KeyedPage, error) { panic("unexpected") }}
	_, err := keyed.NewHedge(log, clockwork.NewRealClock()).Read(t.Context(), "topic", 0, 0)
	assert.ErrorContains(t, err, "unexpected")
}
