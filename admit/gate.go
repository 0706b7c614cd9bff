package admit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/limit"
)

const (
	// meanWeight is the weight of one duration in the mean and its deviation.
	meanWeight = 0.02
	// minRetryAfter is the least delay after which a caller is asked to return.
	minRetryAfter = time.Second
	// jitter is the spread of the delay that callers are told, as a part of it.
	jitter = 0.25
	// headroom is the multiple of the predicted wait that a newcomer must have
	// time for. It leaves room for those who will overtake it, so that a request
	// which was allowed to wait is hardly ever refused later.
	headroom = 3
)

// Decision ends the wait of a request.
type Decision struct {
	// Admitted is set if the request may run. Its owner must call Done.
	Admitted bool
	// RetryAfter tells the caller when to come back, if refused.
	RetryAfter time.Duration
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// Ticket is the place of one request at a Gate.
type Ticket struct {
	call    *track.Call
	item    *limit.Item[*Ticket]
	arrived time.Time
	granted time.Time
	decided chan Decision
}

// Decided returns the channel that carries the decision, once.
func (t *Ticket) Decided() <-chan Decision {
	return t.decided
}

// Slots returns the number of requests that the replicas of a target run at
// once.
type Slots func() int

// Gate admits the requests of one target. Its methods may be called
// concurrently.
type Gate struct {
	clock clockwork.Clock
	slots Slots

	admitted *metrics.Counter
	refused  *metrics.Counter

	mu    sync.Mutex
	rng   *rand.Rand
	queue *limit.Queue[*Ticket]
	inUse int
	// mean and deviation describe the time that a request holds its slot, in s.
	mean      float64
	deviation float64
	samples   int
	// moved is the time of the latest grant or release.
	moved time.Time
}

// stallShare is the part of the time without a release that counts as the time
// between two, when it exceeds the usual one.
const stallShare = 0.25

// NewGate returns a gate in front of a target's slots.
func NewGate(clock clockwork.Clock, rng *rand.Rand, target string, slots Slots, set *metrics.Set) *Gate {
	label := `{target="` + target + `"}`
	return &Gate{
		clock: clock, rng: rng, slots: slots,
		admitted: set.GetOrCreateCounter("filberttrack_admit_admitted_total" + label),
		refused:  set.GetOrCreateCounter("filberttrack_admit_refused_total" + label),
		queue:    limit.NewQueue[*Ticket](),
	}
}

// Arrive adds a request. Its decision may be there at once.
func (g *Gate) Arrive(call *track.Call) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{call: call, arrived: g.clock.Now(), decided: make(chan Decision, 1)}
	t.item = &limit.Item[*Ticket]{
		Subject: t, Account: call.Account.Name, Weight: call.Account.Weight,
		Level: Level(call), Cost: 1,
	}
	g.queue.Push(t.item)
	g.settle(t)
	return t
}

// Level orders requests: by priority, and non-idempotent ones before others of
// the same priority.
func Level(call *track.Call) int {
	level := 2 * int(call.Profile.Priority)
	if call.NonIdempotent {
		level++
	}
	return level
}

// Leave takes back a request whose caller went away. If it was admitted
// meanwhile, its slot is freed.
func (g *Gate) Leave(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(t.item) || t.granted.IsZero() {
		return
	}
	g.release(t)
}

// Done frees the slot of an admitted request, and learns how long it was held.
func (g *Gate) Done(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.granted.IsZero() {
		return
	}
	g.learn(g.clock.Since(t.granted).Seconds())
	g.release(t)
}

func (g *Gate) release(t *Ticket) {
	t.granted = time.Time{}
	g.inUse--
	g.moved = g.clock.Now()
	g.settle(nil)
}

// Refresh decides anew. The owner calls it when the number of slots has changed,
// and at each tick, so that a stall is noticed.
func (g *Gate) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(nil)
}

// Expected returns the expected duration of a request once it runs.
func (g *Gate) Expected() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return seconds(g.mean)
}

func (g *Gate) learn(held float64) {
	if g.samples++; g.samples == 1 {
		g.mean = held
		return
	}
	weight := max(meanWeight, 1/float64(g.samples))
	g.deviation += weight * (math.Abs(held-g.mean) - g.deviation)
	g.mean += weight * (held - g.mean)
}

// settle refuses whoever can't be done in time, and fills the free slots. The
// newcomer, if any, must fit with room to spare.
func (g *Gate) settle(newcomer *Ticket) {
	now := g.clock.Now()
	slots := g.slots()
	g.shed(now, slots, newcomer)
	for g.inUse < slots && g.queue.Len() > 0 {
		g.grant(g.queue.Pop().Subject, now)
	}
}

func (g *Gate) shed(now time.Time, slots int, newcomer *Ticket) {
	free := max(slots-g.inUse, 0)
	gap := g.gap(now, slots)
	late := func(item *limit.Item[*Ticket], ahead int) bool {
		t := item.Subject
		need := seconds(g.mean + g.deviation)
		if g.samples == 0 {
			need = coldShare(t.call.Deadline.Sub(now))
			gap = need / time.Duration(max(slots, 1))
		}
		wait := time.Duration(max(ahead-free+1, 0)) * gap
		if t == newcomer {
			wait *= headroom
		}
		return slots <= 0 || now.Add(wait+need).After(t.call.Deadline)
	}
	for _, item := range g.queue.Shed(late) {
		g.refuse(item.Subject, now, gap)
	}
}

// coldShare is the duration assumed of a request with some time left, while no
// duration is known: a quarter of that time.
func coldShare(left time.Duration) time.Duration {
	return left / 4
}

// gap predicts the time between two releases: the usual one, or longer if none
// came for a while.
func (g *Gate) gap(now time.Time, slots int) time.Duration {
	usual := seconds(g.mean / float64(max(slots, 1)))
	if g.inUse < slots || g.inUse == 0 {
		return usual
	}
	return max(usual, time.Duration(stallShare*float64(now.Sub(g.moved))))
}

func (g *Gate) grant(t *Ticket, now time.Time) {
	g.inUse++
	g.moved = now
	g.admitted.Inc()
	t.granted = now
	t.decided <- Decision{Admitted: true, Waited: now.Sub(t.arrived)}
}

// refuse asks the caller to come back when the queue of now will be done, at a
// random time about it.
func (g *Gate) refuse(t *Ticket, now time.Time, gap time.Duration) {
	g.refused.Inc()
	after := max(time.Duration(g.queue.Len()+1)*gap, minRetryAfter)
	after += time.Duration(jitter * g.rng.Float64() * float64(after))
	t.decided <- Decision{RetryAfter: after, Waited: now.Sub(t.arrived)}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
