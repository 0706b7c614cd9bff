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

// fixture is a ReplicaList with a fake clock and a simulated log outage.
type fixture struct {
	*fleet.ReplicaList
	clock *clockwork.FakeClock
	// logReturned is when the log came back after an outage.
	logReturned time.Time
	// usable is the number of usable replicas that the ReplicaList reported last.
	usable int
}

func newFixture() *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.ReplicaList = fleet.New(fleet.Options{
		Decode: decode, Clock: f.clock, Logger: zap.NewNop(),
		LogOutage: func() (time.Time, time.Time) { return time.Time{}, f.logReturned },
		OnChange:  func(replicas []track.Replica) { f.usable = len(replicas) },
	})
	return f
}

func decode(id string, data []byte) (track.Replica, error) {
	r := track.Replica{ID: track.ReplicaID(id), Draining: string(data) == "draining"}
	if string(data) == "broken" {
		return r, errors.New("unreadable")
	}
	return r, nil
}

func (f *fixture) apply(key, value string) {
	f.Apply([]track.KeyedRecord{{Key: key, Value: []byte(value)}})
}

func TestReplicaLifecycle(t *testing.T) {
	f := newFixture()
	f.apply("a", "ready")
	f.apply("b", "ready")
	assert.Equal(t, f.usable, 2)
	f.apply("a", "draining")
	assert.Equal(t, f.usable, 1)
	assert.Equal(t, len(f.All()), 2)
	f.apply("b", "")
	assert.Equal(t, f.usable, 0, "a replica that left gets no more requests")
}

func TestUndecodableEntryRemovesReplica(t *testing.T) {
	f := newFixture()
	f.apply("a", "ready")
	f.apply("b", "broken")
	assert.Equal(t, f.usable, 1)
	f.apply("a", "broken")
	assert.Equal(t, f.usable, 0)
}

func TestEntryExpiredDuringLogOutage(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    time.Duration
		relisted bool
		usable   int
	}{
		{"kept just after the outage", time.Second, false, 1},
		{"removed if not listed again", 2300 * time.Millisecond, false, 0},
		{"kept if listed again", 2300 * time.Millisecond, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.apply("a", "ready")
			f.logReturned = f.clock.Now()
			f.apply("a", "")
			f.clock.Advance(c.after)
			if c.relisted {
				f.apply("a", "ready")
			}
			f.RemoveLapsed()
			assert.Equal(t, f.usable, c.usable)
		})
	}
	f := newFixture()
	f.apply("a", "draining")
	f.logReturned = f.clock.Now()
	f.apply("a", "")
	assert.Equal(t, len(f.All()), 0, "a draining replica is removed at once")
}
