package fleet_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/fleet"
)

// list is a fleet with the list that it published last.
type list struct {
	*fleet.Fleet
	clock    *clockwork.FakeClock
	returned time.Time
	usable   int
}

func newList() *list {
	l := &list{clock: clockwork.NewFakeClock()}
	l.Fleet = fleet.New(fleet.Options{
		Decode: decode, Clock: l.clock, Logger: zap.NewNop(),
		Away:    func() (time.Time, time.Time) { return time.Time{}, l.returned },
		Changed: func(replicas []track.Replica) { l.usable = len(replicas) },
	})
	return l
}

func decode(id string, data []byte) (track.Replica, error) {
	r := track.Replica{ID: track.ReplicaID(id), Draining: string(data) == "draining"}
	if string(data) == "broken" {
		return r, errors.New("unreadable")
	}
	return r, nil
}

func (l *list) apply(key, value string) {
	l.Apply([]track.KeyedRecord{{Key: key, Value: []byte(value)}})
}

func TestReplicasComeDrainAndLeave(t *testing.T) {
	l := newList()
	l.apply("a", "ready")
	l.apply("b", "ready")
	assert.Equal(t, l.usable, 2)
	l.apply("a", "draining")
	assert.Equal(t, l.usable, 1)
	assert.Equal(t, len(l.All()), 2)
	l.apply("b", "")
	assert.Equal(t, l.usable, 0, "one that left gets nothing from then on")
}

func TestAnUnreadableEntryNamesNobody(t *testing.T) {
	l := newList()
	l.apply("a", "ready")
	l.apply("b", "broken")
	assert.Equal(t, l.usable, 1)
	l.apply("a", "broken")
	assert.Equal(t, l.usable, 0)
}

func TestLapsedEntries(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		back  bool
		want  int
	}{
		{"kept just after the log's return", time.Second, false, 1},
		{"gone if it isn't back", 2300 * time.Millisecond, false, 0},
		{"kept if it is", 2300 * time.Millisecond, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newList()
			l.apply("a", "ready")
			l.returned = l.clock.Now()
			l.apply("a", "")
			l.clock.Advance(c.after)
			if c.back {
				l.apply("a", "ready")
			}
			l.Tick()
			assert.Equal(t, l.usable, c.want)
		})
	}
	l := newList()
	l.apply("a", "draining")
	l.returned = l.clock.Now()
	l.apply("a", "")
	assert.Equal(t, len(l.All()), 0, "one that was draining has left")
}
