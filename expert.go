package track

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// Ballot numbers the proposals to change the expert map of a group. Ballots are
// unique and ordered; a member of the group refuses orders with a ballot below
// the one that it promised.
type Ballot struct {
	Number uint64
	// Driver and Incarnation name the process that makes the proposal.
	Driver      InstanceID
	Incarnation Incarnation
}

// Compare orders ballots by number, then by driver and incarnation.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Number, other.Number),
		cmp.Compare(b.Driver, other.Driver),
		cmp.Compare(b.Incarnation, other.Incarnation),
	)
}

// RankID names a rank of a group by the agent that is its only door.
type RankID struct {
	Agent InstanceID
	// Rank numbers the ranks behind the agent from 0.
	Rank int
}

// Compare orders ranks by agent, then by number.
func (r RankID) Compare(other RankID) int {
	return cmp.Or(cmp.Compare(r.Agent, other.Agent), cmp.Compare(r.Rank, other.Rank))
}

// String returns the name used in logs.
func (r RankID) String() string {
	return fmt.Sprintf("%s/%d", r.Agent, r.Rank)
}

// ExpertMap says which expert each slot of each rank holds.
type ExpertMap struct {
	// Version is the ballot of the proposal that brought the map.
	Version Ballot
	Experts int
	// Slots is the number of expert copies that a rank holds in each layer.
	Slots int
	// Layers holds for each layer the expert in each slot, rank by rank; NoExpert
	// marks an empty slot.
	Layers [][]int32
}

// NoExpert marks an empty slot of a map.
const NoExpert int32 = -1

// SlotChange puts another expert into a slot of a layer.
type SlotChange struct {
	Layer int32
	// Slot is the index into the layer of the map.
	Slot   int32
	Expert int32
}

// MapChange describes a new map by its difference from the map in use.
type MapChange struct {
	// Version is that of the new map, Base that of the map it differs from.
	Version Ballot
	Base    Ballot
	Slots   []SlotChange
	// Whole is the new map in full, for ranks that know only their own part of the
	// map in use. Slots is empty then. Package wire doesn't carry it.
	Whole *ExpertMap
}

// Apply returns the map after the change. It returns an error if the map is not
// the base of the change or lacks a slot.
func (m ExpertMap) Apply(c MapChange) (ExpertMap, error) {
	if m.Version != c.Base {
		return m, Fail("change map", Refused, fmt.Errorf("in use is map %v, the change is to map %v", m.Version, c.Base))
	}
	if c.Whole != nil {
		next := *c.Whole
		next.Version = c.Version
		return next, nil
	}
	next := m
	next.Version = c.Version
	next.Layers = make([][]int32, len(m.Layers))
	for i, layer := range m.Layers {
		next.Layers[i] = slices.Clone(layer)
	}
	for _, s := range c.Slots {
		if s.Layer < 0 || int(s.Layer) >= len(next.Layers) || s.Slot < 0 || int(s.Slot) >= len(next.Layers[s.Layer]) {
			return m, Fail("change map", Invalid, fmt.Errorf("no slot %d in layer %d", s.Slot, s.Layer))
		}
		next.Layers[s.Layer][s.Slot] = s.Expert
	}
	return next, nil
}

// MapSwitch orders that a prepared map replaces the map in use from a step on.
type MapSwitch struct {
	Version Ballot
	// Step is the first step that uses the new map.
	Step uint64
}

// RankState is the state of a rank as its engine reports it.
type RankState struct {
	// Boot identifies the start of the rank; a rank that restarts has another.
	Boot uint64
	// Blank is set while a rank that was started has no map. It can't step.
	Blank bool
	// Step is the next step that the rank will enter.
	Step uint64
	// Map is the map in use.
	Map ExpertMap
	// Prepared is the map whose weights were fetched beside the map in use.
	Prepared *ExpertMap
	// Armed is the switch that the rank must not pass without a decision.
	Armed *MapSwitch
	// Arming is the ID that Commit, Disarm and Restore must name.
	Arming uint64
	// Decided is set once the armed switch was committed.
	Decided bool
	// Fence is the highest fencing number seen by an engine that checks them.
	Fence uint64
}

// WithoutLayers returns the state with maps that are versions only.
func (s RankState) WithoutLayers() RankState {
	s.Map.Layers = nil
	if s.Prepared != nil {
		prepared := *s.Prepared
		prepared.Layers = nil
		s.Prepared = &prepared
	}
	return s
}

// RankEngine is the port by which an agent orders the ranks behind it.
//
// A fencing number accompanies each order; an engine may refuse an order whose
// number is below the highest that it has seen, or ignore the number.
type RankEngine interface {
	// State returns the state of the rank. The layers of its maps are left out
	// unless asked for.
	State(ctx context.Context, layers bool) (RankState, error)
	// Prepare fetches the weights that the map needs, at the weight store's rate,
	// while the rank goes on with the map in use. It returns once the fetch has
	// begun; State tells when the map is prepared.
	Prepare(ctx context.Context, fence uint64, m ExpertMap) error
	// Arm makes the rank hold before the step of the switch until Commit or
	// Disarm names this arming. It is refused once the rank has entered that step
	// and while the map isn't prepared.
	Arm(ctx context.Context, fence uint64, s MapSwitch, arming uint64) error
	// Claim replaces the ID of the arming of an armed rank, or gives a blank rank
	// one, so that orders sent under another ID find nothing to act on.
	Claim(ctx context.Context, fence, arming uint64) error
	// Commit lets the rank use the new map from the step of the switch on.
	Commit(ctx context.Context, fence, arming uint64) error
	// Disarm lets the rank go on with the map in use.
	Disarm(ctx context.Context, fence, arming uint64) error
	// Restore loads a blank rank with the map and the switch of the state given.
	// It is refused unless boot and arming of that state are the rank's own.
	Restore(ctx context.Context, fence uint64, s RankState) error
}

