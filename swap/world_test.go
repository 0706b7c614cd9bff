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

// world is a group of ranks with an agent each, and the messages between them.
// Everything happens one at a time in the order that the seed gives.
type world struct {
	rng *rand.Rand
	// faults is the rate of faults, 0 to 4.
	faults  int
	group   *ranks.Group
	ids     []track.RankID
	agents  map[track.RankID]*agent
	drivers []*driver
	orders  []track.MapOrder
	replies []track.MapReply
	// late are calls that a dead agent had sent to its engine.
	late []func()
	// calm is set while nothing fails.
	calm    bool
	highest uint64
	used    map[track.Ballot]bool
	outcome map[swap.Outcome]int
	// after, if set, is called after each order that a member carried out.
	after func(o track.MapOrder, r track.MapReply)
}

type agent struct {
	member      *swap.Member
	rank        *ranks.Rank
	incarnation track.Incarnation
	down        bool
	crashed     bool
}

type driver struct {
	*swap.Driver
	owner       track.RankID
	incarnation track.Incarnation
	ballot      track.Ballot
}

var baseMap = track.ExpertMap{Experts: 1, Slots: 1, Layers: [][]int32{{0, 0, 0}}}

func newWorld(seed uint64, size int) *world {
	rng := rand.New(rand.NewPCG(seed, 6))
	w := &world{
		rng:     rng,
		faults:  rng.IntN(5),
		agents:  map[track.RankID]*agent{},
		outcome: map[swap.Outcome]int{},
		used:    map[track.Ballot]bool{},
		group: ranks.New(ranks.Settings{
			Ranks: size, Map: baseMap, ChecksFences: rng.IntN(2) == 0, FetchSteps: rng.IntN(3),
		}),
	}
	for i := range size {
		id := track.RankID{Agent: track.InstanceID(fmt.Sprintf("agent-%d", i))}
		w.ids = append(w.ids, id)
		w.agents[id] = &agent{rank: w.group.Rank(i)}
		w.startAgent(id)
	}
	return w
}

func (w *world) startAgent(id track.RankID) {
	a := w.agents[id]
	a.incarnation++
	a.down, a.crashed = false, false
	a.member = swap.NewMember(id, a.incarnation, &door{Rank: a.rank, world: w, agent: a})
}

// door is an agent's connection to its engine. The agent may die after it has
// sent an order and before the engine carries it out.
type door struct {
	*ranks.Rank
	world *world
	agent *agent
}

var errDied = errors.New("agent died")

func (d *door) send(call func() error) error {
	if d.world.calm || d.world.rng.IntN(40) > 0 {
		return call()
	}
	d.agent.crashed = true
	d.world.late = append(d.world.late, func() { _ = call() })
	return errDied
}

func (d *door) Prepare(ctx context.Context, fence uint64, m track.ExpertMap) error {
	return d.send(func() error { return d.Rank.Prepare(ctx, fence, m) })
}

func (d *door) Arm(ctx context.Context, fence uint64, s track.MapSwitch, arming uint64) error {
	return d.send(func() error { return d.Rank.Arm(ctx, fence, s, arming) })
}

func (d *door) Claim(ctx context.Context, fence, arming uint64) error {
	return d.send(func() error { return d.Rank.Claim(ctx, fence, arming) })
}

func (d *door) Commit(ctx context.Context, fence, arming uint64) error {
	return d.send(func() error { return d.Rank.Commit(ctx, fence, arming) })
}

func (d *door) Disarm(ctx context.Context, fence, arming uint64) error {
	return d.send(func() error { return d.Rank.Disarm(ctx, fence, arming) })
}

func (d *door) Restore(ctx context.Context, fence uint64, s track.RankState) error {
	return d.send(func() error { return d.Rank.Restore(ctx, fence, s) })
}

func (w *world) pick() track.RankID {
	return w.ids[w.rng.IntN(len(w.ids))]
}

// drive starts a driver on an agent; with a map it changes to that, without it
// settles.
func (w *world) drive(owner track.RankID, change bool) {
	a := w.agents[owner]
	if a.down {
		return
	}
	w.highest++
	ballot := track.Ballot{Number: w.highest, Driver: owner.Agent, Incarnation: a.incarnation}
	if !w.calm && w.rng.IntN(4) == 0 {
		ballot.Number -= min(ballot.Number-1, w.rng.Uint64N(4))
	}
	// A process never uses a ballot twice.
	if w.used[ballot] {
		return
	}
	w.used[ballot] = true
	plan := swap.Plan{Default: baseMap, Soonest: w.highest%2 == 0}
	if change {
		state, _ := a.rank.State(context.Background(), true)
		plan.Change = &track.MapChange{Base: state.Map.Version}
	}
	d, orders := swap.NewDriver(ballot, w.ids, plan)
	w.drivers = append(w.drivers, &driver{Driver: d, owner: owner, incarnation: a.incarnation, ballot: ballot})
	w.orders = append(w.orders, orders...)
}

