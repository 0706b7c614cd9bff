package swap

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// Door is the way to all ranks behind an agent.
type Door struct {
	members []*Member
	counter track.ExpertCounter
	clock   clockwork.Clock
	// prepareWait is the time for which an order to prepare waits for its end.
	prepareWait time.Duration

	mu    sync.Mutex
	heard time.Time
	// highest is the highest ballot number in an order.
	highest uint64
}

var _ track.MapDoor = (*Door)(nil)

// NewDoor returns the door of an agent that has just started, with an engine
// for each rank behind it.
func NewDoor(agent track.InstanceID, incarnation track.Incarnation, engines []track.RankEngine, counter track.ExpertCounter, clock clockwork.Clock) *Door {
	d := &Door{counter: counter, clock: clock, heard: clock.Now()}
	for i, engine := range engines {
		d.members = append(d.members, NewMember(track.RankID{Agent: agent, Rank: i}, incarnation, engine))
	}
	return d
}

// Order implements track.MapMember.
func (d *Door) Order(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	if o.To.Rank < 0 || o.To.Rank >= len(d.members) {
		return track.MapReply{}, track.Fail("order rank", track.Invalid, fmt.Errorf("no rank %d", o.To.Rank))
	}
	d.mu.Lock()
	d.heard = d.clock.Now()
	d.highest = max(d.highest, o.Ballot.Number)
	d.mu.Unlock()
	reply, err := d.members[o.To.Rank].Order(ctx, o)
	if err != nil || o.Kind != track.OrderPrepare || d.prepareWait <= 0 {
		return reply, err
	}
	return d.awaitPrepared(ctx, o, reply)
}

// WaitPrepared has orders to prepare be answered once the rank has prepared, for a time
// at most, so that drivers ask less often. It is called before the first order.
func (d *Door) WaitPrepared(wait time.Duration) {
	d.prepareWait = wait
}

// prepareLook is the time between two looks at a rank that prepares.
const prepareLook = 15 * time.Millisecond

// awaitPrepared looks at the rank until it has prepared, refuses, or the wait is over.
func (d *Door) awaitPrepared(ctx context.Context, o track.MapOrder, reply track.MapReply) (track.MapReply, error) {
	o.Begun, o.Change = true, nil
	end := d.clock.Now().Add(d.prepareWait)
	for reply.Refusal == "" && (reply.State.Prepared == nil || reply.State.Prepared.Version != o.Ballot) && d.clock.Now().Before(end) {
		select {
		case <-ctx.Done():
			return reply, nil
		case <-d.clock.After(prepareLook):
		}
		// If the rank can't be asked, the driver asks again, and hears of it if that lasts.
		if next, err := d.members[o.To.Rank].Order(ctx, o); err == nil {
			reply = next
		}
	}
	return reply, nil
}

// Counts implements track.ExpertCounter.
func (d *Door) Counts(ctx context.Context) (track.ExpertCounts, error) {
	return d.counter.Counts(ctx)
}

// Heard returns the time of the latest order.
func (d *Door) Heard() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heard
}

// Highest returns the highest ballot number that an order carried, so that the
// agent's own driver begins above it.
func (d *Door) Highest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.highest
}

// States returns the states of the ranks behind the agent, without the layers of
// maps.
func (d *Door) States(ctx context.Context) ([]track.RankState, error) {
	states := make([]track.RankState, len(d.members))
	for i, m := range d.members {
		state, err := m.engine.State(ctx, false)
		if err != nil {
			return nil, track.Fail("read rank state", Engine, err)
		}
		states[i] = state
	}
	return states, nil
}

// State returns the state of a rank with the layers of its maps.
func (d *Door) State(ctx context.Context, rank int) (track.RankState, error) {
	state, err := d.members[rank].engine.State(ctx, true)
	if err != nil {
		return state, track.Fail("read rank state", Engine, err)
	}
	return state, nil
}
