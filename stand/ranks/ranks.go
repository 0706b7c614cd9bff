// Package ranks simulates a rank group whose ranks run each step together. It
// records the expert map that each rank used in each step.
package ranks

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
)

// StepTimeFunc returns the time that a rank needs for a step with an expert map.
type StepTimeFunc func(rank int, m track.ExpertMap) time.Duration

// Settings are the settings of a group.
type Settings struct {
	// Ranks is the number of ranks.
	Ranks int
	// Map is the expert map that all ranks use at first.
	Map track.ExpertMap
	// ChecksFences is set if the engines refuse orders with an outdated fencing token.
	ChecksFences bool
	// FetchSteps is the number of steps that a fetch of weights takes.
	FetchSteps int
	// FetchSlowdown is the factor by which the steps of a rank take longer while it
	// fetches weights.
	FetchSlowdown float64
	// StepTime returns the time that a rank needs for a step; if nil, steps take no time.
	StepTime StepTimeFunc
}

// MapUse is the version of the expert map that a rank used in a step.
type MapUse struct {
	Step    uint64
	Rank    int
	Version track.Ballot
}

// Group is a simulated rank group. It is safe for concurrent use.
type Group struct {
	mu       sync.Mutex
	settings Settings
	ranks    []*Rank
	// currentStep is the step that not all ranks have entered yet.
	currentStep uint64
	mapUses     []MapUse
	// entered holds the map versions of the ranks that have entered the current step
	// and haven't restarted since, by rank.
	entered     map[int]track.Ballot
	mapMismatch error
	elapsed     time.Duration
}

// New returns a group whose ranks all use the map of the settings. Its first step is 1.
func New(s Settings) *Group {
	g := &Group{settings: s, entered: map[int]track.Ballot{}, currentStep: 1}
	for i := range s.Ranks {
		g.ranks = append(g.ranks, &Rank{group: g, index: i, state: track.RankState{StartID: 1, Step: 1, Map: s.Map}})
	}
	return g
}

// Rank returns the rank with the index, which starts at 0.
func (g *Group) Rank(i int) *Rank {
	return g.ranks[i]
}

// Open returns the current step, which not all ranks have entered yet.
func (g *Group) Open() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentStep
}

// Elapsed returns the total duration of the completed steps. Each takes as long as
// its slowest rank.
func (g *Group) Elapsed() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elapsed
}

// MapUses returns the map that each rank used in each step, in order of use.
func (g *Group) MapUses() []MapUse {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.mapUses)
}

// MapMismatch returns an error if two ranks have used different maps in the same step.
// The error describes the first such step.
func (g *Group) MapMismatch() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mapMismatch
}

// Step makes every rank try to enter the current step, and reports whether the step
// was completed.
func (g *Group) Step() bool {
	step := g.Open()
	for _, r := range g.ranks {
		r.EnterStep()
	}
	return g.Open() > step
}

// Rank is a rank of a group. It implements track.RankEngine and is safe for concurrent
// use.
type Rank struct {
	group  *Group
	index  int
	state  track.RankState
	paused bool
	// fetching is the map whose weights are being fetched, or nil. The fetch ends when
	// the current step is fetchEndStep.
	fetching     *track.ExpertMap
	fetchEndStep uint64
}

var _ track.RankEngine = (*Rank)(nil)

// EnterStep makes the rank enter the current step, and reports whether it did. A rank
// can't enter a step if it is paused, has no map, has entered the step already or
// waits for the commit of a map switch.
func (r *Rank) EnterStep() bool {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.paused || r.state.NoMap || r.state.Step != g.currentStep {
		return false
	}
	if armed := r.state.Armed; armed != nil && r.state.Step >= armed.Step {
		if !r.state.Committed {
			return false
		}
		r.state.Map = *r.state.Prepared
		r.state.Prepared, r.state.Armed, r.state.Committed = nil, nil, false
	}
	r.state.Step++
	g.recordEntry(r)
	return true
}