// take removes a random element; a message may stay behind as a duplicate.
func take[T any](w *world, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := w.rng.IntN(len(*from))
	item := (*from)[i]
	if w.calm || w.rng.IntN(8) > 0 {
		*from = append((*from)[:i], (*from)[i+1:]...)
	}
	return item, w.calm || w.rng.IntN(60) > 0
}

func (w *world) deliverOrder() {
	o, ok := take(w, &w.orders)
	if !ok || w.agents[o.To].down {
		return
	}
	a := w.agents[o.To]
	r, err := a.member.Order(context.Background(), o)
	if a.crashed {
		w.kill(o.To)
		return
	}
	if err != nil {
		return
	}
	if w.after != nil {
		w.after(o, r)
	}
	w.replies = append(w.replies, r)
}

func (w *world) deliverReply() {
	r, ok := take(w, &w.replies)
	if !ok {
		return
	}
	for _, d := range w.drivers {
		if d.ballot == r.Ballot {
			w.orders = append(w.orders, d.Handle(r)...)
			w.close(d)
			return
		}
	}
}

// close drops a driver that has ended.
func (w *world) close(d *driver) {
	result, done := d.Result()
	if !done {
		return
	}
	w.outcome[result.Outcome]++
	w.highest = max(w.highest, result.Highest)
	w.forget(func(other *driver) bool { return other == d })
}

func (w *world) forget(drop func(*driver) bool) {
	var keep []*driver
	for _, d := range w.drivers {
		if !drop(d) {
			keep = append(keep, d)
		}
	}
	w.drivers = keep
}

// kill ends an agent's process, with the drivers on it.
func (w *world) kill(id track.RankID) {
	w.agents[id].down = true
	w.forget(func(d *driver) bool { return d.owner == id })
}

// act does one random thing.
func (w *world) act() {
	id := w.pick()
	n := w.rng.IntN(200)
	if n >= 187 && w.rng.IntN(4) >= w.faults {
		return
	}
	switch {
	case n < 80:
		w.deliverOrder()
	case n < 145:
		w.deliverReply()
	case n < 178:
		w.agents[id].rank.Enter()
	case n < 181:
		w.drive(id, w.rng.IntN(4) > 0)
	case n < 187:
		w.prod()
	case n < 188:
		w.kill(id)
	case n < 193:
		if w.agents[id].down {
			w.startAgent(id)
		}
	case n < 194:
		w.agents[id].rank.Restart()
	case n < 197:
		w.agents[id].rank.Pause(w.rng.IntN(3) == 0)
	default:
		if call, ok := take(w, &w.late); ok {
			call()
		}
	}
}

// prod makes a driver repeat its orders or give up.
func (w *world) prod() {
	if len(w.drivers) == 0 {
		return
	}
	d := w.drivers[w.rng.IntN(len(w.drivers))]
	if w.rng.IntN(5) > 0 {
		w.orders = append(w.orders, d.Repeat()...)
		return
	}
	w.orders = append(w.orders, d.GiveUp()...)
	w.close(d)
}

// heal ends all faults. Messages and calls under way still arrive.
func (w *world) heal() {
	w.calm = true
	for _, id := range w.ids {
		w.agents[id].rank.Pause(false)
		if w.agents[id].down {
			w.startAgent(id)
		}
	}
}

// settle runs one driver at a time until everything is delivered.
func (w *world) settle(change bool) {
	w.drive(w.pick(), change)
	for i := range 400 {
		if len(w.orders)+len(w.replies)+len(w.late)+len(w.drivers) == 0 {
			return
		}
		if call, ok := take(w, &w.late); ok {
			call()
		}
		w.deliverOrder()
		w.deliverReply()
		if w.rng.IntN(8) == 0 {
			w.group.Step()
		}
		if i%20 == 19 {
			w.repeat()
		}
	}
}

// repeat sends again what wasn't answered; drivers left from before give up.
func (w *world) repeat() {
	for i, d := range w.drivers {
		if i < len(w.drivers)-1 {
			w.orders = append(w.orders, d.GiveUp()...)
			w.close(d)
			return
		}
		w.orders = append(w.orders, d.Repeat()...)
	}
}
