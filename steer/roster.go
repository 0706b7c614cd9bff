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
	// rosterInterval is the time between two reads of the platform's list once all ranks
	// of the group are known, incompleteRosterInterval before that.
	rosterInterval           = 30 * time.Second
	incompleteRosterInterval = 5 * time.Second
)

// Roster lists the agents of a group that spans several backend servers, as the
// platform's instance list gives them. While that list is unavailable, it keeps the
// agents that it read last. It is safe for concurrent use.
type Roster struct {
	list   track.InstanceList
	self   func() track.Instance
	ranks  int
	clock  clockwork.Clock
	logger *zap.Logger

	mu     sync.Mutex
	agents []track.Instance
}

// NewRoster returns the roster of the group of the agent that self returns. The group
// has the given number of ranks.
func NewRoster(
	list track.InstanceList, self func() track.Instance, ranks int, clock clockwork.Clock, logger *zap.Logger,
) *Roster {
	return &Roster{list: list, self: self, ranks: ranks, clock: clock, logger: logger}
}

// Agents returns the agents of the group, including this one, which comes last.
func (r *Roster) Agents() []track.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.self()
	agents := slices.DeleteFunc(slices.Clone(r.agents), func(a track.Instance) bool { return a.ID == self.ID })
	return append(agents, self)
}

// Run calls Refresh regularly until the context ends, and returns the cause of that.
func (r *Roster) Run(ctx context.Context) error {
	for {
		r.Refresh(ctx)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-r.clock.After(r.refreshInterval()):
		}
	}
}

// refreshInterval returns the time until the next read of the list.
func (r *Roster) refreshInterval() time.Duration {
	ranks := 0
	for _, agent := range r.Agents() {
		ranks += agent.Ranks
	}
	if ranks == r.ranks {
		return rosterInterval
	}
	return incompleteRosterInterval
}

// Refresh reads the list once. Agents that are leaving are included, because their
// ranks can still only be reached through them.
func (r *Roster) Refresh(ctx context.Context) {
	all, err := r.list.Instances(ctx)
	if err != nil {
		r.logger.Warn("cannot read instance list", zap.Error(err))
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
