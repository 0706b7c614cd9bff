package swap

import (
	"context"
	"errors"
	"sync"

	"filberttrack.example/track"
)

// Member is an agent's participant in changes of the expert map, one for each rank. All
// orders to the rank pass through it, or through members of other processes if the engine checks
// fencing numbers. It is safe for concurrent use.
type Member struct {
	id          track.RankID
	incarnation track.Incarnation
	engine      track.RankEngine

	mu sync.Mutex
	// takenOver is unset while an earlier call to the engine may still take effect.
	takenOver bool
	// promisedBallot is the highest ballot promised; lower ones are refused.
	promisedBallot track.Ballot
	// disarmedBallot is the latest ballot under which the rank was disarmed.
	disarmedBallot track.Ballot
	// armingCount is the number of arming IDs given out.
	armingCount uint64
}

var _ track.MapMember = (*Member)(nil)

// NewMember returns the Member for a rank of an agent that has just started.
func NewMember(id track.RankID, incarnation track.Incarnation, engine track.RankEngine) *Member {
	return &Member{id: id, incarnation: incarnation, engine: engine}
}

// Order implements track.MapMember. Orders run one after the other. It returns an error
// of kind EngineFailed if it can't read the rank's state or claim the rank. The state in the
// reply to a Promise was read after the rank was claimed.
func (m *Member) Order(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.takeOver(ctx); err != nil {
		return track.MapReply{}, err
	}
	reply := track.MapReply{Kind: o.Kind, Ballot: o.Ballot, From: m.id, Incarnation: m.incarnation}
	reply.Refusal = m.checkOrder(o)
	if reply.Refusal == "" {
		err := m.execute(ctx, o)
		if err != nil && o.Kind == track.OrderPromise && !track.IsKind(err, track.Refused) {
			return track.MapReply{}, track.Fail("claim rank", EngineFailed, err)
		}
		if err != nil {
			reply.Refusal, reply.RefusalDetail = track.RefusedRank, err.Error()
			m.takenOver = false
		}
	}
	reply.Promised = m.promisedBallot
	state, err := m.engine.State(ctx, o.WithLayers)
	if err != nil {
		return track.MapReply{}, track.Fail("read rank state", EngineFailed, err)
	}
	reply.State = state
	return reply, nil
}

// takeOver claims the rank if it is blank, or armed without a decision. This is needed
// after a restart of the agent and after a call to the engine whose result is unknown:
// once the rank is claimed under a new arming ID, calls that the engine receives late
// have no effect.
func (m *Member) takeOver(ctx context.Context) error {
	if m.takenOver {
		return nil
	}
	state, err := m.engine.State(ctx, false)
	if err != nil {
		return track.Fail("read rank state", EngineFailed, err)
	}
	if state.NoMap || state.Armed != nil && !state.Committed {
		if err := m.engine.ReplaceArmID(ctx, state.FencingToken, m.nextArmingID()); err != nil {
			return track.Fail("claim rank", EngineFailed, err)
		}
	}
	m.takenOver = true
	return nil
}

func (m *Member) nextArmingID() uint64 {
	m.armingCount++
	return uint64(m.incarnation)<<32 | m.armingCount
}

// checkOrder records the ballot of a Promise, and returns why the order must be refused;
// empty if it is accepted.
func (m *Member) checkOrder(o track.MapOrder) track.MapRefusal {
	if o.Kind == track.OrderPromise {
		if o.Ballot.Compare(m.promisedBallot) < 0 {
			return track.RefusedBallot
		}
		m.promisedBallot = o.Ballot
		return ""
	}
	switch {
	case o.Incarnation != m.incarnation:
		return track.RefusedIncarnation
	case o.Ballot != m.promisedBallot:
		return track.RefusedBallot
	case o.Kind == track.OrderArm && m.disarmedBallot == o.Ballot:
		return track.RefusedClosed
	}
	return ""
}

var (
	errOtherSwitch = errors.New("rank is not armed for this switch")
	errIncomplete  = errors.New("order has no map change or no rank state")
)

// execute carries out an accepted order. An order that was carried out before has no
// further effect.
func (m *Member) execute(ctx context.Context, o track.MapOrder) error {
	fence := o.Ballot.Number
	switch o.Kind {
	case track.OrderPromise:
		return m.claim(ctx, fence)
	case track.OrderPrepare:
		if o.StateOnly {
			return nil
		}
		return m.prepare(ctx, fence, o.Change)
	case track.OrderArm:
		return m.arm(ctx, fence, o.Switch)
	case track.OrderRestore:
		if o.State == nil {
			return errIncomplete
		}
		return m.restore(ctx, fence, *o.State)
	case track.OrderCommit:
		return m.commit(ctx, fence, o.Switch)
	case track.OrderDisarm:
		m.disarmedBallot = o.Ballot
		return m.disarm(ctx, fence, o.Switch)
	}
	return nil
}

// claim makes the rank itself keep the promise, if its engine can. The promise of a member binds
// neither the members of other processes that control the same rank, nor this agent after a
// restart.
func (m *Member) claim(ctx context.Context, fence uint64) error {
	if rank, ok := m.engine.(track.RankClaimer); ok {
		return rank.Claim(ctx, fence)
	}
	return nil
}

func (m *Member) prepare(ctx context.Context, fence uint64, change *track.MapChange) error {
	if change == nil {
		return errIncomplete
	}
	state, err := m.engine.State(ctx, true)
	if err != nil {
		return err
	}
	next, err := state.Map.Apply(*change)
	if err != nil {
		return err
	}
	return m.engine.Prepare(ctx, fence, next)
}

func (m *Member) arm(ctx context.Context, fence uint64, s track.MapSwitch) error {
	state, err := m.engine.State(ctx, false)
	switch {
	case err != nil:
		return err
	case state.Armed != nil && *state.Armed == s:
		return nil
	}
	return m.engine.Arm(ctx, fence, s, m.nextArmingID())
}

func (m *Member) commit(ctx context.Context, fence uint64, s track.MapSwitch) error {
	state, err := m.engine.State(ctx, false)
	switch {
	case err != nil:
		return err
	case state.Map.Version == s.Version && !state.NoMap:
		return nil
	case state.Armed == nil || *state.Armed != s:
		return errOtherSwitch
	case state.Committed:
		return nil
	}
	return m.engine.Commit(ctx, fence, state.ArmID)
}

func (m *Member) disarm(ctx context.Context, fence uint64, s track.MapSwitch) error {
	state, err := m.engine.State(ctx, false)
	switch {
	case err != nil:
		return err
	case state.Armed == nil || state.Armed.Step != s.Step:
		// Only the steps are compared: a rank that holds before the step without being
		// armed does not report the version of the switch.
		return nil
	}
	return m.engine.Disarm(ctx, fence, state.ArmID)
}

func (m *Member) restore(ctx context.Context, fence uint64, s track.RankState) error {
	s.ArmID = m.nextArmingID()
	if err := m.engine.ReplaceArmID(ctx, fence, s.ArmID); err != nil {
		return err
	}
	return m.engine.Restore(ctx, fence, s)
}
