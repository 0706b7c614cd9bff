// Package roster simulates the platform's instance list in memory. Tests can make
// the list lag behind changes, unavailable or empty.
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

var errListDown = errors.New("instance list is down")

// InstanceList is a simulated instance list. It implements track.InstanceList and is safe
// for concurrent use.
type InstanceList struct {
	clock clockwork.Clock

	mu sync.Mutex
	// versions holds the versions of the list, oldest first. It is never empty.
	versions    []listVersion
	lag         time.Duration
	unavailable bool
	empty       bool
}

var _ track.InstanceList = (*InstanceList)(nil)

// listVersion is a version of the list, sorted by ID, and the time of the change that
// created it.
type listVersion struct {
	since     time.Time
	instances []track.Instance
}

// New returns a list of the given instances. They are visible immediately, regardless
// of the lag.
func New(clock clockwork.Clock, instances ...track.Instance) *InstanceList {
	r := &InstanceList{clock: clock}
	first := listVersion{instances: slices.Clone(instances)}
	sortByID(first.instances)
	r.versions = []listVersion{first}
	return r
}

// Instances implements track.InstanceList.
func (r *InstanceList) Instances(context.Context) ([]track.Instance, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return nil, track.Fail("list instances", track.Unavailable, errListDown)
	}
	if r.empty {
		return nil, nil
	}
	visible := r.versions[0]
	newest := r.clock.Now().Add(-r.lag)
	for _, v := range r.versions {
		if !v.since.After(newest) {
			visible = v
		}
	}
	return slices.Clone(visible.instances), nil
}

// Put adds the instance, or replaces the instance with the same ID.
func (r *InstanceList) Put(instance track.Instance) {
	r.change(func(list []track.Instance) []track.Instance {
		list = remove(list, instance.ID)
		return append(list, instance)
	})
}

// Remove removes the instance with the ID, if it is in the list.
func (r *InstanceList) Remove(id track.InstanceID) {
	r.change(func(list []track.Instance) []track.Instance {
		return remove(list, id)
	})
}

// MarkLeaving sets the state of the instance with the ID to track.InstanceLeaving.
func (r *InstanceList) MarkLeaving(id track.InstanceID) {
	r.change(func(list []track.Instance) []track.Instance {
		for i := range list {
			if list[i].ID == id {
				list[i].State = track.InstanceLeaving
			}
		}
		return list
	})
}

// SetLag sets the time after which a change becomes visible to callers.
func (r *InstanceList) SetLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = lag
}

// SetUnavailable sets whether Instances fails with kind Unavailable.
func (r *InstanceList) SetUnavailable(unavailable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = unavailable
}

// SetEmpty sets whether Instances returns an empty list.
func (r *InstanceList) SetEmpty(empty bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.empty = empty
}

// change adds a version of the list that edit returns from a copy of the latest one.
func (r *InstanceList) change(edit func([]track.Instance) []track.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.versions[len(r.versions)-1]
	list := edit(slices.Clone(latest.instances))
	sortByID(list)
	r.versions = append(r.versions, listVersion{since: r.clock.Now(), instances: list})
	r.dropOldVersions()
}

// dropOldVersions drops the versions that are no longer visible with the current lag
// or a shorter one.
func (r *InstanceList) dropOldVersions() {
	newest := r.clock.Now().Add(-r.lag)
	for len(r.versions) > 1 && !r.versions[1].since.After(newest) {
		r.versions = r.versions[1:]
	}
}

func remove(list []track.Instance, id track.InstanceID) []track.Instance {
	return slices.DeleteFunc(list, func(i track.Instance) bool { return i.ID == id })
}

func sortByID(list []track.Instance) {
	slices.SortFunc(list, func(a, b track.Instance) int { return cmp.Compare(a.ID, b.ID) })
}
