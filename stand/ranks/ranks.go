// Package ranks provides a stand-in for a rank group in lock-step. It records
// the expert map that each rank used in each step.
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

// Load gives the time that a rank needs for a step with a map.
type Load func(rank int, m track.ExpertMap) time.Duration

// Settings describe a group.
type Settings struct {
	Ranks int
	Map   track.ExpertMap
	// ChecksFences is set if the engines refuse old fencing numbers.
	ChecksFences bool
	// FetchSteps is the number of steps that a fetch of weights takes.
	FetchSteps int
	// FetchSlowdown is the factor by which a rank slows down while it fetches.
	FetchSlowdown float64
	// Load is the time of a step by rank and map; nil for a group that takes none.
	Load Load
}

// Use is the map that a rank used in a step.
type Use struct {
	Step    uint64
	Rank    int
	Version track.Ballot
}

// Group is a rank group. It is safe for concurrent use.
type Group struct {
	mu       sync.Mutex
	settings Settings
	ranks    []*Rank
	// open is the step that not all ranks have entered yet.
	open uint64
	uses []Use
	// entered holds the uses of the open step by the ranks' current boots.
	entered map[int]track.Ballot
	broken  error
	elapsed time.Duration
}

// New returns a group whose ranks all use the map of the settings.
func New(s Settings) *Group {
	g := &Group{settings: s, entered: map[int]track.Ballot{}, open: 1}
	for i := range s.Ranks {
		g.ranks = append(g.ranks, &Rank{group: g, index: i, state: track.RankState{StartID: 1, Step: 1, Map: s.Map}})
	}
	return g
}

// Rank returns a rank.
func (g *Group) Rank(i int) *Rank {
	return g.ranks[i]
}

// Open returns the step that not all ranks have entered yet.
func (g *Group) Open() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Elapsed returns the time that all completed steps took; each takes as long as
// its slowest rank.
func (g *Group) Elapsed() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elapsed
}

// Uses returns the recorded map of each rank and step.
func (g *Group) Uses() []Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.uses)
}

// Broken returns an error once two ranks used different maps in a step.
func (g *Group) Broken() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken
}

// Step lets every rank try to enter the open step, and reports whether the step
// was completed.
func (g *Group) Step() bool {
	before := g.Open()
	for _, r := range g.ranks {
		r.Enter()
	}
	return g.Open() > before
}

// Rank is one rank of a group and its engine.
type Rank struct {
	group  *Group
	index  int
	state  track.RankState
	paused bool
	// fetching is the map that is being fetched, until the given step.
	fetching *track.ExpertMap
	until    uint64
}

var _ track.RankEngine = (*Rank)(nil)

// Enter lets the rank enter the open step if it may.
func (r *Rank) Enter() bool {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.paused || r.state.NoMap || r.state.Step != g.open {
		return false
	}
	if a := r.state.Armed; a != nil && r.state.Step >= a.Step {
		if !r.state.Committed {
			return false
		}
		r.state.Map = *r.state.Prepared
		r.state.Prepared, r.state.Armed, r.state.Committed = nil, nil, false
	}
	r.state.Step++
	g.record(r)
	return true
}

// record notes the map of a rank that enters the open step, and completes the
// step when all have entered.
func (g *Group) record(r *Rank) {
	version := r.state.Map.Version
	for other, v := range g.entered {
		if v != version && g.broken == nil {
			g.broken = fmt.Errorf("step %d: rank %d uses map %v, rank %d uses map %v", g.open, r.index, version, other, v)
		}
	}
	g.entered[r.index] = version
	g.uses = append(g.uses, Use{Step: g.open, Rank: r.index, Version: version})
	if len(g.entered) < len(g.ranks) {
		return
	}
	g.elapsed += g.slowest()
	g.open++
	clear(g.entered)
	for _, r := range g.ranks {
		r.finishFetch()
	}
}

func (g *Group) slowest() time.Duration {
	if g.settings.Load == nil {
		return 0
	}
	longest := time.Duration(0)
	for _, r := range g.ranks {
		d := g.settings.Load(r.index, r.state.Map)
		if r.fetching != nil {
			d = time.Duration(float64(d) * g.settings.FetchSlowdown)
		}
		longest = max(longest, d)
	}
	return longest
}

func (r *Rank) finishFetch() {
	if r.fetching != nil && r.group.open >= r.until {
		r.state.Prepared, r.fetching = r.fetching, nil
	}
}

// Restart replaces the rank by a new one that has no map. A step that it had
// entered but that isn't complete has to be entered again.
func (r *Rank) Restart() {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	delete(r.group.entered, r.index)
	r.state = track.RankState{StartID: r.state.StartID + 1, NoMap: true, Step: r.group.open}
	r.fetching, r.paused = nil, false
}

