// Package tier stands in for a rank group whose engines run in lock-step and check
// fencing numbers: orders may get no answer and be carried out late, and it notices a
// pass with two maps.
package tier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Shape is the shape of a group.
type Shape struct {
	Ranks, Sets, Experts, Places, Spare int
}

// FormTime is the time that a group needs to form.
const FormTime = 600 * time.Millisecond

const (
	passTime = 40 * time.Millisecond
	copyTime = 15 * time.Millisecond
	// lateTime is the longest time after which an order without an answer is carried out.
	lateTime = 3 * time.Second
	// choices is the number of choices of a rank's requests in a pass and set.
	choices = 600
)

// Operation is what an order asks for.
type Operation int

// The operations.
const (
	Prepare Operation = iota
	Arm
	Disarm
	Hold
	Release
)

// Order is an order to a rank. Map holds the experts by set and rank.
type Order struct {
	Operation     Operation
	Version, Step uint64
	Epoch         int64
	Fence         uint64
	Map           [][][]int32
}

// Answer is the end of an order.
type Answer int

// The answers.
const (
	Begun Answer = iota
	Holds
	Conflict
	Fenced
)

// Switch names the map that a rank is armed for.
type Switch struct{ Version, Step uint64 }

// Report is the state of a rank.
type Report struct {
	Epoch       int64
	Open        bool
	Rank, Ranks int
	Step, Map   uint64
	Prepared    *uint64
	Armed       *Switch
	Held        *uint64
}

// Group is a rank group. It is safe for concurrent use.
type Group struct {
	shape Shape

	mu    sync.Mutex
	rng   *rand.Rand
	epoch int64
	open  bool
	// step is the last pass that was begun.
	step  uint64
	ranks []*rank
	// hot is the expert that most requests choose, in each set.
	hot []int
	// lost is the share of orders without an answer.
	lost    float64
	mixed   string
	changes int
}

type rank struct {
	fence, version, highest uint64
	experts                 [][]int32
	counts                  []float64
	prepared                *preparing
	armed                   *Switch
	held                    *uint64
}

type preparing struct {
	version uint64
	experts [][]int32
	done    time.Time
}

// New returns a group that has just formed. Run makes its passes.
func New(seed uint64, shape Shape) *Group {
	g := &Group{shape: shape, rng: rand.New(rand.NewPCG(seed, 17)), hot: make([]int, shape.Sets)}
	g.form()
	return g
}

// form has the group start with the first map. The caller holds the lock, or is alone.
func (g *Group) form() {
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

// Run makes passes until the context ends.
func (g *Group) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(passTime):
			g.Pass()
		}
	}
}

// Pass begins a pass, unless the group is broken or a rank holds before it.
func (g *Group) Pass() {
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
			g.changes++
		}
		g.choose(r)
	}
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version && g.mixed == "" {
			g.mixed = fmt.Sprintf("pass %d: rank 0 uses map %d, rank %d map %d", next, g.ranks[0].version, i, r.version)
		}
	}
}

// choose has a rank's requests choose experts: a third of them the hot one.
func (g *Group) choose(r *rank) {
	for set, hot := range g.hot {
		for e := range g.shape.Experts {
			share := 1.0
			if e == hot {
				share = float64(g.shape.Experts) / 3
			}
			r.counts[set*g.shape.Experts+e] += choices * share / float64(g.shape.Experts)
		}
	}
}

// Shift has other experts in demand.
func (g *Group) Shift() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for set := range g.hot {
		g.hot[set] = g.rng.IntN(g.shape.Experts)
	}
}

// Lose has a share of the orders get no answer; they are carried out later.
func (g *Group) Lose(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost = share
}

// Break breaks the group.
func (g *Group) Break() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
}

// Form has the group form anew, with its first map and nothing left of orders.
func (g *Group) Form() {
	time.Sleep(FormTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.form()
}

// Open reports whether the group works.
func (g *Group) Open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Mixed tells of the first pass with two maps, and is empty if there was none; changes
// is the number of times that a rank changed its map.
func (g *Group) Mixed() (mixed string, changes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed, g.changes
}

// Report returns the state of a rank.
func (g *Group) Report(index int) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	report := Report{
		Epoch: g.epoch, Open: g.open, Rank: index, Ranks: len(g.ranks), Step: g.step, Map: r.version, Armed: r.armed, Held: r.held,
	}
	if r.prepared != nil && !time.Now().Before(r.prepared.done) {
		report.Prepared = &r.prepared.version
	}
	return report
}

// Choices returns how often a rank's requests chose each expert, and Experts those that
// the rank holds, by set.
func (g *Group) Choices(index int) []float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]float64(nil), g.ranks[index].counts...)
}

// Experts is described at Choices.
func (g *Group) Experts(index int) [][]int32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[index].experts
}

// Give gives an order to a rank. It returns false if the order gets no answer; it is then
// carried out later.
func (g *Group) Give(index int, o Order) (Answer, bool) {
	g.mu.Lock()
	lost, late := g.rng.Float64() < g.lost, time.Duration(g.rng.Int64N(int64(lateTime)))
	g.mu.Unlock()
	if lost {
		time.AfterFunc(late, func() { g.obey(index, o) })
		return 0, false
	}
	return g.obey(index, o), true
}

func (g *Group) obey(index int, o Order) Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	switch {
	case o.Epoch != g.epoch || !g.open:
		return Conflict
	case o.Fence < r.fence:
		return Fenced
	}
	r.fence = o.Fence
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

func (g *Group) prepare(index int, r *rank, o Order) Answer {
	if o.Version <= r.highest || r.armed != nil || len(o.Map) != g.shape.Sets {
		return Conflict
	}
	next, fresh := make([][]int32, g.shape.Sets), 0
	for set := range next {
		next[set] = o.Map[set][index]
		fresh += countNew(r.experts[set], next[set])
	}
	r.highest = o.Version
	r.prepared = &preparing{version: o.Version, experts: next, done: time.Now().Add(time.Duration(fresh) * copyTime)}
	return Begun
}

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

func (r *rank) arm(o Order, step uint64) Answer {
	if r.armed != nil && *r.armed == (Switch{o.Version, o.Step}) {
		return Holds
	}
	ready := r.prepared != nil && r.prepared.version == o.Version && !time.Now().Before(r.prepared.done)
	if !ready || step >= o.Step || r.armed != nil {
		return Conflict
	}
	r.armed = &Switch{o.Version, o.Step}
	return Begun
}

func (r *rank) disarm(o Order) Answer {
	if r.version == o.Version || r.armed == nil || r.armed.Version != o.Version {
		return Conflict
	}
	r.armed = nil
	return Begun
}

func (r *rank) hold(o Order, step uint64) Answer {
	if r.held != nil && *r.held == o.Step {
		return Holds
	}
	if r.held != nil || step >= o.Step {
		return Conflict
	}
	r.held = &o.Step
	return Begun
}

func (r *rank) release(o Order) Answer {
	if r.held == nil || *r.held != o.Step {
		return Conflict
	}
	r.held = nil
	return Begun
}
