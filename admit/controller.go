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
	// meanWeight is the weight of one request in the moving mean of the hold time and
	// in its deviation.
	meanWeight = 0.02
	// minRetryAfter is the shortest delay after which a caller is told to retry.
	minRetryAfter = time.Second
	// jitter is the largest random addition to that delay, as a share of it.
	jitter = 0.25
	// headroom is the multiple of the predicted wait that an arriving request must
	// have time for. It makes room for requests that will overtake this one, so that
	// a request that was allowed to wait is hardly ever refused later.
	headroom = 3
)

// Decision says whether a request may run, and ends its wait.
type Decision struct {
	// Admitted is set if the request may run. The caller of Enqueue must then call
	// Release when the request has ended.
	Admitted bool
	// RetryAfter is the delay after which a refused request may be retried.
	RetryAfter time.Duration
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// Ticket stands for one request at a Controller, from its arrival until it is
// refused or has freed its slot.
type Ticket struct {
	call      *track.Call
	item      *limit.Item[*Ticket]
	arrivedAt time.Time
	// grantedAt is the time at which the request got a slot; zero if it holds none.
	grantedAt time.Time
	decision  chan Decision
}

// Decided returns the channel on which the decision is sent. It is sent once, or
// never if the request leaves before.
func (t *Ticket) Decided() <-chan Decision {
	return t.decision
}

// SlotsFunc returns the number of requests that the replicas of a target can run at
// once.
type SlotsFunc func() int

// Controller is the admission controller of one target. It lets as many requests
// run as the target has slots, queues others, and refuses those that would miss
// their deadlines. Its methods may be called concurrently.
type Controller struct {
	clock clockwork.Clock
	slots SlotsFunc

	admitted *metrics.Counter
	refused  *metrics.Counter

	mu         sync.Mutex
	rng        *rand.Rand
	queue      *limit.Queue[*Ticket]
	slotsInUse int
	// meanHold and holdDeviation are moving averages of the time that a request
	// holds its slot and of its absolute deviation, in s.
	meanHold      float64
	holdDeviation float64
	// samples is the number of requests in the averages.
	samples int
	// lastChange is the time at which a slot was last taken or freed.
	lastChange time.Time
}

// stallShare is the share of the time since a slot was last taken or freed that is
// assumed as the release interval, when it exceeds the usual interval.
const stallShare = 0.25

// NewController returns a controller for the target with the given slots. Its
// counters are added to set.
func NewController(
	clock clockwork.Clock, rng *rand.Rand, target string, slots SlotsFunc, set *metrics.Set,
) *Controller {
	label := `{target="` + target + `"}`
	return &Controller{
		clock: clock, rng: rng, slots: slots,
		admitted: set.GetOrCreateCounter("filberttrack_admit_admitted_total" + label),
		refused:  set.GetOrCreateCounter("filberttrack_admit_refused_total" + label),
		queue:    limit.NewQueue[*Ticket](),
	}
}

// Enqueue queues a request. The decision may be available at once.
func (c *Controller) Enqueue(call *track.Call) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &Ticket{call: call, arrivedAt: c.clock.Now(), decision: make(chan Decision, 1)}
	t.item = &limit.Item[*Ticket]{
		Value: t, Account: call.Account.Name, Weight: call.Account.Weight,
		Priority: PriorityLevel(call), Cost: 1,
	}
	c.queue.Push(t.item)
	c.decide(t)
	return t
}

// PriorityLevel returns the priority of a request in the queue; the highest goes
// first. Non-idempotent requests go before others of the same profile priority.
func PriorityLevel(call *track.Call) int {
	level := 2 * int(call.Profile.Priority)
	if call.NonIdempotent {
		level++
	}
	return level
}

// Cancel withdraws a request whose caller has gone away. If it has been admitted in
// the meantime, its slot is freed.
func (c *Controller) Cancel(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Remove(t.item) || t.grantedAt.IsZero() {
		return
	}
	c.releaseSlot(t)
}

