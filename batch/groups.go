package batch

import (
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// OnLeaveSlowRank registers a function that is called if the replica's rank becomes so slow that
// its own requests delay those of its whole group, while a replica that isn't slow is
// available. The function is called at most once, and never after Done.
func (g *Grant) OnLeaveSlowRank(onLeaveSlowRank func()) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.onLeaveSlowRank = onLeaveSlowRank
	if r := g.pool.replicas[g.Replica.ID]; r != nil {
		r.movable[g] = struct{}{}
	}
}

// OtherGroupAvailable reports whether a replica is available that is known to belong to another
// rank group than the given one. If not, it returns the delay after which that group is
// expected to work again.
func (p *Pool) OtherGroupAvailable(id track.ReplicaID) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	failed := p.replicas[id]
	for _, r := range p.replicas {
		other := failed != nil && failed.rank.Group != "" && r.rank.Group != "" && r.rank.Group != failed.rank.Group
		if other && r.available(now) {
			return true, 0
		}
	}
	return false, p.groupRetryAfter(now)
}

// groupRetryAfter returns the delay, with jitter, after which a broken group is expected
// to work again.
func (p *Pool) groupRetryAfter(now time.Time) time.Duration {
	if now.Sub(p.createdAt) < startupPeriod {
		return p.addJitter(formingRetryAfter)
	}
	return p.addJitter(brokenGroupRetryAfter)
}

// anyHealthyRank reports whether a replica in the given zones is available whose rank isn't slow.
func (p *Pool) anyHealthyRank(now time.Time, zones func(track.AvailabilityZone) bool) bool {
	for _, r := range p.replicas {
		if r.available(now) && !r.slow() && allows(zones, r.Zone) {
			return true
		}
	}
	return false
}

// markGroupBroken marks all replicas of the given replica's group as broken.
func (p *Pool) markGroupBroken(r *replica, now time.Time) {
	for _, other := range p.replicas {
		if r.rank.Group != "" && other.rank.Group == r.rank.Group {
			other.markBroken(now, max(brokenGroupBackoff, p.engine.GroupRecoveryTime))
		}
	}
}

// RankState is the state of a replica's rank as its agent reports it.
type RankState struct {
	// Group names the rank group.
	Group string
	// Working is set while the rank group works.
	Working bool
	// Slowdown is the time that the rank needs for the same work, as a multiple of the time
	// that a healthy rank needs; 0 if unknown.
	Slowdown float64
	// PassDuration is the duration of one forward pass of the group; 0 if unknown.
	PassDuration time.Duration
}

// RankReport is what the agent of the replica at an address reports about its rank.
type RankReport struct {
	Address string
	State   RankState
}

// rankReportTime is the time for which the report of a rank counts in the state of its group. Agents report
// several times in that time.
const rankReportTime = 1500 * time.Millisecond

// inBrokenGroup reports whether most ranks of the replica's group have reported lately that the group doesn't
// work. A group needs all its ranks, so that replicas that say nothing, since they are cut off, serve nothing
// either. Requests that run there still take their slots; a request that waited for these would be refused
// as if the replicas were busy, and its client come back before the group does.
func (p *Pool) inBrokenGroup(r *replica, now time.Time) bool {
	return now.Before(p.brokenGroups[r.rank.Group]) && p.dividesSlots()
}

// SetRank records a report on one rank.
func (p *Pool) SetRank(address string, state RankState) {
	p.SetRanks([]RankReport{{Address: address, State: state}})
}

// SetRanks records reports on ranks. Those on ranks of other services are ignored.
func (p *Pool) SetRanks(reports []RankReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	groups := make(map[string]bool)
	for _, report := range reports {
		for _, r := range p.replicasAt(report.Address) {
			p.setRank(r, report.State, now)
			groups[report.State.Group] = true
		}
	}
	if len(groups) == 0 {
		return
	}
	p.updatePassTimes(groups, now)
	p.dispatch()
}

