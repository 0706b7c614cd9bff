package trace

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/pick"
	"filberttrack.example/track/router"
)

// Build returns the router of one entry.
type Build func(clock clockwork.Clock, entry int, zone track.AvailabilityZone) track.Router

// Contestant is a kind of router.
type Contestant struct {
	Name  string
	Build Build
}

// Contestants returns the routers that are compared.
func Contestants() []Contestant {
	return []Contestant{
		{"round robin", func(clockwork.Clock, int, track.AvailabilityZone) track.Router { return &roundRobin{} }},
		{"least connections", func(clockwork.Clock, int, track.AvailabilityZone) track.Router { return pick.New() }},
		{"two choices", func(_ clockwork.Clock, entry int, _ track.AvailabilityZone) track.Router {
			return newTwoChoices(uint64(entry))
		}},
		{"filberttrack", func(clock clockwork.Clock, entry int, zone track.AvailabilityZone) track.Router {
			return router.New(clock, rand.New(rand.NewPCG(uint64(entry), 3)), zone, router.AllReachable{})
		}},
	}
}

// Report is what came of a trace.
type Report struct {
	Requests int
	Finished int
	// Late is the number of answers that missed 0.79 s to the first token plus
	// 77 ms for each token.
	Late   int
	firsts *hdrhistogram.Histogram
	hits   int
	blocks int
}

// maxFirst is the longest time to a first token that is told apart.
const maxFirst = 10 * time.Minute

func newReport() Report {
	return Report{firsts: hdrhistogram.New(1, maxFirst.Microseconds(), 3)}
}

func (r *Report) first(d time.Duration) {
	// A value above the greatest would be an error; it can't be.
	_ = r.firsts.RecordValue(min(d, maxFirst).Microseconds())
}

func (r *Report) done(took time.Duration, tokens int) {
	r.Finished++
	if took > firstToken+time.Duration(tokens)*betweenToken {
		r.Late++
	}
}

// FirstToken returns a quantile, in percent, of the time to the first token.
func (r *Report) FirstToken(percent float64) time.Duration {
	return time.Duration(r.firsts.ValueAtQuantile(percent)) * time.Microsecond
}

// LateShare returns the share of requests whose answer was late or is missing.
func (r *Report) LateShare() float64 {
	return float64(r.Late+r.Requests-r.Finished) / float64(max(r.Requests, 1))
}

// HitShare returns the share of prompt blocks found in caches.
func (r *Report) HitShare() float64 {
	return float64(r.hits) / float64(max(r.blocks, 1))
}

// SlowFirstShare returns the share of first tokens after 0.79 s.
func (r *Report) SlowFirstShare() float64 {
	slow := int64(0)
	for _, bar := range r.firsts.Distribution() {
		if bar.From > firstToken.Microseconds() {
			slow += bar.Count
		}
	}
	return float64(slow) / float64(max(r.firsts.TotalCount(), 1))
}

// String returns the report as a row of a table.
func (r *Report) String() string {
	return fmt.Sprintf("%9.0f %9.0f %9.2f %9.2f %9.1f",
		float64(r.FirstToken(50).Milliseconds()), float64(r.FirstToken(99).Milliseconds()),
		100*r.SlowFirstShare(), 100*r.LateShare(), 100*r.HitShare())
}

// Header names the columns of a report: ms, ms, percent.
const Header = "   p50 ms    p99 ms  >0.79s %    late %  cached %"

// settle is the time that the last requests have to finish.
const settle = 2 * time.Minute

// Run runs the trace over one kind of router.
func Run(spec Spec, build Build) Report {
	clock := clockwork.NewFakeClock()
	w := &world{spec: spec, clock: clock, report: newReport()}
	w.build()
	for i := range spec.Entries {
		w.routers = append(w.routers, build(clock, i, zoneName(i%spec.Zones)))
	}
	w.update(w.loads())
	w.sample()
	start := clock.Now()
	for _, r := range arrivals(spec, start) {
		w.after(r.arrived.Sub(start), func() { w.dispatch(r) })
		w.report.Requests++
	}
	w.after(spec.Length/4, func() { w.groups[0].slow = spec.Straggler })
	w.after(spec.Length/2, func() { w.groups[0].slow = 1 })
	w.run(start.Add(spec.Length + settle))
	return w.report
}

func (w *world) loads() map[track.InstanceID]track.Load {
	loads := make(map[track.InstanceID]track.Load, len(w.machines))
	for id, m := range w.machines {
		loads[id] = m.load()
	}
	return loads
}
