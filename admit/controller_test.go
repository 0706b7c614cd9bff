package admit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/admit"
)

const (
	slots = 40
	// serviceTime is the mean duration of a request.
	serviceTime = 200 * time.Millisecond
	timeout     = 2 * time.Second
	// capacity is the number of requests per second that the slots can serve.
	capacity = slots / 0.2
)

// newController returns a controller with n slots.
func newController(clock clockwork.Clock, n *int) *admit.Controller {
	rng := rand.New(rand.NewPCG(5, 1))
	return admit.NewController(clock, rng, "pickup-desk", func() int { return *n }, metrics.NewSet())
}

// request returns a request that must end within the timeout. A booking is not
// idempotent.
func request(clock clockwork.Clock, account string, booking bool) *track.Call {
	return &track.Call{
		Account: track.ClientAccount{Name: account, Weight: 1}, NonIdempotent: booking,
		Profile: track.Profile{Priority: track.PriorityNormal}, Deadline: clock.Now().Add(timeout),
	}
}

// event is a function of the simulation that runs at a given time.
type event struct {
	at  time.Time
	run func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// requestCounts counts the requests of one account, of one kind, or of all.
type requestCounts struct {
	// good requests end before their deadline, late ones after it.
	offered, good, late, refused int
	// lateRefusals is the number of refusals after more than half of the timeout.
	lateRefusals int
	// longestWait is the longest wait of a refused request.
	longestWait time.Duration
}

// overload simulates load requests per second for the given time. smallLoad of them
// come from the account "small", the rest from "greedy"; one in ten is a booking.
func overload(seed uint64, load, smallLoad float64, length time.Duration) map[string]*requestCounts {
	rng := rand.New(rand.NewPCG(seed, 3))
	clock := clockwork.NewFakeClock()
	n := slots
	controller := newController(clock, &n)
	start := clock.Now()
	var queue events
	at := func(d time.Duration, run func()) { heap.Push(&queue, event{clock.Now().Add(d), run}) }
	counts := map[string]*requestCounts{}
	count := func(kind string) *requestCounts {
		if counts[kind] == nil {
			counts[kind] = &requestCounts{}
		}
		return counts[kind]
	}
	type pending struct {
		ticket *admit.Ticket
		call   *track.Call
		kinds  []string
	}
	var waiting []pending
	poll := func() {
		kept := waiting[:0]
		for _, w := range waiting {
			select {
			case d := <-w.ticket.Decided():
				if !d.Admitted {
					for _, kind := range w.kinds {
						count(kind).refused++
						if d.Waited > timeout/2 {
							count(kind).lateRefusals++
						}
						count(kind).longestWait = max(count(kind).longestWait, d.Waited)
					}
					continue
				}
				duration := time.Duration(float64(serviceTime) * (0.5 + 0.5*rng.ExpFloat64()))
				at(duration, func() {
					for _, kind := range w.kinds {
						if clock.Now().After(w.call.Deadline) {
							count(kind).late++
						} else {
							count(kind).good++
						}
					}
					controller.Release(w.ticket)
				})
			default:
				kept = append(kept, w)
			}
		}
		waiting = kept
	}
	var arrive func()
	arrive = func() {
		account, kind := "greedy", "lookup"
		if rng.Float64() < smallLoad/load {
			account = "small"
		}
		if rng.IntN(10) == 0 {
			kind = "booking"
		}
		call := request(clock, account, kind == "booking")
		kinds := []string{account, kind, "all"}
		for _, k := range kinds {
			count(k).offered++
		}
		waiting = append(waiting, pending{controller.Enqueue(call), call, kinds})
		at(time.Duration(rng.ExpFloat64()/load*float64(time.Second)), arrive)
	}
	at(0, arrive)
	for queue[0].at.Before(start.Add(length)) {
		e := heap.Pop(&queue).(event)
		clock.Advance(e.at.Sub(clock.Now()))
		e.run()
		poll()
	}
	return counts
}

func TestGoodputUnderOverload(t *testing.T) {
	const (
		length     = 40 * time.Second
		minGoodput = 0.9
		// maxLateRefusals is the share of refusals that may come after half of the timeout.
		maxLateRefusals = 0.001
		smallLoad       = 20
	)
	for _, load := range []float64{2, 4} {
		t.Run(fmt.Sprintf("%.0fx", load), func(t *testing.T) {
			got := overload(9, load*capacity, smallLoad, length)
			goodput := float64(got["all"].good) / (capacity * length.Seconds())
			for kind, c := range got {
				t.Logf("%-8s %+v", kind, *c)
			}
			t.Logf("goodput %.3f of capacity", goodput)
			assert.Assert(t, goodput >= minGoodput)
			small := got["small"]
			assert.Assert(t, float64(small.good) >= 0.95*float64(small.offered),
				"an account within its fair share must be served")
			booking := got["booking"]
			assert.Assert(t, float64(booking.refused) <= 0.01*float64(booking.offered), "bookings must be refused last")
			assert.Assert(t, maxLateRefusals*float64(got["all"].refused) >= float64(got["all"].lateRefusals),
				"refusals must come early")
		})
	}
}

func TestRefusesAtOnceIfDeadlineWouldBeMissed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 1
	controller := newController(clock, &n)
	first := controller.Enqueue(request(clock, "a", false))
	assert.Assert(t, (<-first.Decided()).Admitted)
	clock.Advance(1500 * time.Millisecond)
	controller.Release(first)
	second := controller.Enqueue(request(clock, "a", false))
	assert.Assert(t, (<-second.Decided()).Admitted)
	d := <-controller.Enqueue(request(clock, "a", false)).Decided()
	assert.Assert(t, !d.Admitted, "the request would end after its deadline")
	assert.Equal(t, d.Waited, time.Duration(0))
	assert.Assert(t, d.RetryAfter >= time.Second && d.RetryAfter <= 5*time.Second)
}