// setRank records the state of a replica's rank.
func (p *Pool) setRank(r *replica, state RankState, now time.Time) {
	if state.Working == r.broken {
		p.suspectGroup(state.Group, now)
	}
	switch {
	case !state.Working:
		r.markBroken(now, brokenGroupBackoff)
	case r.broken:
		r.suspectCold(now)
		r.broken, r.backoffUntil = false, now
	}
	old := r.rank
	r.rank, r.rankReportedAt = state, now
	if old.PassDuration = state.PassDuration; old != state {
		p.options.Logger.Info("rank of replica", zap.String("Replica", string(r.ID)), zap.String("Group", state.Group),
			zap.Bool("Open", state.Working), zap.Float64("Pace", state.Slowdown))
	}
	if state.Slowdown >= leaveSlowRankThreshold {
		p.leaveSlowRank(r, now)
	}
}

// replicasAt returns the replicas with an address. There may be several for a short time,
// as addresses are used again.
func (p *Pool) replicasAt(address string) []*replica {
	if p.byAddress == nil {
		p.byAddress = make(map[string][]*replica, len(p.replicas))
		for _, r := range p.replicas {
			p.byAddress[r.Address] = append(p.byAddress[r.Address], r)
		}
	}
	return p.byAddress[address]
}

// groupTotals sums up what is known of the ranks of a group.
type groupTotals struct {
	// passes is the sum of the pass durations that the ranks report, and reported their number.
	passes   time.Duration
	reported int
	// working and broken are the numbers of ranks that have reported lately that the group works, or doesn't.
	working, broken int
	// brokenUntil is when the latest report counts no more that the group doesn't work.
	brokenUntil time.Time
	// running is the number of requests on the listed ranks.
	running int
	listed  int
}

// updatePassTimes updates the pass times and the pace of groups. The ranks of a group report
// the same passes at different times, so their mean counts.
func (p *Pool) updatePassTimes(groups map[string]bool, now time.Time) {
	totals := make(map[string]groupTotals, len(groups))
	for _, r := range p.replicas {
		if !groups[r.rank.Group] {
			continue
		}
		t := totals[r.rank.Group]
		if r.rank.PassDuration > 0 {
			t.passes += r.rank.PassDuration
			t.reported++
		}
		if now.Sub(r.rankReportedAt) < rankReportTime {
			if r.rank.Working {
				t.working++
			} else {
				t.broken++
				if until := r.rankReportedAt.Add(rankReportTime); until.After(t.brokenUntil) {
					t.brokenUntil = until
				}
			}
		}
		if r.listed {
			t.running += r.load()
			t.listed++
		}
		totals[r.rank.Group] = t
	}
	for group, t := range totals {
		if delete(p.brokenGroups, group); t.broken > t.working {
			p.brokenGroups[group] = t.brokenUntil
		}
		p.passTimes[group] = t.passes / time.Duration(max(t.reported, 1))
		p.observePass(group, t, now)
	}
}

// leaveSlowRank aborts the attempts at a replica that can continue on another one whose rank isn't slow.
func (p *Pool) leaveSlowRank(r *replica, now time.Time) {
	var leaving []*Grant
	for g := range r.movable {
		if p.anyHealthyRank(now, g.zones) {
			leaving = append(leaving, g)
			delete(r.movable, g)
		}
	}
	if len(leaving) == 0 {
		return
	}
	p.options.Logger.Info("replica evacuated", zap.String("Replica", string(r.ID)),
		zap.Float64("Pace", r.rank.Slowdown), zap.Int("Requests", len(leaving)))
	for _, g := range leaving {
		g.onLeaveSlowRank()
	}
}

// HasBrokenGroup reports whether a rank group of the service is known to be broken.
func (p *Pool) HasBrokenGroup() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		if r.usable() && r.broken {
			return true
		}
	}
	return false
}
