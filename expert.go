package track

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"
)

// Ballot identifies a proposal to change the expert map of a group, like a ballot in
// Paxos. Ballots are unique and ordered. A member of the group refuses orders with a
// ballot below the one that it has promised.
type Ballot struct {
	Number uint64
	// Driver and Incarnation identify the process that makes the proposal and drives
	// the change.
	Driver      InstanceID
	Incarnation Incarnation
}

// Compare orders ballots by number, then by driver, then by incarnation. It returns
// -1, 0 or 1.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Number, other.Number),
		cmp.Compare(b.Driver, other.Driver),
		cmp.Compare(b.Incarnation, other.Incarnation),
	)
}

// RankID identifies a rank of a group by its agent, the only one that takes orders for
// it, and its number there.
type RankID struct {
	Agent InstanceID
	// Rank is the number of the rank among those behind the agent, from 0.
	Rank int
}

// Compare orders ranks by agent, then by number. It returns -1, 0 or 1.
func (r RankID) Compare(other RankID) int {
	return cmp.Or(cmp.Compare(r.Agent, other.Agent), cmp.Compare(r.Rank, other.Rank))
}

// String returns the form AGENT/RANK, which is used in logs.
func (r RankID) String() string {
	return fmt.Sprintf("%s/%d", r.Agent, r.Rank)
}

// ExpertMap describes which expert each slot of each rank of a group holds.
type ExpertMap struct {
	// Version is the ballot of the proposal that introduced the map.
	Version Ballot
	// Experts is the number of experts in each layer.
	Experts int
	// Slots is the number of expert copies that a rank can hold in each layer.
	Slots int
	// Layers holds the expert in each slot by layer, with the slots ordered by rank.
	// NoExpert marks an empty slot.
	Layers [][]int32
}

// NoExpert marks an empty slot of an ExpertMap.
const NoExpert int32 = -1

// SlotChange replaces the expert in a slot of a layer.
type SlotChange struct {
	Layer int32
	// Slot is the index into the layer of the map.
	Slot int32
	// Expert is the new expert.
	Expert int32
}

// MapChange describes a new map by its difference from the map in use.
type MapChange struct {
	// Version is the version of the new map, Base that of the map in use.
	Version Ballot
	Base    Ballot
	Slots   []SlotChange
	// FullMap is the new map in full, for ranks that know only their own part of the
	// map in use. Slots is empty then. Package wire doesn't transmit this field.
	FullMap *ExpertMap `json:"Whole"`
}