func TestRefusesAtOnceWithoutSlots(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 0
	assert.Assert(t, !(<-newController(clock, &n).Enqueue(request(clock, "a", true)).Decided()).Admitted)
}

// TestRefusesWaitingRequestsInStall has all replicas hang. Waiting requests must be
// refused well before their deadlines.
func TestRefusesWaitingRequestsInStall(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 1
	controller := newController(clock, &n)
	measureOneRequest(clock, controller)
	controller.Enqueue(request(clock, "a", false))
	waiting := controller.Enqueue(request(clock, "a", false))
	const tick = 50 * time.Millisecond
	for range timeout / tick {
		clock.Advance(tick)
		controller.Reevaluate()
		select {
		case d := <-waiting.Decided():
			assert.Assert(t, !d.Admitted)
			assert.Assert(t, d.Waited <= timeout*3/4, "%s", d.Waited)
			return
		default:
		}
	}
	t.Fatal("not refused before its deadline")
}

// measureOneRequest lets the controller measure the duration of one request.
func measureOneRequest(clock *clockwork.FakeClock, controller *admit.Controller) {
	ticket := controller.Enqueue(request(clock, "a", false))
	clock.Advance(serviceTime)
	controller.Release(ticket)
}

func TestLeaveFreesSlotOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 1
	controller := newController(clock, &n)
	measureOneRequest(clock, controller)
	first := controller.Enqueue(request(clock, "a", false))
	second, third := controller.Enqueue(request(clock, "a", false)), controller.Enqueue(request(clock, "a", false))
	controller.Cancel(second)
	controller.Cancel(first)
	controller.Cancel(first)
	controller.Release(first)
	assert.Assert(t, (<-third.Decided()).Admitted)
	fourth := controller.Enqueue(request(clock, "a", false))
	select {
	case <-fourth.Decided():
		t.Fatal("a slot was freed more than once")
	default:
	}
}

func TestNonIdempotentRequestGoesFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 1
	controller := newController(clock, &n)
	running := controller.Enqueue(request(clock, "a", false))
	lookup, booking := controller.Enqueue(request(clock, "a", false)), controller.Enqueue(request(clock, "a", true))
	controller.Release(running)
	assert.Assert(t, (<-booking.Decided()).Admitted)
	assert.Equal(t, len(lookup.Decided()), 0)
}

// TestWindowConvergesToCapacity has a replica whose latency rises in proportion to
// the attempts in flight once they exceed its capacity. The window must settle near
// the capacity.
func TestWindowConvergesToCapacity(t *testing.T) {
	for _, concurrency := range []int{4, 30, 200} {
		t.Run(fmt.Sprint(concurrency), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			w := admit.NewWindow(0)
			sum, n := 0, 0
			for i := range 1000 * concurrency {
				clock.Advance(serviceTime / time.Duration(concurrency))
				inFlight := w.Limit()
				latency := serviceTime * time.Duration(max(inFlight, concurrency)) / time.Duration(concurrency)
				w.Observe(admit.Sample{InFlight: inFlight, FirstByte: latency, Overloaded: inFlight > 3*concurrency}, clock.Now())
				if i > 200*concurrency {
					sum, n = sum+w.Limit(), n+1
				}
			}
			mean := float64(sum) / float64(n)
			t.Logf("capacity %d: window %.1f", concurrency, mean)
			assert.Assert(t, mean >= 0.9*float64(concurrency) && mean <= 3*float64(concurrency))
		})
	}
}

func TestWindowKeepsToReportedCapacity(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := admit.NewWindow(8)
	for range 100 {
		clock.Advance(serviceTime)
		w.Observe(admit.Sample{InFlight: w.Limit(), FirstByte: serviceTime}, clock.Now())
	}
	assert.Equal(t, w.Limit(), 8)
	for range 100 {
		clock.Advance(serviceTime)
		w.Observe(admit.Sample{InFlight: 1, Overloaded: true}, clock.Now())
	}
	assert.Equal(t, w.Limit(), 1)
}

func ExampleController() {
	clock := clockwork.NewFakeClock()
	n := 1
	controller := newController(clock, &n)
	ticket := controller.Enqueue(request(clock, "rivera-mills", false))
	if d := <-ticket.Decided(); d.Admitted {
		defer controller.Release(ticket)
	}
	fmt.Println(controller.ExpectedDuration())
	// Output: 0s
}
