package swap_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/ranks"
	"filberttrack.example/track/swap"
)

// simulation is a group of ranks with an agent each, and the messages between them.
// Events happen one at a time, in a random order that the seed determines.
type simulation struct {
	rng *rand.Rand
	// faultRate is the share of the random faults that happen, in quarters from 0 to 4.
	faultRate int
	group     *ranks.Group
	ids       []track.RankID
	agents    map[track.RankID]*agent
	attempts  []*attempt
	orders    []track.MapOrder
	replies   []track.MapReply
	// lateCalls are calls from crashed agents that have not reached the engine yet.
	lateCalls []func()
	// faultFree is set once the faults have ended.
	faultFree bool
	// highestBallot is the highest ballot number known to the agents.
	highestBallot uint64
	// usedBallots holds the ballots used so far.
	usedBallots map[track.Ballot]bool
	// outcomes counts the attempts by outcome.
	outcomes map[swap.Outcome]int
	// afterOrder, if set, is called after each order that a member answered.
	afterOrder func(o track.MapOrder, r track.MapReply)
}

// agent is the process beside a rank. It is crashed from the fault until the simulation
// has taken it down.
type agent struct {
	member      *swap.Member
	rank        *ranks.Rank
	incarnation track.Incarnation
	down        bool
	crashed     bool
}

// attempt is a coordinator and the agent whose process it runs in.
type attempt struct {
	*swap.Coordinator
	owner       track.RankID
	incarnation track.Incarnation
	ballot      track.Ballot
}

var baseMap = track.ExpertMap{Experts: 1, Slots: 1, Layers: [][]int32{{0, 0, 0}}}

func newSimulation(seed uint64, size int) *simulation {
	rng := rand.New(rand.NewPCG(seed, 6))
	s := &simulation{
		rng:         rng,
		faultRate:   rng.IntN(5),
		agents:      map[track.RankID]*agent{},
		outcomes:    map[swap.Outcome]int{},
		usedBallots: map[track.Ballot]bool{},
		group: ranks.New(ranks.Settings{
			Ranks: size, Map: baseMap, ChecksFences: rng.IntN(2) == 0, FetchSteps: rng.IntN(3),
		}),
	}
	for i := range size {
		id := track.RankID{Agent: track.InstanceID(fmt.Sprintf("agent-%d", i))}
		s.ids = append(s.ids, id)
		s.agents[id] = &agent{rank: s.group.Rank(i)}
		s.startAgent(id)
	}
	return s
}

func (s *simulation) startAgent(id track.RankID) {
	a := s.agents[id]
	a.incarnation++
	a.down, a.crashed = false, false
	a.member = swap.NewMember(id, a.incarnation, &crashingEngine{Rank: a.rank, simulation: s, agent: a})
}

// crashingEngine is an agent's connection to its engine. The agent may crash after it has
// sent a call and before the engine carries it out.
type crashingEngine struct {
	*ranks.Rank
	simulation *simulation
	agent      *agent
}

var errAgentCrashed = errors.New("agent crashed")

func (e *crashingEngine) send(call func() error) error {
	if e.simulation.faultFree || e.simulation.rng.IntN(40) > 0 {
		return call()
	}
	e.agent.crashed = true
	e.simulation.lateCalls = append(e.simulation.lateCalls, func() { _ = call() })
	return errAgentCrashed
}

func (e *crashingEngine) Prepare(ctx context.Context, fence uint64, m track.ExpertMap) error {
	return e.send(func() error { return e.Rank.Prepare(ctx, fence, m) })
}

func (e *crashingEngine) Arm(ctx context.Context, fence uint64, sw track.MapSwitch, arming uint64) error {
	return e.send(func() error { return e.Rank.Arm(ctx, fence, sw, arming) })
}

func (e *crashingEngine) ReplaceArmID(ctx context.Context, fence, arming uint64) error {
	return e.send(func() error { return e.Rank.ReplaceArmID(ctx, fence, arming) })
}

func (e *crashingEngine) Commit(ctx context.Context, fence, arming uint64) error {
	return e.send(func() error { return e.Rank.Commit(ctx, fence, arming) })
}

func (e *crashingEngine) Disarm(ctx context.Context, fence, arming uint64) error {
	return e.send(func() error { return e.Rank.Disarm(ctx, fence, arming) })
}

func (e *crashingEngine) Restore(ctx context.Context, fence uint64, s track.RankState) error {
	return e.send(func() error { return e.Rank.Restore(ctx, fence, s) })
}

func (s *simulation) randomRank() track.RankID {
	return s.ids[s.rng.IntN(len(s.ids))]
}

// startAttempt starts an attempt on an agent, to change the map or only to settle.
func (s *simulation) startAttempt(owner track.RankID, change bool) {
	a := s.agents[owner]
	if a.down {
		return
	}
	s.highestBallot++
	ballot := track.Ballot{Number: s.highestBallot, Driver: owner.Agent, Incarnation: a.incarnation}
	if !s.faultFree && s.rng.IntN(4) == 0 {
		ballot.Number -= min(ballot.Number-1, s.rng.Uint64N(4))
	}
	// A process never uses a ballot twice.
	if s.usedBallots[ballot] {
		return
	}
	s.usedBallots[ballot] = true
	plan := swap.Plan{Default: baseMap, NextStep: s.highestBallot%2 == 0}
	if change {
		state, _ := a.rank.State(context.Background(), true)
		plan.Change = &track.MapChange{Base: state.Map.Version}
	}
	d, orders := swap.NewCoordinator(ballot, s.ids, plan)
	s.attempts = append(s.attempts, &attempt{Coordinator: d, owner: owner, incarnation: a.incarnation, ballot: ballot})
	s.orders = append(s.orders, orders...)
}