// Apply returns the map after the change and leaves m unchanged. It returns an error
// of kind Refused if m is not the base of the change, and of kind Invalid if m has no
// such slot.
func (m ExpertMap) Apply(c MapChange) (ExpertMap, error) {
	if m.Version != c.Base {
		return m, Fail("change map", Refused,
			fmt.Errorf("map %v is in use, but the change is based on map %v", m.Version, c.Base))
	}
	if c.FullMap != nil {
		next := *c.FullMap
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

// MapSwitch tells a rank to replace the map in use by a prepared map from a step on.
// A step is one forward pass of the engine.
type MapSwitch struct {
	// Version is the version of the prepared map.
	Version Ballot
	// Step is the number of the first step that uses the new map.
	Step uint64
}

// RankState is the state of a rank and its expert maps as its engine reports it.
type RankState struct {
	// StartID identifies a start of the rank; it differs after a restart.
	StartID uint64 `json:"Boot"`
	// NoMap is set while a rank that was started has no map. It can't run steps then.
	NoMap bool `json:"Blank"`
	// Step is the number of the next step that the rank will start.
	Step uint64
	// Map is the map in use.
	Map ExpertMap
	// Prepared is the map whose weights were fetched in addition to those of the map in
	// use; nil if there is none.
	Prepared *ExpertMap
	// Armed is the switch whose step the rank must not start before the switch is
	// committed or disarmed; nil if no switch is armed.
	Armed *MapSwitch
	// ArmID is the ID of the armed switch, or of the claim on a blank rank. Commit,
	// Disarm and Restore must name it.
	ArmID uint64 `json:"Arming"`
	// Committed is set once the armed switch was committed.
	Committed bool `json:"Decided"`
	// FencingToken is the highest fencing number that the engine has seen, if it checks them.
	FencingToken uint64 `json:"Fence"`
}

// WithoutLayers returns the state with maps that lack their layers.
func (s RankState) WithoutLayers() RankState {
	s.Map.Layers = nil
	if s.Prepared != nil {
		prepared := *s.Prepared
		prepared.Layers = nil
		s.Prepared = &prepared
	}
	return s
}

// RankClaimer is implemented by clients of engines that check fencing numbers. Such a rank may be
// controlled by several processes, which don't know of each other's promises.
type RankClaimer interface {
	// Claim makes the rank refuse all orders with a lower fencing number, including those that
	// arrive late, until it restarts. It changes nothing else. A state that is read afterwards shows
	// all orders that were carried out before. An error of kind Refused means that the rank has seen
	// a higher number; after any other error the rank may be claimed.
	Claim(ctx context.Context, fence uint64) error
}

// RankEngine is the interface through which an agent controls a rank behind it.
//
// Each order carries a fencing number. An engine may refuse an order whose number is
// below the highest that it has seen, or ignore the number.
type RankEngine interface {
	// State returns the state of the rank. The layers of its maps are included only if
	// requested.
	State(ctx context.Context, layers bool) (RankState, error)
	// Prepare starts to fetch the weights that the map needs, at the rate of the
	// weight store, while the rank continues with the map in use. It returns once the
	// fetch has begun; State shows when the map is prepared.
	Prepare(ctx context.Context, fence uint64, m ExpertMap) error
	// Arm makes the rank wait before the step of the switch until Commit or Disarm
	// is called with the same arming ID. It is refused if the rank has already started
	// that step, or if the map isn't prepared.
	Arm(ctx context.Context, fence uint64, s MapSwitch, arming uint64) error
	// ReplaceArmID replaces the arm ID of an armed rank, or assigns one to a blank rank,
	// so that late orders with another ID have no effect.
	ReplaceArmID(ctx context.Context, fence, arming uint64) error
	// Commit makes the rank use the new map from the step of the switch on.
	Commit(ctx context.Context, fence, arming uint64) error
	// Disarm cancels the switch: the rank continues with the map in use.
	Disarm(ctx context.Context, fence, arming uint64) error
	// Restore loads the map and the switch of the given state into a blank rank. It is
	// refused unless StartID and ArmID of that state match those of the rank.
	Restore(ctx context.Context, fence uint64, s RankState) error
}

// MapOrderKind is the operation that a MapOrder requests.
type MapOrderKind string

// The kinds of orders in a change of the expert map, in their usual sequence. Those
// without a comment correspond to the method of RankEngine of the same name.
const (
	// OrderPromise requests that the member refuse lower ballots from now on and
	// report the state of its rank.
	OrderPromise MapOrderKind = "Promise"
	OrderPrepare MapOrderKind = "Prepare"
	OrderArm     MapOrderKind = "Arm"
	OrderCommit  MapOrderKind = "Commit"
	OrderDisarm  MapOrderKind = "Disarm"
	OrderRestore MapOrderKind = "Restore"
)

// MapOrder is an order from the coordinator of a map change to a member of the group.
type MapOrder struct {
	Kind   MapOrderKind
	Ballot Ballot
	To     RankID
	// Incarnation is the incarnation of the member when it promised the ballot; a later
	// incarnation refuses the order. It is not set on a Promise.
	Incarnation Incarnation
	// Switch is set on Arm, Commit and Disarm.
	Switch MapSwitch
	// WithLayers is set on a Promise whose reply must include the layers of the maps; other
	// replies omit them.
	WithLayers bool `json:"Maps"`
	// Change is set on Prepare, unless StateOnly is.
	Change *MapChange
	// StateOnly is set on a Prepare that the member has already begun to carry out. The
	// order then only requests the state of the rank.
	StateOnly bool `json:"Begun"`
	// State is set on Restore.
	State *RankState
}

// MapRefusal is the reason why a member refused an order.
type MapRefusal string

// The reasons for a refusal. An accepted order has an empty one.
const (
	// RefusedBallot means that the member has promised another ballot.
	RefusedBallot MapRefusal = "Ballot"
	// RefusedIncarnation means that the member restarted since its promise.
	RefusedIncarnation MapRefusal = "Incarnation"
	// RefusedClosed means that the member has already disarmed under this ballot, so
	// that it can't be armed under it again.
	RefusedClosed MapRefusal = "Closed"
	// RefusedRank means that the engine rejected the order or failed, or that the state
	// of the rank doesn't allow it.
	RefusedRank MapRefusal = "Rank"
)

// MapReply is the reply of a member to an order.
type MapReply struct {
	Kind   MapOrderKind
	Ballot Ballot
	From   RankID
	// Incarnation is the incarnation of the member.
	Incarnation Incarnation
	// Refusal is the reason if the order was refused, else empty.
	Refusal MapRefusal
	// RefusalDetail describes the error behind a refusal, for logs.
	RefusalDetail string `json:"Fault"`
	// Promised is the ballot that the member has promised.
	Promised Ballot
	// State is the state of the rank after the order.
	State RankState
}

// MapMember is the interface to a member of a rank group: the agent that receives the
// orders for a rank.
type MapMember interface {
	// Order carries out an order, or refuses it with a reply that says why. After an
	// error of kind Ambiguous, the order may have been carried out or may still be
	// carried out later.
	Order(ctx context.Context, o MapOrder) (MapReply, error)
}

// ExpertCounts holds the number of tokens that the ranks behind an agent routed to
// each expert in the latest time window. Engines report windows late, and omit some.
type ExpertCounts struct {
	// Window is the number of the window. A window that was seen before is ignored.
	Window uint64
	// Tokens holds the number of tokens by layer and expert.
	Tokens [][]float64
}

// ExpertCounter is the interface through which an agent reads expert counts from its
// engine.
type ExpertCounter interface {
	// Counts returns the counts of the latest window.
	Counts(ctx context.Context) (ExpertCounts, error)
}

// RankGateway is the interface to all ranks behind an agent: it takes orders for any of
// them and returns their expert counts.
type RankGateway interface {
	MapMember
	ExpertCounter
}

// ExpertMove is one move of a plan: a rank replaces its copy of an expert by a copy of
// another.
type ExpertMove struct {
	Layer int
	Rank  int
	// From is the expert that is replaced, To the one that replaces it.
	From int
	To   int
}

// ExpertReport describes the expert placement of an agent's group for operators.
type ExpertReport struct {
	Group string
	// Paused is set while operators have paused changes of the map.
	Paused bool
	// Map is the map in use.
	Map ExpertMap
	// RankLoads holds the load of each rank relative to the mean, averaged over the
	// layers.
	RankLoads []float64
	// Skew is the load of the slowest rank over the mean, averaged over the layers.
	Skew float64
	// LowerBound is the least skew that any placement with the same slots can have.
	LowerBound float64
	// PlannedAt is the time of the latest plan; the fields below describe it.
	PlannedAt time.Time `json:"Planned"`
	// Reason says why the plan has moves, or why it has none.
	Reason string
	Moves  []ExpertMove
	// Deferred is the number of worthwhile moves that exceed the budget of one plan.
	Deferred int
	// ExpectedSkew is the estimated skew after the moves.
	ExpectedSkew float64 `json:"Expected"`
	// Bytes is the size of the weights to fetch, FetchTime the time that the fetch takes.
	Bytes     int64
	FetchTime time.Duration `json:"Fetch"`
	// Outcome and OutcomeReason say how the latest attempt to change the map ended.
	Outcome       string
	OutcomeReason string
}

// RankStatus is the status of one rank of a group: its place in the group, its load, the
// experts that it holds and the experts that its requests chose.
type RankStatus struct {
	Group string
	// Epoch increases each time the group forms anew; maps and counts start over then.
	Epoch int64
	// Rank is the number of this rank, from 0, and Ranks the number of ranks in the
	// group.
	Rank  int
	Ranks int
	// Serving is set while the group processes requests.
	Serving bool `json:"Open"`
	// StartID identifies a start of the rank; it differs after a restart.
	StartID int64 `json:"Born"`
	// Running and Queued are the numbers of requests that run and that wait on the rank.
	Running int
	Queued  int
	// Step is the number of the latest step that the rank started.
	Step uint64
	// Slowdown is the time that the rank needs for the same work, relative to a rank in
	// good health.
	Slowdown float64 `json:"Pace"`
	// Version is the version of the map in use. HeldExperts lists the experts that the
	// rank holds under that map, by layer.
	Version     Ballot
	HeldExperts [][]int32 `json:"Held"`
	// AwaitingDecision is set while the rank waits for a switch to be committed or disarmed.
	AwaitingDecision bool `json:"Unsettled"`
	// Counts holds how often the requests of the rank chose each expert, layer by
	// layer. An engine reports the counts since the rank started, an agent those of
	// recent requests.
	Counts []float64
}

// RankReader is the interface through which an agent reads the status of a rank.
type RankReader interface {
	// Status returns the status of the rank without HeldExperts and Counts.
	Status(ctx context.Context) (RankStatus, error)
	// WithExperts adds HeldExperts and Counts to a status that Status returned. It returns
	// an error if the rank has changed its epoch or map since.
	WithExperts(ctx context.Context, share RankStatus) (RankStatus, error)
}
