package swap

import (
	"context"
	"errors"
	"sync"

	"filberttrack.example/track"
)

// Member guards the rank behind an agent. It is safe for concurrent use.
type Member struct {
	id          track.RankID
	incarnation track.Incarnation
	engine      track.RankEngine

	mu sync.Mutex
	// ready is unset while a late order may be on its way to the engine.
	ready    bool
	promised track.Ballot
	// closed is the ballot under which the rank was disarmed last.
	closed  track.Ballot
	armings uint64
}

var _ track.MapMember = (*Member)(nil)

// NewMember returns the member of an agent that has just started.
func NewMember(id track.RankID, incarnation track.Incarnation, engine track.RankEngine) *Member {
	return &Member{id: id, incarnation: incarnation, engine: engine}
}

// Order implements track.MapMember. Orders run one after the other.
func (m *Member) Order(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.start(ctx); err != nil {
		return track.MapReply{}, err
	}
	reply := track.MapReply{Kind: o.Kind, Ballot: o.Ballot, From: m.id, Incarnation: m.incarnation}
	reply.Refusal = m.admit(o)
	if reply.Refusal == "" {
		if err := m.obey(ctx, o); err != nil {
			reply.Refusal, reply.Fault = track.RefusedRank, err.Error()
			m.ready = false
		}
	}
	reply.Promised = m.promised
	state, err := m.engine.State(ctx, o.Maps)
	if err != nil {
		return track.MapReply{}, track.Fail("read rank state", Engine, err)
	}
	reply.State = state
	return reply, nil
}

// start takes over a rank that is armed or blank from an earlier incarnation, or
// after an order to the engine whose end is not known: once the rank is claimed
// under a new ID, late orders to the engine find nothing to act on.
func (m *Member) start(ctx context.Context) error {
	if m.ready {
		return nil
	}
	state, err := m.engine.State(ctx, false)
	if err != nil {
		return track.Fail("read rank state", Engine, err)
	}
	if state.Blank || state.Armed != nil && !state.Decided {
		if err := m.engine.Claim(ctx, state.Fence, m.nextArming()); err != nil {
			return track.Fail("claim rank", Engine, err)
		}
	}
	m.ready = true
	return nil
}

func (m *Member) nextArming() uint64 {
	m.armings++
	return uint64(m.incarnation)<<32 | m.armings
}

// admit says why an order must be refused, if so.
func (m *Member) admit(o track.MapOrder) track.MapRefusal {
	if o.Kind == track.OrderPromise {
		if o.Ballot.Compare(m.promised) < 0 {
			return track.RefusedBallot
		}
		m.promised = o.Ballot
		return ""
	}
	switch {
	case o.Incarnation != m.incarnation:
		return track.RefusedIncarnation
	case o.Ballot != m.promised:
		return track.RefusedBallot
	case o.Kind == track.OrderArm && m.closed == o.Ballot:
		return track.RefusedClosed
	}
	return ""
}

var (
	errOtherSwitch = errors.New("rank is not armed for this switch")
	errIncomplete  = errors.New("order lacks a map or a state")
)

// obey carries out an admitted order. Orders that were carried out before do
// nothing.
func (m *Member) obey(ctx context.Context, o track.MapOrder) error {
	fence := o.Ballot.Number
	switch o.Kind {
	case track.OrderPrepare:
		if o.Begun {
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
		m.closed = o.Ballot
		return m.disarm(ctx, fence, o.Switch)
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
	return m.engine.Arm(ctx, fence, s, m.nextArming())
}

func (m *Member) commit(ctx context.Context, fence uint64, s track.MapSwitch) error {
	state, err := m.engine.State(ctx, false)
	switch {
	case err != nil:
		return err
	case state.Map.Version == s.Version && !state.Blank:
		return nil
	case state.Armed == nil || *state.Armed != s:
		return errOtherSwitch
	case state.Decided:
		return nil
	}
	return m.engine.Commit(ctx, fence, state.Arming)
}

func (m *Member) disarm(ctx context.Context, fence uint64, s track.MapSwitch) error {
	state, err := m.engine.State(ctx, false)
	switch {
	case err != nil:
		return err
	case state.Armed == nil || state.Armed.Step != s.Step:
		// A rank that only holds before the step names no version.
		return nil
	}
	return m.engine.Disarm(ctx, fence, state.Arming)
}

func (m *Member) restore(ctx context.Context, fence uint64, s track.RankState) error {
	s.Arming = m.nextArming()
	if err := m.engine.Claim(ctx, fence, s.Arming); err != nil {
		return err
	}
	return m.engine.Restore(ctx, fence, s)
}