// recordEntry records the map of a rank that enters the current step, and completes
// the step once all ranks have entered.
func (g *Group) recordEntry(r *Rank) {
	version := r.state.Map.Version
	for other, v := range g.entered {
		if v != version && g.mapMismatch == nil {
			g.mapMismatch = fmt.Errorf("step %d: rank %d uses map %v, rank %d uses map %v",
				g.currentStep, r.index, version, other, v)
		}
	}
	g.entered[r.index] = version
	g.mapUses = append(g.mapUses, MapUse{Step: g.currentStep, Rank: r.index, Version: version})
	if len(g.entered) < len(g.ranks) {
		return
	}
	g.elapsed += g.stepDuration()
	g.currentStep++
	clear(g.entered)
	for _, r := range g.ranks {
		r.finishFetch()
	}
}

// stepDuration returns the duration of the current step, which is that of the
// slowest rank.
func (g *Group) stepDuration() time.Duration {
	if g.settings.StepTime == nil {
		return 0
	}
	longest := time.Duration(0)
	for _, r := range g.ranks {
		d := g.settings.StepTime(r.index, r.state.Map)
		if r.fetching != nil {
			d = time.Duration(float64(d) * g.settings.FetchSlowdown)
		}
		longest = max(longest, d)
	}
	return longest
}

// finishFetch makes the fetched map the prepared one if the fetch has ended.
func (r *Rank) finishFetch() {
	if r.fetching != nil && r.group.currentStep >= r.fetchEndStep {
		r.state.Prepared, r.fetching = r.fetching, nil
	}
}

// Restart simulates a restart of the rank, after which it has no map. If the rank had
// entered the current step, it must enter it again.
func (r *Rank) Restart() {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	delete(r.group.entered, r.index)
	r.state = track.RankState{StartID: r.state.StartID + 1, NoMap: true, Step: r.group.currentStep}
	r.fetching, r.paused = nil, false
}

// SetPaused sets whether the rank is paused. A paused rank doesn't enter steps.
func (r *Rank) SetPaused(paused bool) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.paused = paused
}

// State implements track.RankEngine.
func (r *Rank) State(_ context.Context, layers bool) (track.RankState, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	s := r.state
	if s.Armed != nil {
		armed := *s.Armed
		s.Armed = &armed
	}
	if !layers {
		s = s.WithoutLayers()
	}
	return s, nil
}

var (
	errOldFencingToken = errors.New("fencing token is outdated")
	errNoMap           = errors.New("rank has no map")
	errArmed           = errors.New("rank is armed for a map switch")
	errStepEntered     = errors.New("rank has already entered the step of the switch")
	errNotPrepared     = errors.New("map is not prepared")
	errUnknownArmID    = errors.New("no matching map switch is armed")
	errNotRestorable   = errors.New("rank has a map, or its start ID or arm ID differs")
)

// runOrder runs an order while it holds the group's lock. If the group checks fencing
// tokens, runOrder first checks that the token isn't outdated. All errors are of kind
// Refused.
func (r *Rank) runOrder(op string, fencingToken uint64, run func() error) error {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.group.settings.ChecksFences {
		if fencingToken < r.state.FencingToken {
			return track.Fail(op, track.Refused, errOldFencingToken)
		}
		r.state.FencingToken = fencingToken
	}
	if err := run(); err != nil {
		return track.Fail(op, track.Refused, err)
	}
	return nil
}

// Prepare implements track.RankEngine.
func (r *Rank) Prepare(_ context.Context, fencingToken uint64, m track.ExpertMap) error {
	return r.runOrder("prepare", fencingToken, func() error {
		switch {
		case r.state.NoMap:
			return errNoMap
		case r.state.Armed != nil:
			return errArmed
		case r.state.Prepared != nil && r.state.Prepared.Version == m.Version,
			r.fetching != nil && r.fetching.Version == m.Version:
			return nil
		}
		r.state.Prepared = nil
		r.fetching, r.fetchEndStep = &m, r.group.currentStep+uint64(r.group.settings.FetchSteps)
		r.finishFetch()
		return nil
	})
}

