// Package roster provides an in-memory stand-in for the platform's instance
// list, which lags behind the truth and can be away.
package roster

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

var errAway = errors.New("instance list is away")

// Roster implements track.InstanceList. It is safe for concurrent use.
type Roster struct {
	clock clockwork.Clock

	mu sync.Mutex
	// history holds the states of the list, oldest first; never empty.
	history []version
	lag     time.Duration
	away    bool
	empty   bool
}

var _ track.InstanceList = (*Roster)(nil)

// version is the list as it stood from a time on, sorted by ID.
type version struct {
	since     time.Time
	instances []track.Instance
}

// New returns a list that shows the given instances at once, whatever its lag.
func New(clock clockwork.Clock, instances ...track.Instance) *Roster {
	r := &Roster{clock: clock}
	first := version{instances: slices.Clone(instances)}
	sortByID(first.instances)
	r.history = []version{first}
	return r
}

// Instances implements track.InstanceList.
func (r *Roster) Instances(context.Context) ([]track.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		return nil, track.Fail("list instances", track.Unavailable, errAway)
	}
	if r.empty {
		return nil, nil
	}
	shown := r.history[0]
	newest := r.clock.Now().Add(-r.lag)
	for _, v := range r.history {
		if !v.since.After(newest) {
			shown = v
		}
	}
	return slices.Clone(shown.instances), nil
}

// Put adds the instance or replaces the one with its ID.
func (r *Roster) Put(instance track.Instance) {
	r.change(func(list []track.Instance) []track.Instance {
		list = remove(list, instance.ID)
		return append(list, instance)
	})
}

// Remove removes the instance from the list.
func (r *Roster) Remove(id track.InstanceID) {
	r.change(func(list []track.Instance) []track.Instance {
		return remove(list, id)
	})
}

// MarkLeaving marks the instance as leaving.
func (r *Roster) MarkLeaving(id track.InstanceID) {
	r.change(func(list []track.Instance) []track.Instance {
		for i := range list {
			if list[i].ID == id {
				list[i].State = track.Leaving
			}
		}
		return list
	})
}

// SetLag sets the age of the state that callers see.
func (r *Roster) SetLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = lag
}

// SetAway makes calls fail with kind Unavailable, or ends that.
func (r *Roster) SetAway(away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = away
}

// SetEmpty makes the list show no instance at all, or ends that.
func (r *Roster) SetEmpty(empty bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.empty = empty
}

func (r *Roster) change(edit func([]track.Instance) []track.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.history[len(r.history)-1]
	list := edit(slices.Clone(latest.instances))
	sortByID(list)
	r.history = append(r.history, version{since: r.clock.Now(), instances: list})
	r.forget()
}

// forget drops the states that no lag up to the present one shows any more.
func (r *Roster) forget() {
	newest := r.clock.Now().Add(-r.lag)
	for len(r.history) > 1 && !r.history[1].since.After(newest) {
		r.history = r.history[1:]
	}
}

func remove(list []track.Instance, id track.InstanceID) []track.Instance {
	return slices.DeleteFunc(list, func(i track.Instance) bool { return i.ID == id })
}

func sortByID(list []track.Instance) {
	slices.SortFunc(list, func(a, b track.Instance) int { return cmp.Compare(a.ID, b.ID) })
}
