package member_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/member"
)

// scheduleSeed fixes the random schedules, scheduleCount is their number.
const (
	scheduleSeed  = 1
	scheduleCount = 200
)

// TestAnySchedule checks over random schedules that no incarnation falls, that
// an agent which said that it is leaving gets no work at that incarnation, and that a server is
// never in the pool twice.
func TestAnySchedule(t *testing.T) {
	plan := rapid.Custom(func(r *rapid.T) []int { return rapid.SliceOfN(rapid.IntRange(0, 9999), 60, 60).Draw(r, "steps") })
	for n := range scheduleCount {
		t.Run(fmt.Sprint(n), func(t *testing.T) { runSchedule(t, plan.Example(scheduleSeed+n)) })
	}
}

func runSchedule(t *testing.T, steps []int) {
	w := newWorld()
	type process struct {
		incarnation track.Incarnation
		seq         uint64
	}
	sent := make(map[track.InstanceID][]track.Heartbeat)
	current := make(map[track.InstanceID]process)
	left := make(map[track.InstanceID]track.Incarnation)
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
			deliver(w, h, left)
		case 3:
			if late := sent[id]; len(late) > 0 {
				deliver(w, late[step%len(late)], left)
			}
		case 4:
			w.state.NoListener(id)
		case 5:
			w.state.Listed(w.now, []track.Instance{agent(id)}[:step%2])
		case 6:
			w.pass(time.Duration(step%20) * time.Second)
		}
		seen := make(map[track.InstanceID]bool)
		for _, s := range w.state.Servers() {
			switch {
			case seen[s.Agent]:
				t.Fatalf("%s is in the pool twice", s.Agent)
			case s.Incarnation < highest[s.Agent]:
				t.Fatalf("incarnation of %s fell from %d to %d", s.Agent, highest[s.Agent], s.Incarnation)
			case left[s.Agent] == s.Incarnation && s.Incarnation > 0:
				t.Fatalf("%s said at incarnation %d that it is leaving, and is in the pool", s.Agent, s.Incarnation)
			}
			seen[s.Agent] = true
			highest[s.Agent] = s.Incarnation
		}
	}
}

// deliver hands over a heartbeat and notes a leaving one that was taken.
func deliver(w *world, h track.Heartbeat, left map[track.InstanceID]track.Incarnation) {
	if err := w.state.Heard(w.now, h); err == nil && h.Leaving {
		left[h.From.ID] = max(left[h.From.ID], h.Incarnation)
	} else if err != nil && !member.IsStale(err) {
		panic(err)
	}
}