// Arm implements track.RankEngine.
func (r *Rank) Arm(_ context.Context, fencingToken uint64, s track.MapSwitch, armID uint64) error {
	return r.runOrder("arm", fencingToken, func() error {
		switch {
		case r.state.NoMap:
			return errNoMap
		case r.state.Armed != nil:
			return errArmed
		case r.state.Step > s.Step:
			return errStepEntered
		case r.state.Prepared == nil || r.state.Prepared.Version != s.Version:
			return errNotPrepared
		}
		r.state.Armed, r.state.ArmID = &s, armID
		return nil
	})
}

// ReplaceArmID implements track.RankEngine.
func (r *Rank) ReplaceArmID(_ context.Context, fencingToken, armID uint64) error {
	return r.runOrder("claim", fencingToken, func() error {
		if r.state.Armed == nil && !r.state.NoMap {
			return errUnknownArmID
		}
		r.state.ArmID = armID
		return nil
	})
}

// Commit implements track.RankEngine.
func (r *Rank) Commit(_ context.Context, fencingToken, armID uint64) error {
	return r.runOrder("commit", fencingToken, func() error {
		if r.state.Armed == nil || r.state.ArmID != armID {
			return errUnknownArmID
		}
		r.state.Committed = true
		return nil
	})
}

// Disarm implements track.RankEngine.
func (r *Rank) Disarm(_ context.Context, fencingToken, armID uint64) error {
	return r.runOrder("disarm", fencingToken, func() error {
		if r.state.Armed == nil || r.state.ArmID != armID || r.state.Committed {
			return errUnknownArmID
		}
		r.state.Armed = nil
		return nil
	})
}

// Restore implements track.RankEngine.
func (r *Rank) Restore(_ context.Context, fencingToken uint64, s track.RankState) error {
	return r.runOrder("restore", fencingToken, func() error {
		if !r.state.NoMap || r.state.StartID != s.StartID || r.state.ArmID != s.ArmID {
			return errNotRestorable
		}
		r.state.NoMap = false
		r.state.Map, r.state.Prepared = s.Map, s.Prepared
		r.state.Armed, r.state.Committed = s.Armed, s.Committed
		return nil
	})
}

// Run calls Step in intervals of stepTime until the context ends. A step that isn't
// completed, because a rank is paused or waits, is tried again in the next interval.
func (g *Group) Run(ctx context.Context, clock clockwork.Clock, stepTime time.Duration) error {
	return duty.Every(ctx, clock, stepTime, func() { g.Step() })
}

// Engines returns the ranks as engines.
func (g *Group) Engines() []track.RankEngine {
	engines := make([]track.RankEngine, len(g.ranks))
	for i, r := range g.ranks {
		engines[i] = r
	}
	return engines
}

// Counter is a simulated track.ExpertCounter. It returns the counts of the latest
// completed window. It is safe for concurrent use.
type Counter struct {
	clock  clockwork.Clock
	window time.Duration
	start  time.Time

	mu sync.Mutex
	// next returns the counts of the next window.
	next func() [][]float64
	// windows is the number of completed windows that have been counted.
	windows uint64
	latest  [][]float64
}

var _ track.ExpertCounter = (*Counter)(nil)

// NewCounter returns a counter with windows of the given length. It calls next once
// for each completed window, in order.
func NewCounter(clock clockwork.Clock, window time.Duration, next func() [][]float64) *Counter {
	return &Counter{clock: clock, window: window, start: clock.Now(), next: next}
}

// Counts implements track.ExpertCounter.
func (c *Counter) Counts(context.Context) (track.ExpertCounts, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for completed := uint64(c.clock.Since(c.start) / c.window); c.windows < completed; c.windows++ {
		c.latest = c.next()
	}
	return track.ExpertCounts{Window: c.windows, Tokens: c.latest}, nil
}
