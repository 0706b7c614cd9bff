package agent

import (
	"sync"

	"filberttrack.example/track"
)

// table remembers the state of attempts. An attempt that was barred or started
// is never started again.
type table struct {
	mu     sync.Mutex
	states map[track.AttemptID]track.AttemptState
}

func newTable() *table {
	return &table{states: make(map[track.AttemptID]track.AttemptState)}
}

// start marks the attempt as started, or returns why it must not start.
func (t *table) start(id track.AttemptID) track.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.states[id] {
	case "":
		t.states[id] = track.AttemptStarted
		return ""
	case track.AttemptBarred:
		return track.RefusedBarred
	}
	return track.RefusedDuplicate
}

func (t *table) finish(id track.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[id] = track.AttemptDone
}

// bar bars an unknown attempt and returns the state that it then has.
func (t *table) bar(id track.AttemptID) track.AttemptState {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.states[id]
	if !ok {
		state = track.AttemptBarred
		t.states[id] = state
	}
	return state
}
