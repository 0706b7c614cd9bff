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

// NewRouterFunc returns a router for one entry.
type NewRouterFunc func(clock clockwork.Clock, entry int, zone track.AvailabilityZone) track.Router

// RouterVariant is a kind of router that takes part in the comparison.
type RouterVariant struct {
	Name  string
	Build NewRouterFunc
}

// RouterVariants returns the kinds of routers that are compared.
func RouterVariants() []RouterVariant {
	return []RouterVariant{
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

// Report holds the results of a router on a trace.
type Report struct {
	// Requests is the number of requests, Finished the number of those that were
	// answered in full before the end of the run.
	Requests int
	Finished int
	// Late is the number of answers that took longer than 0.79 s plus 77 ms for each
	// token.
	Late         int
	firstTokens  *hdrhistogram.Histogram
	cachedBlocks int
	promptBlocks int
}

// maxFirstToken is the longest time to a first token that the histogram records. Longer
// times count as this one.
const maxFirstToken = 10 * time.Minute

func newReport() Report {
	return Report{firstTokens: hdrhistogram.New(1, maxFirstToken.Microseconds(), 3)}
}

func (r *Report) recordFirstToken(d time.Duration) {
	// RecordValue fails only for values above the maximum, which can't occur here.
	_ = r.firstTokens.RecordValue(min(d, maxFirstToken).Microseconds())
}

func (r *Report) recordAnswer(duration time.Duration, tokens int) {
	r.Finished++
	if duration > firstTokenTarget+time.Duration(tokens)*tokenGapTarget {
		r.Late++
	}
}

// FirstToken returns a percentile of the time to the first token, with percent from 0 to
// 100.
func (r *Report) FirstToken(percent float64) time.Duration {
	return time.Duration(r.firstTokens.ValueAtQuantile(percent)) * time.Microsecond
}

// LateShare returns the share of requests whose answer was late or missing.
func (r *Report) LateShare() float64 {
	return float64(r.Late+r.Requests-r.Finished) / float64(max(r.Requests, 1))
}

// HitShare returns the share of prompt blocks that were found in prefix caches.
func (r *Report) HitShare() float64 {
	return float64(r.cachedBlocks) / float64(max(r.promptBlocks, 1))
}

// SlowFirstShare returns the share of answers whose first token took longer than 0.79 s.
func (r *Report) SlowFirstShare() float64 {
	slow := int64(0)
	for _, bucket := range r.firstTokens.Distribution() {
		if bucket.From > firstTokenTarget.Microseconds() {
			slow += bucket.Count
		}
	}
	return float64(slow) / float64(max(r.firstTokens.TotalCount(), 1))
}

// String returns the report as a row of a table with the columns of Header.
func (r *Report) String() string {
	return fmt.Sprintf("%9.0f %9.0f %9.2f %9.2f %9.1f",
		float64(r.FirstToken(50).Milliseconds()), float64(r.FirstToken(99).Milliseconds()),
		100*r.SlowFirstShare(), 100*r.LateShare(), 100*r.HitShare())
}

// Header names the columns of a row: the median and the 99th percentile of the time to
// the first token in milliseconds, and the shares of slow first tokens, late answers and
// cached prompt blocks in percent.
const Header = "   p50 ms    p99 ms  >0.79s %    late %  cached %"

// drainTime is the time after the end of the trace in which the last requests can finish.
const drainTime = 2 * time.Minute

// Run simulates the trace with one kind of router.
func Run(spec Spec, newRouter NewRouterFunc) Report {
	clock := clockwork.NewFakeClock()
	sim := &simulation{spec: spec, clock: clock, report: newReport()}
	sim.setUp()
	for i := range spec.Entries {
		sim.routers = append(sim.routers, newRouter(clock, i, zoneName(i%spec.Zones)))
	}
	sim.updateRouters(sim.loads())
	sim.reportLoads()
	start := clock.Now()
	for _, r := range generateRequests(spec, start) {
		sim.schedule(r.arrived.Sub(start), func() { sim.dispatch(r) })
		sim.report.Requests++
	}
	sim.schedule(spec.Length/4, func() { sim.groups[0].slowdown = spec.StragglerFactor })
	sim.schedule(spec.Length/2, func() { sim.groups[0].slowdown = 1 })
	sim.run(start.Add(spec.Length + drainTime))
	return sim.report
}

// loads returns the current loads of all replicas.
func (sim *simulation) loads() map[track.InstanceID]track.Load {
	loads := make(map[track.InstanceID]track.Load, len(sim.replicas))
	for id, r := range sim.replicas {
		loads[id] = r.load()
	}
	return loads
}
