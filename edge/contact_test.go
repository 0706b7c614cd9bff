package edge

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// logAnswers passes messages to the entry, each 100 ms for the given time. They say how long ago the log
// answered their senders.
func logAnswers(t *testing.T, e *Entry, clock *clockwork.FakeClock, seq *uint64, d time.Duration, ages map[string]time.Duration) {
	t.Helper()
	for range d / (100 * time.Millisecond) {
		clock.Advance(100 * time.Millisecond)
		*seq++
		for name, age := range ages {
			note := entryNote(track.InstanceID(name), *seq)
			note.LogAge = age
			e.receiveNew(note)
		}
		e.tick()
	}
}

func TestLogThatTurnsOneEntryAwayIsNoOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e, seq := newEntry(clock), uint64(0)
	logAnswers(t, e, clock, &seq, 3*time.Second, map[string]time.Duration{"front-1": 1, "front-3": time.Hour})
	logAnswers(t, e, clock, &seq, 8*time.Second, map[string]time.Duration{"front-1": time.Hour, "front-3": 1})
	logAnswers(t, e, clock, &seq, time.Second, map[string]time.Duration{"front-1": 0, "front-3": time.Hour})
	_, returned := e.logOutage()
	assert.Assert(t, returned.IsZero(), "the log answered front-3 all the time, outage until %v", returned)
}

func TestEndOfAnOutageIsLearnedFromTheLeader(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e, seq := newEntry(clock), uint64(0)
	logAnswers(t, e, clock, &seq, 3*time.Second, map[string]time.Duration{"front-1": 1, "front-3": time.Hour})
	logAnswers(t, e, clock, &seq, shortestLapse, map[string]time.Duration{"front-1": time.Hour, "front-3": time.Hour})
	logAnswers(t, e, clock, &seq, 100*time.Millisecond, map[string]time.Duration{"front-1": 0, "front-3": time.Hour})
	_, returned := e.logOutage()
	assert.Equal(t, clock.Since(returned), time.Duration(0))
	logAnswers(t, e, clock, &seq, 5*time.Second, map[string]time.Duration{"front-1": 1, "front-3": time.Hour})
	_, later := e.logOutage()
	assert.Equal(t, later, returned)
}