// MapOrderKind says what a MapOrder asks for.
type MapOrderKind string

// The orders of a change of the expert map, in their usual sequence.
const (
	// OrderPromise asks the member to refuse lower ballots from now on and to
	// report the state of its rank.
	OrderPromise MapOrderKind = "Promise"
	OrderPrepare MapOrderKind = "Prepare"
	OrderArm     MapOrderKind = "Arm"
	OrderCommit  MapOrderKind = "Commit"
	OrderDisarm  MapOrderKind = "Disarm"
	OrderRestore MapOrderKind = "Restore"
)

// MapOrder is an order from the driver of a change to a member of the group.
type MapOrder struct {
	Kind   MapOrderKind
	Ballot Ballot
	To     RankID
	// Incarnation is that of the member when it promised; a later one refuses the
	// order. It is not set on a Promise.
	Incarnation Incarnation
	// Switch is set on Arm, Commit and Disarm.
	Switch MapSwitch
	// Maps is set on a Promise whose reply is to hold the layers of the maps;
	// other replies leave them out.
	Maps bool
	// Change is set on Prepare, unless Begun is.
	Change *MapChange
	// Begun is set on a Prepare that the member has begun to carry out: it only asks
	// how far the rank is.
	Begun bool
	// State is set on Restore.
	State *RankState
}

// MapRefusal says why a member declined an order.
type MapRefusal string

// The reasons for a refusal. An accepted order has none.
const (
	// RefusedBallot means that the member promised another ballot.
	RefusedBallot MapRefusal = "Ballot"
	// RefusedIncarnation means that the member restarted since its promise.
	RefusedIncarnation MapRefusal = "Incarnation"
	// RefusedClosed means that the member disarmed under this ballot already.
	RefusedClosed MapRefusal = "Closed"
	// RefusedRank means that the rank's state doesn't allow the order.
	RefusedRank MapRefusal = "Rank"
)

// MapReply is a member's answer to an order.
type MapReply struct {
	Kind   MapOrderKind
	Ballot Ballot
	From   RankID
	// Incarnation is that of the member.
	Incarnation Incarnation
	Refusal     MapRefusal
	// Fault describes a refusal, for logs.
	Fault string
	// Promised is the ballot that the member has promised.
	Promised Ballot
	// State is the state of the rank after the order.
	State RankState
}

// MapMember is the port to a member of a rank group.
type MapMember interface {
	// Order carries out an order or refuses it. After an error of kind Ambiguous
	// the order may have been carried out, or may still be.
	Order(ctx context.Context, o MapOrder) (MapReply, error)
}

// ExpertCounts holds the tokens that the ranks behind an agent routed to each
// expert in the latest window. Engines report them late and with gaps.
type ExpertCounts struct {
	// Window numbers the windows; a window that was seen before is ignored.
	Window uint64
	// Tokens holds the tokens for each layer and expert.
	Tokens [][]float64
}

// ExpertCounter is the port by which an agent reads counts from its engine.
type ExpertCounter interface {
	Counts(ctx context.Context) (ExpertCounts, error)
}

// MapDoor is the port to the ranks behind an agent.
type MapDoor interface {
	MapMember
	ExpertCounter
}

// ExpertMove is one expert copy that a plan moves.
type ExpertMove struct {
	Layer int
	Rank  int
	From  int
	To    int
}

// ExpertReport is what an agent tells operators about its group's placement.
type ExpertReport struct {
	Group  string
	Paused bool
	// Map is the map in use.
	Map ExpertMap
	// RankLoads holds each rank's load relative to the mean.
	RankLoads []float64
	// Skew is the load of the slowest rank over the mean.
	Skew float64
	// LowerBound is the least skew that the slots allow.
	LowerBound float64
	// Planned is the time of the latest plan; the fields below describe it.
	Planned time.Time
	Reason  string
	Moves   []ExpertMove
	// Deferred is the number of moves that exceed the budget of one plan.
	Deferred int
	// Expected is the skew after the moves.
	Expected float64
	// Bytes is the size of the weights to fetch, Fetch the time that takes.
	Bytes int64
	Fetch time.Duration
	// Outcome and OutcomeReason tell how the latest attempt to change the map
	// ended.
	Outcome       string
	OutcomeReason string
}

// RankShare is one rank's part of what a group knows about its experts.
type RankShare struct {
	Group string
	// Epoch rises each time the group forms anew; maps and counts start over then.
	Epoch int64
	// Rank numbers this rank from 0, of Ranks ranks.
	Rank  int
	Ranks int
	// Open is set while the group works.
	Open bool
	// Born tells restarts of the rank apart.
	Born    int64
	Running int
	Queued  int
	Step    uint64
	// Pace is the time that the rank needs for the same work, relative to a rank in
	// good health.
	Pace float64
	// Version is that of the map in use, Held its experts on this rank by layer.
	Version Ballot
	Held    [][]int32
	// Unsettled is set while the rank waits for the decision on a switch.
	Unsettled bool
	// Counts holds how often this rank's requests chose each expert, layer by
	// layer: since it was born as an engine tells it, lately as an agent does.
	Counts []float64
}

// RankReader is the port by which an agent reads its rank's part.
type RankReader interface {
	// Share returns the state of the rank, without Held and Counts.
	Share(ctx context.Context) (RankShare, error)
	// Detail adds Held and Counts to a share that is still true.
	Detail(ctx context.Context, share RankShare) (RankShare, error)
}
