// Package tier simulates a rank group whose engines run each step together and check
// fencing tokens. Orders may get no response and be executed late. The group detects
// steps in which ranks use different expert maps.
package tier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Shape is the size of a group: the numbers of ranks, of expert sets (layers), of
// experts in each set, of slots for experts that each rank has in a set, and of spare
// slots for the experts of the next map.
type Shape struct {
	Ranks, Sets, Experts, Places, Spare int
}

// StartTime is the time that a group needs to start.
const StartTime = 600 * time.Millisecond

const (
	stepInterval = 40 * time.Millisecond
	// expertCopyTime is the time to copy the weights of one expert to a rank.
	expertCopyTime = 15 * time.Millisecond
	// maxOrderDelay is the maximum delay of an order that gets no response.
	maxOrderDelay = 3 * time.Second
	// choicesPerStep is the number of experts that the requests of a rank choose in a
	// step, in each set.
	choicesPerStep = 600
)

// Operation is the operation that an order requests.
type Operation int

// The operations of orders.
const (
	// Prepare starts to fetch the weights of a new map.
	Prepare Operation = iota
	// Arm makes the rank switch to the prepared map at a step.
	Arm
	// Disarm cancels an armed switch.
	Disarm
	// Hold stops the group before a step.
	Hold
	// Release ends a hold.
	Release
)

// Order is an order to a rank. The rank refuses it if Epoch isn't the epoch of the
// group, or if FencingToken is lower than that of an earlier order. Map
// holds the experts by set and rank; it is only set on Prepare.
type Order struct {
	Operation     Operation
	Version, Step uint64
	Epoch         int64
	FencingToken  uint64
	Map           [][][]int32
}

// OrderResult is the result of an order.
type OrderResult int

// The results of orders.
const (
	// Accepted means that the order was accepted.
	Accepted OrderResult = iota
	// AlreadyInEffect means that an equal order is in effect already.
	AlreadyInEffect
	// Conflict means that the state of the rank or the group doesn't allow the order.
	Conflict
	// FencingTokenOutdated means that the fencing token is outdated.
	FencingTokenOutdated
)

// MapSwitch is the version of the map that a rank is armed to switch to, and the step
// of the switch.
type MapSwitch struct{ Version, Step uint64 }

// Report is the state of a rank and its group.
type Report struct {
	// Epoch counts the starts of the group.
	Epoch int64
	// Open is set while the group works.
	Open bool
	// Rank is the index of the rank, and Ranks the number of ranks.
	Rank, Ranks int
	// Step is the last step that was started, and Map the version of the map in use.
	Step, Map uint64
	// Prepared is the version of the prepared map; nil if there is none.
	Prepared *uint64
	// Armed is nil if the rank isn't armed.
	Armed *MapSwitch
	// Held is the step before which the rank holds the group; nil if it doesn't.
	Held *uint64
}

// Group is a simulated rank group. It is safe for concurrent use.
type Group struct {
	shape Shape

	mu    sync.Mutex
	rng   *rand.Rand
	epoch int64
	open  bool
	// step is the last step that was started.
	step  uint64
	ranks []*rank
	// hotExperts holds the expert that most requests choose in each set.
	hotExperts []int
	// lossRate is the share of orders that get no response, from 0 to 1.
	lossRate float64
	// mapMismatch describes the first step in which ranks used different maps.
	mapMismatch string
	// mapChanges is the number of times that a rank has changed its map.
	mapChanges int
}

type rank struct {
	// fencingToken is the highest that the rank has seen, version that of the map in use,
	// and highestPrepared the highest version that the rank was ordered to prepare.
	fencingToken, version, highestPrepared uint64
	// experts holds the experts of the rank by set.
	experts [][]int32
	// counts holds how often each expert was chosen, by set and expert.
	counts   []float64
	prepared *preparedMap
	armed    *MapSwitch
	// held is the step before which the rank holds the group.
	held *uint64
}

// preparedMap is a map whose weights are fetched until readyAt.
type preparedMap struct {
	version uint64
	experts [][]int32
	readyAt time.Time
}

// New returns a group that has just started. Run runs its steps.
func New(seed uint64, shape Shape) *Group {
	g := &Group{shape: shape, rng: rand.New(rand.NewPCG(seed, 17)), hotExperts: make([]int, shape.Sets)}
	g.startLocked()
	return g
}

// startLocked starts the group in a new epoch with the initial map, which spreads the
// experts evenly over the ranks. The caller holds the lock unless no other goroutine
// knows the group yet.
func (g *Group) startLocked() {
	g.epoch++
	g.open = true
	g.ranks = nil
	for i := range g.shape.Ranks {
		experts := make([][]int32, g.shape.Sets)
		for set := range experts {
			for e := i; e < g.shape.Experts; e += g.shape.Ranks {
				experts[set] = append(experts[set], int32(e))
			}
		}
		g.ranks = append(g.ranks, &rank{experts: experts, counts: make([]float64, g.shape.Sets*g.shape.Experts)})
	}
}

// Run runs a step every stepInterval until the context ends.
func (g *Group) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stepInterval):
			g.RunStep()
		}
	}
}

// RunStep runs the next step, unless the group is broken or a rank holds before it.
func (g *Group) RunStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	for _, r := range g.ranks {
		if !g.open || r.held != nil && *r.held <= next {
			return
		}
	}
	g.step = next
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Step == next {
			r.version, r.experts, r.armed, r.prepared = r.armed.Version, r.prepared.experts, nil, nil
			g.mapChanges++
		}
		g.countChoices(r)
	}
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version && g.mapMismatch == "" {
			g.mapMismatch = fmt.Sprintf("step %d: rank 0 uses map %d, rank %d map %d", next, g.ranks[0].version, i, r.version)
		}
	}
}