// Pause keeps the rank from entering steps until it is called with false.
func (r *Rank) Pause(paused bool) {
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
	errFence    = errors.New("old fencing number")
	errBlank    = errors.New("rank has no map")
	errArmed    = errors.New("rank is armed")
	errLate     = errors.New("rank has entered the step already")
	errPrepared = errors.New("map is not prepared")
	errArming   = errors.New("no such arming")
	errBoot     = errors.New("not a blank rank of that boot and arming")
)

// order runs an order under the group's lock, after the check of its fence.
func (r *Rank) order(op string, fence uint64, run func() error) error {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.group.settings.ChecksFences {
		if fence < r.state.FencingToken {
			return track.Fail(op, track.Refused, errFence)
		}
		r.state.FencingToken = fence
	}
	if err := run(); err != nil {
		return track.Fail(op, track.Refused, err)
	}
	return nil
}

// Prepare implements track.RankEngine.
func (r *Rank) Prepare(_ context.Context, fence uint64, m track.ExpertMap) error {
	return r.order("prepare", fence, func() error {
		switch {
		case r.state.NoMap:
			return errBlank
		case r.state.Armed != nil:
			return errArmed
		case r.state.Prepared != nil && r.state.Prepared.Version == m.Version,
			r.fetching != nil && r.fetching.Version == m.Version:
			return nil
		}
		r.state.Prepared = nil
		r.fetching, r.until = &m, r.group.open+uint64(r.group.settings.FetchSteps)
		r.finishFetch()
		return nil
	})
}

// Arm implements track.RankEngine.
func (r *Rank) Arm(_ context.Context, fence uint64, s track.MapSwitch, arming uint64) error {
	return r.order("arm", fence, func() error {
		switch {
		case r.state.NoMap:
			return errBlank
		case r.state.Armed != nil:
			return errArmed
		case r.state.Step > s.Step:
			return errLate
		case r.state.Prepared == nil || r.state.Prepared.Version != s.Version:
			return errPrepared
		}
		r.state.Armed, r.state.ArmID = &s, arming
		return nil
	})
}

// ReplaceArmID implements track.RankEngine.
func (r *Rank) ReplaceArmID(_ context.Context, fence, arming uint64) error {
	return r.order("claim", fence, func() error {
		if r.state.Armed == nil && !r.state.NoMap {
			return errArming
		}
		r.state.ArmID = arming
		return nil
	})
}

// Commit implements track.RankEngine.
func (r *Rank) Commit(_ context.Context, fence, arming uint64) error {
	return r.order("commit", fence, func() error {
		if r.state.Armed == nil || r.state.ArmID != arming {
			return errArming
		}
		r.state.Committed = true
		return nil
	})
}

// Disarm implements track.RankEngine.
func (r *Rank) Disarm(_ context.Context, fence, arming uint64) error {
	return r.order("disarm", fence, func() error {
		if r.state.Armed == nil || r.state.ArmID != arming || r.state.Committed {
			return errArming
		}
		r.state.Armed = nil
		return nil
	})
}

// Restore implements track.RankEngine.
func (r *Rank) Restore(_ context.Context, fence uint64, s track.RankState) error {
	return r.order("restore", fence, func() error {
		if !r.state.NoMap || r.state.StartID != s.StartID || r.state.ArmID != s.ArmID {
			return errBoot
		}
		r.state.NoMap = false
		r.state.Map, r.state.Prepared = s.Map, s.Prepared
		r.state.Armed, r.state.Committed = s.Armed, s.Committed
		return nil
	})
}

// Run steps the group until the context ends. A step takes at least the given
// time; one that a rank holds is tried again after that time.
func (g *Group) Run(ctx context.Context, clock clockwork.Clock, stepTime time.Duration) error {
	return duty.Every(ctx, clock, stepTime, func() { g.Step() })
}

// Engines returns the ranks as engines.
func (g *Group) Engines() []track.RankEngine {
	out := make([]track.RankEngine, len(g.ranks))
	for i, r := range g.ranks {
		out[i] = r
	}
	return out
}

// Counter is a track.ExpertCounter that returns the counts of the window before
// the current one.
type Counter struct {
	clock  clockwork.Clock
	window time.Duration
	start  time.Time

	mu     sync.Mutex
	next   func() [][]float64
	number uint64
	latest [][]float64
}

var _ track.ExpertCounter = (*Counter)(nil)

// NewCounter returns a counter that takes the counts of each window from next.
func NewCounter(clock clockwork.Clock, window time.Duration, next func() [][]float64) *Counter {
	return &Counter{clock: clock, window: window, start: clock.Now(), next: next}
}

// Counts implements track.ExpertCounter.
func (c *Counter) Counts(context.Context) (track.ExpertCounts, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for due := uint64(c.clock.Since(c.start) / c.window); c.number < due; c.number++ {
		c.latest = c.next()
	}
	return track.ExpertCounts{Window: c.number, Tokens: c.latest}, nil
}
