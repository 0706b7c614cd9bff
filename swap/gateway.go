package swap

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// Gateway is the entry point to all ranks of an agent. It passes each order to the member
// of the rank that the order names. It is safe for concurrent use.
type Gateway struct {
	members []*Member
	counter track.ExpertCounter
	clock   clockwork.Clock
	// prepareWait is how long the answer to a Prepare may wait for the rank to have
	// prepared; 0 answers at once.
	prepareWait time.Duration

	mu sync.Mutex
	// lastOrder is the time of the latest order.
	lastOrder time.Time
	// highestBallot is the highest ballot number seen in an order.
	highestBallot uint64
}

var _ track.RankGateway = (*Gateway)(nil)

// NewGateway returns the Gateway of an agent that has just started. The engines are those of
// the agent's ranks, in their order; the counter may be nil if Counts is not used.
func NewGateway(
	agent track.InstanceID, incarnation track.Incarnation, engines []track.RankEngine, counter track.ExpertCounter,
	clock clockwork.Clock,
) *Gateway {
	d := &Gateway{counter: counter, clock: clock, lastOrder: clock.Now()}
	for i, engine := range engines {
		d.members = append(d.members, NewMember(track.RankID{Agent: agent, Rank: i}, incarnation, engine))
	}
	return d
}

// Order implements track.MapMember. It returns an error of kind track.Invalid if the
// agent has no such rank, and one of kind EngineFailed if the rank's engine fails.
func (d *Gateway) Order(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	if o.To.Rank < 0 || o.To.Rank >= len(d.members) {
		return track.MapReply{}, track.Fail("execute rank order", track.Invalid, fmt.Errorf("agent has no rank %d", o.To.Rank))
	}
	d.mu.Lock()
	d.lastOrder = d.clock.Now()
	d.highestBallot = max(d.highestBallot, o.Ballot.Number)
	d.mu.Unlock()
	reply, err := d.members[o.To.Rank].Order(ctx, o)
	if err != nil || o.Kind != track.OrderPrepare || d.prepareWait <= 0 {
		return reply, err
	}
	return d.awaitPrepared(ctx, o, reply)
}

// SetPrepareWait delays the answer to a Prepare until the rank has prepared, but by wait at
// most, so that coordinators poll less often. It must be called before the first order.
func (d *Gateway) SetPrepareWait(wait time.Duration) {
	d.prepareWait = wait
}

// preparePollInterval is the time between two reads of the state of a rank that prepares.
const preparePollInterval = 15 * time.Millisecond

// awaitPrepared polls the rank until it has prepared or refuses, or prepareWait is over.
func (d *Gateway) awaitPrepared(ctx context.Context, o track.MapOrder, reply track.MapReply) (track.MapReply, error) {
	o.StateOnly, o.Change = true, nil
	deadline := d.clock.Now().Add(d.prepareWait)
	for reply.Refusal == "" && (reply.State.Prepared == nil || reply.State.Prepared.Version != o.Ballot) &&
		d.clock.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return reply, nil
		case <-d.clock.After(preparePollInterval):
		}
		// A failed poll is ignored: the coordinator sends the order again, and gets the
		// error itself if it persists.
		if next, err := d.members[o.To.Rank].Order(ctx, o); err == nil {
			reply = next
		}
	}
	return reply, nil
}

// Counts implements track.ExpertCounter.
func (d *Gateway) Counts(ctx context.Context) (track.ExpertCounts, error) {
	return d.counter.Counts(ctx)
}

// LastOrderTime returns the time of the latest order, or of the agent's start if there was none.
func (d *Gateway) LastOrderTime() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastOrder
}

// HighestBallot returns the highest ballot number that an order carried, so that the agent's
// own coordinator begins above it.
func (d *Gateway) HighestBallot() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.highestBallot
}

// States returns the states of all ranks of the agent, without the layers of their maps.
// It returns an error of kind EngineFailed if it can't read one of them.
func (d *Gateway) States(ctx context.Context) ([]track.RankState, error) {
	states := make([]track.RankState, len(d.members))
	for i, m := range d.members {
		state, err := m.engine.State(ctx, false)
		if err != nil {
			return nil, track.Fail("read rank state", EngineFailed, err)
		}
		states[i] = state
	}
	return states, nil
}

// State returns the state of a rank with the layers of its maps. The rank must be one of
// the agent's. It returns an error of kind EngineFailed if it can't read the state.
func (d *Gateway) State(ctx context.Context, rank int) (track.RankState, error) {
	state, err := d.members[rank].engine.State(ctx, true)
	if err != nil {
		return state, track.Fail("read rank state", EngineFailed, err)
	}
	return state, nil
}
