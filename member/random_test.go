package member_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/member"
)

const (
	// scheduleSeed is the seed of the first random schedule; each further one has the
	// next seed.
	scheduleSeed = 1
	// scheduleCount is the number of random schedules.
	scheduleCount = 200
)

// TestRandomSchedules checks with random schedules of messages and failures that the
// incarnation of a replica never decreases, that an agent which said that it is leaving
// gets no more work at that incarnation, and that no replica is offered twice.
func TestRandomSchedules(t *testing.T) {
	schedules := rapid.Custom(func(r *rapid.T) []int { return rapid.SliceOfN(rapid.IntRange(0, 9999), 60, 60).Draw(r, "steps") })
	for n := range scheduleCount {
		t.Run(fmt.Sprint(n), func(t *testing.T) { runSchedule(t, schedules.Example(scheduleSeed+n)) })
	}
}

func runSchedule(t *testing.T, steps []int) {
	f := newFixture()
	type process struct {
		incarnation track.Incarnation
		seq         uint64
	}
	sent := make(map[track.InstanceID][]track.Heartbeat)
	current := make(map[track.InstanceID]process)
	leavingAt := make(map[track.InstanceID]track.Incarnation)
	highest := make(map[track.InstanceID]track.Incarnation)
	for _, step := range steps {
		id := track.InstanceID(fmt.Sprintf("a-%d", step%4))
		p := current[id]
		switch step / 4 % 7 {
		case 0:
			current[id] = process{incarnation: p.incarnation + 1}
		case 1, 2:
			p.seq++
			current[id] = p
			h := track.Heartbeat{From: agent(id), Incarnation: p.incarnation, Seq: p.seq, Up: true, Leaving: step%11 == 0}
			sent[id] = append(sent[id], h)
			deliver(f, h, leavingAt)
		case 3:
			if earlier := sent[id]; len(earlier) > 0 {
				deliver(f, earlier[step%len(earlier)], leavingAt)
			}
		case 4:
			f.state.HandleConnectionRefused(id)
		case 5:
			f.state.UpdateList(f.now, []track.Instance{agent(id)}[:step%2])
		case 6:
			f.advance(time.Duration(step%20) * time.Second)
		}
		seen := make(map[track.InstanceID]bool)
		for _, s := range f.state.Servers() {
			switch {
			case seen[s.Agent]:
				t.Fatalf("%s is offered twice", s.Agent)
			case s.Incarnation < highest[s.Agent]:
				t.Fatalf("incarnation of %s decreased from %d to %d", s.Agent, highest[s.Agent], s.Incarnation)
			case leavingAt[s.Agent] == s.Incarnation && s.Incarnation > 0:
				t.Fatalf("%s said at incarnation %d that it is leaving, but is still offered", s.Agent, s.Incarnation)
			}
			seen[s.Agent] = true
			highest[s.Agent] = s.Incarnation
		}
	}
}

// deliver delivers a heartbeat. If it is accepted and says that the sender is leaving,
// deliver records the incarnation in leavingAt.
func deliver(f *fixture, h track.Heartbeat, leavingAt map[track.InstanceID]track.Incarnation) {
	if err := f.state.HandleHeartbeat(f.now, h); err == nil && h.Leaving {
		leavingAt[h.From.ID] = max(leavingAt[h.From.ID], h.Incarnation)
	} else if err != nil && !member.IsStale(err) {
		panic(err)
	}
}
