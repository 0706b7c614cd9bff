// Package steer keeps the load of a mixture-of-experts model even across the ranks of
// a rank group, by changing which rank holds which experts. It runs in each agent of
// the group: one of them plans and carries out changes of the expert map, the others
// take over when it falls silent.
package steer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/expert"
	"filberttrack.example/track/swap"
)

const (
	// CountWindow is the time over which the tokens of each expert are counted. It is
	// also the time between two plans.
	CountWindow = 5 * time.Second
	// pollInterval is the time between two reads of the states of the agent's own ranks.
	pollInterval = time.Second
	// takeoverTimeout is the time without orders after which the next agent takes over.
	takeoverTimeout = 3 * CountWindow
)

// WeightStore describes the weight store, from which ranks fetch experts, and the space that
// ranks have for staged weights.
type WeightStore struct {
	// ExpertBytes is the size of one expert of one layer, in bytes.
	ExpertBytes int64
	// BytesPerSecond is the rate at which the whole group can fetch from the store.
	BytesPerSecond int64
	// StagedCopies is the number of expert copies that a rank can stage at once.
	StagedCopies int
}

// Options holds the dependencies and settings of a Controller.
type Options struct {
	// Self and Incarnation are those of this agent.
	Self        track.InstanceID
	Incarnation track.Incarnation
	// Gateway gives access to the agent's own ranks.
	Gateway *swap.Gateway
	// GroupAgents returns the agents of the group, including this one, with the number of
	// ranks of each.
	GroupAgents func() []track.Instance
	// Dial gives access to the ranks of another agent of the group.
	Dial func(track.Instance) (track.RankGateway, error)
	// Policy returns the weights of skew and moves in the current profile.
	Policy func() track.ExpertPolicy
	Store  WeightStore
	// DefaultMap is the map for a group whose ranks are all blank.
	DefaultMap track.ExpertMap
	Clock      clockwork.Clock
	Logger     *zap.Logger
	Metrics    *metrics.Set
}

// Controller plans and carries out changes of the expert map of a group, for an agent that
// may serve several ranks. Report and SetPaused are safe for concurrent use. Tick is
// not; Run calls it.
type Controller struct {
	options Options
	runner  swap.Runner
	planner *expert.Planner
	policy  track.ExpertPolicy
	// highestBallot is the highest ballot number seen so far.
	highestBallot uint64
	// lastWindow is the latest window whose counts the planner has.
	lastWindow uint64
	// nextPlan is the time of the next plan.
	nextPlan time.Time
	// waitingSince is the time since which one of the agent's ranks has been waiting for
	// a coordinator; zero if none is.
	waitingSince time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	paused bool
	report track.ExpertReport
}

// New returns a Controller and registers its metrics. Run starts it.
func New(options Options) *Controller {
	s := &Controller{options: options, nextPlan: options.Clock.Now()}
	s.runner = swap.Runner{Clock: options.Clock, Timing: swap.DefaultTiming(), Send: s.sendOrder}
	s.registerMetrics(options.Metrics)
	return s
}

// Run calls Tick regularly until the context ends, and returns the cause of that.
func (s *Controller) Run(ctx context.Context) error {
	return duty.Every(ctx, s.options.Clock, pollInterval, func() {
		s.Tick(ctx)
	})
}

// Tick settles an unfinished change that keeps the group waiting, or plans and carries
// out a change if it is time for a plan and this agent's turn.
func (s *Controller) Tick(ctx context.Context) {
	now := s.options.Clock.Now()
	states, err := s.options.Gateway.States(ctx)
	if err != nil || len(states) == 0 {
		s.options.Logger.Warn("cannot read rank state", zap.Error(err))
		return
	}
	position := s.position()
	settle := s.shouldSettle(states, now, position)
	planDue := !now.Before(s.nextPlan) &&
		now.Sub(s.options.Gateway.LastOrderTime()) >= time.Duration(position)*takeoverTimeout
	if !settle && !planDue {
		s.recordOtherPlanner(position)
		return
	}
	// A plan starts from the map of a rank that isn't blank; a blank rank has no map.
	rank := max(0, slices.IndexFunc(states, func(r track.RankState) bool { return !r.NoMap }))
	state, err := s.options.Gateway.State(ctx, rank)
	if err != nil {
		s.options.Logger.Warn("cannot read rank state", zap.Error(err))
		return
	}
	var change *track.MapChange
	if !settle {
		s.nextPlan = now.Add(CountWindow)
		change = s.planChange(ctx, state)
	}
	s.runCoordinator(ctx, change, state)
}