// countChoices counts the experts that the requests of a rank choose in a step. Of
// choicesPerStep, the hot expert of each set gets a third, and every other expert as
// many as if all were equally popular.
func (g *Group) countChoices(r *rank) {
	for set, hotExpert := range g.hotExperts {
		for e := range g.shape.Experts {
			share := 1.0
			if e == hotExpert {
				share = float64(g.shape.Experts) / 3
			}
			r.counts[set*g.shape.Experts+e] += choicesPerStep * share / float64(g.shape.Experts)
		}
	}
}

// ShiftDemand changes the hot experts at random.
func (g *Group) ShiftDemand() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for set := range g.hotExperts {
		g.hotExperts[set] = g.rng.IntN(g.shape.Experts)
	}
}

// SetLossRate sets the share of orders, from 0 to 1, that get no response. They are executed
// after a random delay of up to maxOrderDelay.
func (g *Group) SetLossRate(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lossRate = share
}

// Break makes the group fail: until Form is called, it runs no steps and refuses
// orders.
func (g *Group) Break() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
}

// Restart restarts the group with its initial map, which takes StartTime. The effects of
// earlier orders are lost.
func (g *Group) Restart() {
	time.Sleep(StartTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startLocked()
}

// Open reports whether the group works.
func (g *Group) Open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// MapMismatch describes the first step in which ranks used different maps, or is empty if
// there was none. It also returns the number of times that a rank has changed its map.
func (g *Group) MapMismatch() (mapMismatch string, mapChanges int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mapMismatch, g.mapChanges
}

// Report returns the state of a rank.
func (g *Group) Report(index int) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	report := Report{
		Epoch: g.epoch, Open: g.open, Rank: index, Ranks: len(g.ranks), Step: g.step, Map: r.version,
		Armed: r.armed, Held: r.held,
	}
	if r.prepared != nil && !time.Now().Before(r.prepared.readyAt) {
		report.Prepared = &r.prepared.version
	}
	return report
}

// Choices returns how often the requests of a rank have chosen each expert since the
// group started, by set and expert.
func (g *Group) Choices(index int) []float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]float64(nil), g.ranks[index].counts...)
}

// Experts returns the experts that a rank holds, by set.
func (g *Group) Experts(index int) [][]int32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[index].experts
}

// Give sends an order to a rank and returns its result. It returns false if the order
// gets no response; the order is then executed after a random delay of up to
// maxOrderDelay.
func (g *Group) Give(index int, o Order) (OrderResult, bool) {
	g.mu.Lock()
	lost, delay := g.rng.Float64() < g.lossRate, time.Duration(g.rng.Int64N(int64(maxOrderDelay)))
	g.mu.Unlock()
	if lost {
		time.AfterFunc(delay, func() { g.execute(index, o) })
		return 0, false
	}
	return g.execute(index, o), true
}

// execute executes an order and returns its result.
func (g *Group) execute(index int, o Order) OrderResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	switch {
	case o.Epoch != g.epoch || !g.open:
		return Conflict
	case o.FencingToken < r.fencingToken:
		return FencingTokenOutdated
	}
	r.fencingToken = o.FencingToken
	switch o.Operation {
	case Prepare:
		return g.prepare(index, r, o)
	case Arm:
		return r.arm(o, g.step)
	case Disarm:
		return r.disarm(o)
	case Hold:
		return r.hold(o, g.step)
	case Release:
		return r.release(o)
	}
	return Conflict
}

func (g *Group) prepare(index int, r *rank, o Order) OrderResult {
	if o.Version <= r.highestPrepared || r.armed != nil || len(o.Map) != g.shape.Sets {
		return Conflict
	}
	next, copies := make([][]int32, g.shape.Sets), 0
	for set := range next {
		next[set] = o.Map[set][index]
		copies += countNew(r.experts[set], next[set])
	}
	r.highestPrepared = o.Version
	r.prepared = &preparedMap{
		version: o.Version, experts: next, readyAt: time.Now().Add(time.Duration(copies) * expertCopyTime),
	}
	return Accepted
}

// countNew returns the number of experts that are in next but not in old.
func countNew(old, next []int32) int {
	held := make(map[int32]bool, len(old))
	for _, e := range old {
		held[e] = true
	}
	n := 0
	for _, e := range next {
		if !held[e] {
			n++
		}
	}
	return n
}

func (r *rank) arm(o Order, step uint64) OrderResult {
	if r.armed != nil && *r.armed == (MapSwitch{o.Version, o.Step}) {
		return AlreadyInEffect
	}
	ready := r.prepared != nil && r.prepared.version == o.Version && !time.Now().Before(r.prepared.readyAt)
	if !ready || step >= o.Step || r.armed != nil {
		return Conflict
	}
	r.armed = &MapSwitch{o.Version, o.Step}
	return Accepted
}

func (r *rank) disarm(o Order) OrderResult {
	if r.version == o.Version || r.armed == nil || r.armed.Version != o.Version {
		return Conflict
	}
	r.armed = nil
	return Accepted
}

func (r *rank) hold(o Order, step uint64) OrderResult {
	if r.held != nil && *r.held == o.Step {
		return AlreadyInEffect
	}
	if r.held != nil || step >= o.Step {
		return Conflict
	}
	r.held = &o.Step
	return Accepted
}

func (r *rank) release(o Order) OrderResult {
	if r.held == nil || *r.held != o.Step {
		return Conflict
	}
	r.held = nil
	return Accepted
}
