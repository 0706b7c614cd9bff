// Package steer keeps the experts of a rank group evenly spread. It runs beside
// each agent of the group: one of them plans and drives changes of the map, the
// others take over when it falls silent.
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
	// Window is the time over which tokens are counted, and between two plans.
	Window = 5 * time.Second
	// watchInterval is the time between two looks at the agent's own ranks.
	watchInterval = time.Second
	// silence is the time without orders after which the next agent takes over.
	silence = 3 * Window
)

// Store describes the weight store and the ranks' room for staged weights.
type Store struct {
	// ExpertBytes is the size of one expert of one layer.
	ExpertBytes int64
	// BytesPerSecond is the weight store's rate for the whole group.
	BytesPerSecond int64
	// StagedCopies is the number of expert copies that a rank has room to stage.
	StagedCopies int
}

// Options holds what a Steer is made of.
type Options struct {
	Self        track.InstanceID
	Incarnation track.Incarnation
	Door        *swap.Door
	// Group returns the agents of the group, this one included, with the number
	// of ranks behind each.
	Group func() []track.Instance
	// Dial opens the port to another agent of the group.
	Dial func(track.Instance) (track.MapDoor, error)
	// Policy returns the weights of the profile in force.
	Policy func() track.ExpertPolicy
	Store  Store
	// Default is the map for a group whose ranks are all blank.
	Default track.ExpertMap
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Steer is the duty of one agent. Its methods are safe for concurrent use.
type Steer struct {
	options Options
	runner  swap.Runner
	planner *expert.Planner
	policy  track.ExpertPolicy
	// highest is the highest ballot number met.
	highest uint64
	counted uint64
	// due is the time of the next plan, heldSince since when a rank needs a
	// driver.
	due       time.Time
	heldSince time.Time

	mu     sync.Mutex
	paused bool
	report track.ExpertReport
}

// New returns the duty of an agent.
func New(options Options) *Steer {
	s := &Steer{options: options, due: options.Clock.Now()}
	s.runner = swap.Runner{Clock: options.Clock, Timing: swap.DefaultTiming(), Send: s.send}
	s.register(options.Metrics)
	return s
}

// Run plans and drives until the context ends.
func (s *Steer) Run(ctx context.Context) error {
	return duty.Every(ctx, s.options.Clock, watchInterval, func() {
		s.Tick(ctx)
	})
}

// Tick does what is due: settle what holds the group, or plan.
func (s *Steer) Tick(ctx context.Context) {
	now := s.options.Clock.Now()
	states, err := s.options.Door.States(ctx)
	if err != nil || len(states) == 0 {
		s.options.Logger.Warn("rank state unknown", zap.Error(err))
		return
	}
	turn := s.turn()
	held := s.held(states, now, turn)
	mine := !now.Before(s.due) && now.Sub(s.options.Door.Heard()) >= time.Duration(turn)*silence
	if !held && !mine {
		s.yield(turn)
		return
	}
	// A blank rank has no map to plan from.
	rank := max(0, slices.IndexFunc(states, func(r track.RankState) bool { return !r.Blank }))
	state, err := s.options.Door.State(ctx, rank)
	if err != nil {
		s.options.Logger.Warn("rank state unknown", zap.Error(err))
		return
	}
	var change *track.MapChange
	if !held {
		s.due = now.Add(Window)
		change = s.plan(ctx, state)
	}
	s.attempt(ctx, change, state)
}

// turn returns this agent's place in the order in which agents drive.
func (s *Steer) turn() int {
	turn := 0
	for _, agent := range s.options.Group() {
		if agent.ID < s.options.Self {
			turn++
		}
	}
	return turn
}

// held reports whether a rank has been waiting for a driver for long enough
// that this agent becomes one. Later agents wait longer.
func (s *Steer) held(states []track.RankState, now time.Time, turn int) bool {
	waits := func(r track.RankState) bool { return r.Blank || r.Armed != nil && !r.Decided }
	if !slices.ContainsFunc(states, waits) {
		s.heldSince = time.Time{}
		return false
	}
	if s.heldSince.IsZero() {
		s.heldSince = now
	}
	return now.Sub(s.heldSince) >= time.Duration(1+turn)*watchInterval
}

// plan returns the change to carry out, or nil.
func (s *Steer) plan(ctx context.Context, state track.RankState) *track.MapChange {
	now, err := expert.FromMap(state.Map)
	if err != nil {
		return nil
	}
	if err := s.observe(ctx, now.Shape); err != nil {
		s.options.Logger.Warn("expert counts missing", zap.Error(err))
	}
	if s.planner == nil {
		return nil
	}
	began := s.options.Clock.Now()
	plan, err := s.planner.Plan(now, s.budget())
	if err != nil {
		s.options.Logger.Error("no plan", zap.Error(err))
		return nil
	}
	paused := s.note(now, state.Map.Version, plan, s.planner.Loads())
	s.options.Logger.Info("expert placement",
		zap.String("Reason", string(plan.Reason)),
		zap.Float64("Skew", plan.Skew),
		zap.Float64("Expected", plan.Expected),
		zap.Int("Moves", len(plan.Moves)),
		zap.Int("Deferred", plan.Deferred),
		zap.Int64("Bytes", s.bytes(plan)),
		zap.Bool("Paused", paused),
		zap.Duration("Took", s.options.Clock.Since(began)))
	if paused || len(plan.Moves) == 0 {
		return nil
	}
	change := track.MapChange{Base: state.Map.Version}
	for _, m := range plan.Moves {
		change.Slots = append(change.Slots, track.SlotChange{
			Layer: int32(m.Layer), Slot: int32(m.Rank*now.Slots + m.Slot), Expert: int32(m.To),
		})
	}
	return &change
}

func (s *Steer) bytes(plan expert.Plan) int64 {
	return int64(len(plan.Moves)) * s.options.Store.ExpertBytes
}

// budget bounds a plan by what the weight store gives in a window.
func (s *Steer) budget() expert.Budget {
	moves := float64(s.options.Store.BytesPerSecond) * Window.Seconds() / float64(s.options.Store.ExpertBytes)
	return expert.Budget{Moves: int(moves), MovesPerRank: s.options.Store.StagedCopies}
}

// observe adds up the counts of all agents. Counts of some agents are enough.
func (s *Steer) observe(ctx context.Context, shape expert.Shape) error {
	if err := s.renew(shape); err != nil {
		return err
	}
	sum := expert.NewLoads(shape)
	newest := uint64(0)
	var failed error
	for _, agent := range s.options.Group() {
		counts, err := s.counts(ctx, agent)
		if err != nil {
			failed = err
			continue
		}
		if counts.Window > s.counted && add(sum, counts.Tokens) {
			newest = max(newest, counts.Window)
		}
	}
	if newest == 0 {
		return failed
	}
	s.counted = newest
	return s.planner.Observe(sum)
}

// renew makes a planner for the shape and the weights in force.
func (s *Steer) renew(shape expert.Shape) error {
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

func (s *Steer) counts(ctx context.Context, agent track.Instance) (track.ExpertCounts, error) {
	door, err := s.door(agent)
	if err != nil {
		return track.ExpertCounts{}, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.runner.Timing.Patience)
	defer cancel()
	return door.Counts(ctx)
}

// add adds counts of the same shape.
func add(sum expert.Loads, counts [][]float64) bool {
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

// attempt runs one driver: it settles what is half done and, given a change,
// carries it out.
func (s *Steer) attempt(ctx context.Context, change *track.MapChange, state track.RankState) {
	ranks, err := s.ranks(state)
	if err != nil {
		s.options.Logger.Warn("group incomplete", zap.Error(err))
		return
	}
	s.highest = max(s.highest, s.options.Door.Highest()) + 1
	ballot := track.Ballot{Number: s.highest, Driver: s.options.Self, Incarnation: s.options.Incarnation}
	plan := swap.Plan{Change: change, Default: s.options.Default}
	driver, orders := swap.NewDriver(ballot, ranks, plan)
	result, err := s.runner.Run(ctx, driver, orders)
	if err != nil {
		return
	}
	s.highest = max(s.highest, result.Highest)
	s.settled(result, change != nil)
	if result.Outcome == swap.Idle && result.Reason == "" {
		return
	}
	s.options.Logger.Info("expert map change",
		zap.String("Outcome", string(result.Outcome)),
		zap.String("Reason", result.Reason),
		zap.Uint64("Ballot", ballot.Number),
		zap.Uint64("Step", result.Switch.Step))
}

// ranks lists the ranks of the group. All of them have to be known: a driver
// that left one out could switch the others without it.
func (s *Steer) ranks(state track.RankState) ([]track.RankID, error) {
	var ranks []track.RankID
	for _, agent := range s.options.Group() {
		for i := range agent.Ranks {
			ranks = append(ranks, track.RankID{Agent: agent.ID, Rank: i})
		}
	}
	m := state.Map
	if state.Blank {
		m = s.options.Default
	}
	if len(m.Layers) == 0 || m.Slots < 1 || len(m.Layers[0])/m.Slots != len(ranks) {
		return nil, fmt.Errorf("%d ranks known, the map has %d layers and %d slots a rank", len(ranks), len(m.Layers), m.Slots)
	}
	return ranks, nil
}

// send carries an order to the agent of its rank.
func (s *Steer) send(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	group := s.options.Group()
	i := slices.IndexFunc(group, func(agent track.Instance) bool { return agent.ID == o.To.Agent })
	if i < 0 {
		return track.MapReply{}, track.Fail("order rank", track.Unavailable, fmt.Errorf("%s has left the group", o.To.Agent))
	}
	door, err := s.door(group[i])
	if err != nil {
		return track.MapReply{}, err
	}
	return door.Order(ctx, o)
}

func (s *Steer) door(agent track.Instance) (track.MapDoor, error) {
	if agent.ID == s.options.Self {
		return s.options.Door, nil
	}
	return s.options.Dial(agent)
}