// Release frees the slot of an admitted request and records how long it was held. It
// does nothing if the request holds no slot.
func (c *Controller) Release(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.grantedAt.IsZero() {
		return
	}
	c.recordHold(c.clock.Since(t.grantedAt).Seconds())
	c.releaseSlot(t)
}

func (c *Controller) releaseSlot(t *Ticket) {
	t.grantedAt = time.Time{}
	c.slotsInUse--
	c.lastChange = c.clock.Now()
	c.decide(nil)
}

// Reevaluate refuses and admits waiting requests by the current number of slots and
// the current time. It must be called regularly, because changes in the number of
// slots and stalled replicas are noticed only here or when requests come and go.
func (c *Controller) Reevaluate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide(nil)
}

// ExpectedDuration returns the mean duration of a request once it runs, or 0 if none has
// ended yet.
func (c *Controller) ExpectedDuration() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return seconds(c.meanHold)
}

func (c *Controller) recordHold(hold float64) {
	if c.samples++; c.samples == 1 {
		c.meanHold = hold
		return
	}
	weight := max(meanWeight, 1/float64(c.samples))
	c.holdDeviation += weight * (math.Abs(hold-c.meanHold) - c.holdDeviation)
	c.meanHold += weight * (hold - c.meanHold)
}

// decide refuses the waiting requests that can't meet their deadlines, and gives the
// free slots to the others. arriving is the request that has just been queued, if
// any; for it, the predicted wait is multiplied by headroom.
func (c *Controller) decide(arriving *Ticket) {
	now := c.clock.Now()
	slots := c.slots()
	c.shed(now, slots, arriving)
	for c.slotsInUse < slots && c.queue.Len() > 0 {
		c.grant(c.queue.Pop().Value, now)
	}
}

// shed refuses the waiting requests whose predicted wait and duration exceed the time
// to their deadlines, and all requests if the target has no slots.
func (c *Controller) shed(now time.Time, slots int, arriving *Ticket) {
	free := max(slots-c.slotsInUse, 0)
	interval := c.releaseInterval(now, slots)
	late := func(item *limit.Item[*Ticket], ahead int) bool {
		t := item.Value
		duration := seconds(c.meanHold + c.holdDeviation)
		if c.samples == 0 {
			duration = assumedDuration(t.call.Deadline.Sub(now))
			interval = duration / time.Duration(max(slots, 1))
		}
		wait := time.Duration(max(ahead-free+1, 0)) * interval
		if t == arriving {
			wait *= headroom
		}
		return slots <= 0 || now.Add(wait+duration).After(t.call.Deadline)
	}
	for _, item := range c.queue.Shed(late) {
		c.refuse(item.Value, now, interval)
	}
}

// assumedDuration is the duration assumed for a request while none has been
// measured: a quarter of the time to its deadline.
func assumedDuration(left time.Duration) time.Duration {
	return left / 4
}

// releaseInterval predicts the time between two releases of a slot: the usual
// interval, or a longer one if all slots are taken and none has been freed for a
// while.
func (c *Controller) releaseInterval(now time.Time, slots int) time.Duration {
	usual := seconds(c.meanHold / float64(max(slots, 1)))
	if c.slotsInUse < slots || c.slotsInUse == 0 {
		return usual
	}
	return max(usual, time.Duration(stallShare*float64(now.Sub(c.lastChange))))
}

func (c *Controller) grant(t *Ticket, now time.Time) {
	c.slotsInUse++
	c.lastChange = now
	c.admitted.Inc()
	t.grantedAt = now
	t.decision <- Decision{Admitted: true, Waited: now.Sub(t.arrivedAt)}
}

// refuse tells the caller to retry when the present queue is expected to be worked
// off. A random delay is added, so that callers don't return together.
func (c *Controller) refuse(t *Ticket, now time.Time, interval time.Duration) {
	c.refused.Inc()
	after := max(time.Duration(c.queue.Len()+1)*interval, minRetryAfter)
	after += time.Duration(jitter * c.rng.Float64() * float64(after))
	t.decision <- Decision{RetryAfter: after, Waited: now.Sub(t.arrivedAt)}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