// takeRandom returns a random element, and false if there is none or the message is lost.
// The element is removed, unless it stays to be delivered again as a duplicate.
func takeRandom[T any](s *simulation, items *[]T) (T, bool) {
	var zero T
	if len(*items) == 0 {
		return zero, false
	}
	i := s.rng.IntN(len(*items))
	item := (*items)[i]
	if s.faultFree || s.rng.IntN(8) > 0 {
		*items = append((*items)[:i], (*items)[i+1:]...)
	}
	return item, s.faultFree || s.rng.IntN(60) > 0
}

func (s *simulation) deliverOrder() {
	o, ok := takeRandom(s, &s.orders)
	if !ok || s.agents[o.To].down {
		return
	}
	a := s.agents[o.To]
	r, err := a.member.Order(context.Background(), o)
	if a.crashed {
		s.killAgent(o.To)
		return
	}
	if err != nil {
		return
	}
	if s.afterOrder != nil {
		s.afterOrder(o, r)
	}
	s.replies = append(s.replies, r)
}

func (s *simulation) deliverReply() {
	r, ok := takeRandom(s, &s.replies)
	if !ok {
		return
	}
	for _, a := range s.attempts {
		if a.ballot == r.Ballot {
			s.orders = append(s.orders, a.Handle(r)...)
			s.removeIfEnded(a)
			return
		}
	}
}

// removeIfEnded removes an attempt that has ended, and counts its outcome.
func (s *simulation) removeIfEnded(a *attempt) {
	result, done := a.Result()
	if !done {
		return
	}
	s.outcomes[result.Outcome]++
	s.highestBallot = max(s.highestBallot, result.HighestBallot)
	s.removeAttempts(func(other *attempt) bool { return other == a })
}

func (s *simulation) removeAttempts(drop func(*attempt) bool) {
	var kept []*attempt
	for _, a := range s.attempts {
		if !drop(a) {
			kept = append(kept, a)
		}
	}
	s.attempts = kept
}

// killAgent ends an agent's process and the attempts that run in it.
func (s *simulation) killAgent(id track.RankID) {
	s.agents[id].down = true
	s.removeAttempts(func(a *attempt) bool { return a.owner == id })
}

// randomEvent makes one random event happen.
func (s *simulation) randomEvent() {
	id := s.randomRank()
	n := s.rng.IntN(200)
	if n >= 187 && s.rng.IntN(4) >= s.faultRate {
		return
	}
	switch {
	case n < 80:
		s.deliverOrder()
	case n < 145:
		s.deliverReply()
	case n < 178:
		s.agents[id].rank.EnterStep()
	case n < 181:
		s.startAttempt(id, s.rng.IntN(4) > 0)
	case n < 187:
		s.resendOrGiveUp()
	case n < 188:
		s.killAgent(id)
	case n < 193:
		if s.agents[id].down {
			s.startAgent(id)
		}
	case n < 194:
		s.agents[id].rank.Restart()
	case n < 197:
		s.agents[id].rank.SetPaused(s.rng.IntN(3) == 0)
	default:
		if call, ok := takeRandom(s, &s.lateCalls); ok {
			call()
		}
	}
}

// resendOrGiveUp makes a random attempt send its unanswered orders again or give up.
func (s *simulation) resendOrGiveUp() {
	if len(s.attempts) == 0 {
		return
	}
	a := s.attempts[s.rng.IntN(len(s.attempts))]
	if s.rng.IntN(5) > 0 {
		s.orders = append(s.orders, a.UnansweredOrders()...)
		return
	}
	s.orders = append(s.orders, a.HandlePhaseTimeout()...)
	s.removeIfEnded(a)
}

// stopFaults ends all faults. Messages and calls in flight still arrive.
func (s *simulation) stopFaults() {
	s.faultFree = true
	for _, id := range s.ids {
		s.agents[id].rank.SetPaused(false)
		if s.agents[id].down {
			s.startAgent(id)
		}
	}
}

// runAttempt starts an attempt and runs all open ones until everything is delivered.
func (s *simulation) runAttempt(change bool) {
	s.startAttempt(s.randomRank(), change)
	for i := range 400 {
		if len(s.orders)+len(s.replies)+len(s.lateCalls)+len(s.attempts) == 0 {
			return
		}
		if call, ok := takeRandom(s, &s.lateCalls); ok {
			call()
		}
		s.deliverOrder()
		s.deliverReply()
		if s.rng.IntN(8) == 0 {
			s.group.Step()
		}
		if i%20 == 19 {
			s.resend()
		}
	}
}

// resend makes the newest attempt send its unanswered orders again, and an older one
// give up.
func (s *simulation) resend() {
	for i, a := range s.attempts {
		if i < len(s.attempts)-1 {
			s.orders = append(s.orders, a.HandlePhaseTimeout()...)
			s.removeIfEnded(a)
			return
		}
		s.orders = append(s.orders, a.UnansweredOrders()...)
	}
}
