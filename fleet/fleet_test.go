package fleet_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
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
	// changes is the number of lists that it reported.
	changes int
}

func newFixture() *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.ReplicaList = fleet.New(fleet.Options{
		Decode: decode, Clock: f.clock, Logger: zap.NewNop(),
		LogOutage: func() (time.Time, time.Time) { return time.Time{}, f.logReturned },
		OnChange:  func(replicas []track.Replica) { f.usable, f.changes = len(replicas), f.changes+1 },
	})
	return f
}

func decode(id string, data []byte) (track.Replica, error) {
	state, number, _ := strings.Cut(string(data), " ")
	r := track.Replica{ID: track.ReplicaID(id), Draining: state == "draining"}
	if n, err := strconv.ParseUint(number, 10, 64); err == nil {
		r.Heartbeat = n
	}
	if state == "cold" {
		r.WarmupTime = time.Second
	}
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

// Guards against a replica that counts as warm because its records say the same again, for example while it is idle.
func TestEachReportOfAColdReplicaIsNews(t *testing.T) {
	f := newFixture()
	f.apply("a", "cold 1")
	f.apply("a", "cold 2")
	assert.Equal(t, f.changes, 2)
	f.apply("a", "ready 3")
	f.apply("a", "ready 4")
	assert.Equal(t, f.changes, 3)
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

// restored is a record of the copy from which the log comes back.
type restored struct {
	replica  string
	state    string
	reported uint64
}

// TestRestoredLog checks that replicas that have left or are draining aren't used again because the
// log comes back from an older copy, and that live ones stay in use until they report again.
func TestRestoredLog(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(f *fixture)
		copied []restored
		usable int
		after  func(f *fixture)
		later  int
	}{
		{
			"the copy lacks a replica that started since", func(f *fixture) { f.report("a", "ready", 1) },
			[]restored{{"a", "", 0}},
			1, func(f *fixture) { f.report("a", "ready", 2) }, 1,
		},
		{
			"the copy lacks a replica that is gone since", func(f *fixture) { f.report("a", "ready", 1) },
			[]restored{{"a", "", 0}},
			1, func(*fixture) {}, 0,
		},
		{
			"the copy has a replica that left", func(f *fixture) { f.report("a", "ready", 5); f.apply("a", "") },
			[]restored{{"a", "ready", 4}},
			0, func(*fixture) {}, 0,
		},
		{
			"a replica that was taken for gone reports again", func(f *fixture) { f.report("a", "ready", 5); f.apply("a", "") },
			[]restored{{"a", "ready", 4}},
			0, func(f *fixture) { f.report("a", "ready", 6) }, 1,
		},
		{
			"the copy has a replica as ready that is draining", func(f *fixture) { f.report("a", "draining", 5) },
			[]restored{{"a", "ready", 4}},
			0, func(*fixture) {}, 0,
		},
		{
			// Guards against requests to a draining replica that doesn't number its reports.
			"the copy has a report of the same number as draining", func(f *fixture) { f.report("a", "ready", 0) },
			[]restored{{"a", "draining", 0}},
			0, func(*fixture) {}, 0,
		},
		{
			"the copy has a newer report", func(f *fixture) { f.report("a", "ready", 5) },
			[]restored{{"a", "draining", 6}},
			0, func(*fixture) {}, 0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			c.before(f)
			var records []track.KeyedRecord
			for _, r := range c.copied {
				records = append(records, reportRecord(r.replica, r.state, r.reported))
			}
			f.ApplyRestored(records)
			assert.Equal(t, f.usable, c.usable)
			f.clock.Advance(time.Second)
			c.after(f)
			f.clock.Advance(2 * time.Second)
			f.RemoveLapsed()
			assert.Equal(t, f.usable, c.later)
		})
	}
}

// report applies the report of a replica with its number.
func (f *fixture) report(replica, state string, number uint64) {
	f.Apply([]track.KeyedRecord{reportRecord(replica, state, number)})
}

func reportRecord(replica, state string, number uint64) track.KeyedRecord {
	r := track.KeyedRecord{Key: replica}
	if state != "" {
		r.Value = fmt.Appendf(nil, "%s %d", state, number)
	}
	return r
}