// position returns this agent's position, from 0, in the order in which agents take
// over.
func (s *Controller) position() int {
	position := 0
	for _, agent := range s.options.GroupAgents() {
		if agent.ID < s.options.Self {
			position++
		}
	}
	return position
}

// shouldSettle reports whether a rank has been waiting for a coordinator for so long
// that this agent becomes one. Agents later in the order wait longer.
func (s *Controller) shouldSettle(states []track.RankState, now time.Time, position int) bool {
	waits := func(r track.RankState) bool { return r.NoMap || r.Armed != nil && !r.Committed }
	if !slices.ContainsFunc(states, waits) {
		s.waitingSince = time.Time{}
		return false
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	return now.Sub(s.waitingSince) >= time.Duration(1+position)*pollInterval
}

// planChange returns the change to carry out, or nil.
func (s *Controller) planChange(ctx context.Context, state track.RankState) *track.MapChange {
	current, err := expert.FromMap(state.Map)
	if err != nil {
		return nil
	}
	if err := s.observeCounts(ctx, current.Shape); err != nil {
		s.options.Logger.Warn("cannot update expert counts", zap.Error(err))
	}
	if s.planner == nil {
		return nil
	}
	start := s.options.Clock.Now()
	plan, err := s.planner.Plan(current, s.budget())
	if err != nil {
		s.options.Logger.Error("cannot plan expert placement", zap.Error(err))
		return nil
	}
	paused := s.recordPlan(current, state.Map.Version, plan, s.planner.Loads())
	s.options.Logger.Info("expert placement",
		zap.String("Reason", string(plan.Reason)),
		zap.Float64("Skew", plan.Skew),
		zap.Float64("Expected", plan.ExpectedSkew),
		zap.Int("Moves", len(plan.Moves)),
		zap.Int("Deferred", plan.Deferred),
		zap.Int64("Bytes", s.fetchBytes(plan)),
		zap.Bool("Paused", paused),
		zap.Duration("Took", s.options.Clock.Since(start)))
	if paused || len(plan.Moves) == 0 {
		return nil
	}
	change := track.MapChange{Base: state.Map.Version}
	for _, move := range plan.Moves {
		change.Slots = append(change.Slots, track.SlotChange{
			Layer: int32(move.Layer), Slot: int32(move.Rank*current.Slots + move.Slot), Expert: int32(move.To),
		})
	}
	return &change
}

// fetchBytes returns the size of the weights that a plan fetches.
func (s *Controller) fetchBytes(plan expert.Plan) int64 {
	return int64(len(plan.Moves)) * s.options.Store.ExpertBytes
}

// budget limits a plan to the copies that the weight store delivers in one window and
// that a rank can stage.
func (s *Controller) budget() expert.Budget {
	moves := float64(s.options.Store.BytesPerSecond) * CountWindow.Seconds() / float64(s.options.Store.ExpertBytes)
	return expert.Budget{Moves: int(moves), MovesPerRank: s.options.Store.StagedCopies}
}

// observeCounts adds up the counts of all agents and passes them to the planner. New
// counts of some agents are enough: a failure to read the others is then no error.
func (s *Controller) observeCounts(ctx context.Context, shape expert.Shape) error {
	if err := s.updatePlanner(shape); err != nil {
		return err
	}
	sum := expert.NewLoads(shape)
	newest := uint64(0)
	var lastErr error
	for _, agent := range s.options.GroupAgents() {
		counts, err := s.readCounts(ctx, agent)
		if err != nil {
			lastErr = err
			continue
		}
		if counts.Window > s.lastWindow && addCounts(sum, counts.Tokens) {
			newest = max(newest, counts.Window)
		}
	}
	if newest == 0 {
		return lastErr
	}
	s.lastWindow = newest
	return s.planner.Observe(sum)
}

// updatePlanner makes a new planner if the shape or the weights of the policy changed.
func (s *Controller) updatePlanner(shape expert.Shape) error {
	policy := s.options.Policy()
	if s.planner != nil && s.planner.Shape() == shape && s.policy == policy {
		return nil
	}
	planner, err := expert.New(shape, policy)
	if err != nil {
		return err
	}
	s.planner, s.policy = planner, policy
	return nil
}

// readCounts reads the counts of an agent.
func (s *Controller) readCounts(ctx context.Context, agent track.Instance) (track.ExpertCounts, error) {
	ranks, err := s.ranksOf(agent)
	if err != nil {
		return track.ExpertCounts{}, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.runner.Timing.PhaseTimeout)
	defer cancel()
	return ranks.Counts(ctx)
}

// addCounts adds counts to sum. It reports false and adds nothing if their shapes
// differ.
func addCounts(sum expert.Loads, counts [][]float64) bool {
	if len(counts) != len(sum) {
		return false
	}
	for layer := range counts {
		if len(counts[layer]) != len(sum[layer]) {
			return false
		}
	}
	for layer := range counts {
		for e, n := range counts[layer] {
			sum[layer][e] += n
		}
	}
	return true
}

// runCoordinator runs one coordinator under a new ballot. It settles an unfinished change
// and, if change isn't nil, carries it out.
func (s *Controller) runCoordinator(ctx context.Context, change *track.MapChange, state track.RankState) {
	ranks, err := s.rankIDs(state)
	if err != nil {
		s.options.Logger.Warn("group incomplete", zap.Error(err))
		return
	}
	s.highestBallot = max(s.highestBallot, s.options.Gateway.HighestBallot()) + 1
	ballot := track.Ballot{Number: s.highestBallot, Driver: s.options.Self, Incarnation: s.options.Incarnation}
	plan := swap.Plan{Change: change, Default: s.options.DefaultMap}
	coordinator, orders := swap.NewCoordinator(ballot, ranks, plan)
	result, err := s.runner.Run(ctx, coordinator, orders)
	if err != nil {
		return
	}
	s.highestBallot = max(s.highestBallot, result.HighestBallot)
	s.recordResult(result, change != nil)
	if result.Outcome == swap.Idle && result.Reason == "" {
		return
	}
	s.options.Logger.Info("expert map change",
		zap.String("Outcome", string(result.Outcome)),
		zap.String("Reason", result.Reason),
		zap.Uint64("Ballot", ballot.Number),
		zap.Uint64("Step", result.Switch.Step))
}

// rankIDs returns the IDs of all ranks of the group. It returns an error unless all are
// known, because a coordinator that left one out could switch the others without it.
func (s *Controller) rankIDs(state track.RankState) ([]track.RankID, error) {
	var ranks []track.RankID
	for _, agent := range s.options.GroupAgents() {
		for i := range agent.Ranks {
			ranks = append(ranks, track.RankID{Agent: agent.ID, Rank: i})
		}
	}
	m := state.Map
	if state.NoMap {
		m = s.options.DefaultMap
	}
	if len(m.Layers) == 0 || m.Slots < 1 || len(m.Layers[0])/m.Slots != len(ranks) {
		return nil, fmt.Errorf("%d known ranks don't fit the map, which has %d layers and %d slots per rank",
			len(ranks), len(m.Layers), m.Slots)
	}
	return ranks, nil
}

// sendOrder sends an order to the agent of its rank.
func (s *Controller) sendOrder(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	group := s.options.GroupAgents()
	i := slices.IndexFunc(group, func(agent track.Instance) bool { return agent.ID == o.To.Agent })
	if i < 0 {
		return track.MapReply{}, track.Fail("send order to rank", track.Unavailable,
			fmt.Errorf("agent %s is not in the group", o.To.Agent))
	}
	ranks, err := s.ranksOf(group[i])
	if err != nil {
		return track.MapReply{}, err
	}
	return ranks.Order(ctx, o)
}

// ranksOf returns access to the ranks of an agent.
func (s *Controller) ranksOf(agent track.Instance) (track.RankGateway, error) {
	if agent.ID == s.options.Self {
		return s.options.Gateway, nil
	}
	return s.options.Dial(agent)
}
