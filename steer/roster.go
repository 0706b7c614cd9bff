package steer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// rosterInterval is the time between two looks at the platform's list once the
	// group is complete, searchInterval before that.
	rosterInterval = 30 * time.Second
	searchInterval = 5 * time.Second
)

// Roster knows the agents of a group that spans several backend servers, from
// the platform's list. While the list is away it keeps what it knew.
type Roster struct {
	list   track.InstanceList
	self   func() track.Instance
	ranks  int
	clock  clockwork.Clock
	logger *zap.Logger

	mu     sync.Mutex
	agents []track.Instance
}

// NewRoster returns the roster of the group that the agent belongs to. The group
// has the given number of ranks.
func NewRoster(list track.InstanceList, self func() track.Instance, ranks int, clock clockwork.Clock, logger *zap.Logger) *Roster {
	return &Roster{list: list, self: self, ranks: ranks, clock: clock, logger: logger}
}

// Agents returns the agents of the group, this one included.
func (r *Roster) Agents() []track.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.self()
	agents := slices.DeleteFunc(slices.Clone(r.agents), func(a track.Instance) bool { return a.ID == self.ID })
	return append(agents, self)
}

// Run follows the list until the context ends.
func (r *Roster) Run(ctx context.Context) error {
	for {
		r.Look(ctx)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-r.clock.After(r.pause()):
		}
	}
}

func (r *Roster) pause() time.Duration {
	ranks := 0
	for _, agent := range r.Agents() {
		ranks += agent.Ranks
	}
	if ranks == r.ranks {
		return rosterInterval
	}
	return searchInterval
}

// Look reads the list once. An agent that is leaving still stands before its
// ranks, so it counts.
func (r *Roster) Look(ctx context.Context) {
	all, err := r.list.Instances(ctx)
	if err != nil {
		r.logger.Warn("instance list unavailable", zap.Error(err))
		return
	}
	self := r.self()
	agents := slices.DeleteFunc(all, func(i track.Instance) bool {
		return i.Role != track.RoleAgent || i.Group != self.Group || i.Serves != self.Serves
	})
	slices.SortFunc(agents, func(a, b track.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents = agents
}
