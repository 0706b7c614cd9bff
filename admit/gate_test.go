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
	slots   = 40
	service = 200 * time.Millisecond
	timeout = 2 * time.Second
	// capacity is the number of requests a second that the slots serve.
	capacity = slots / 0.2
)

func newGate(clock clockwork.Clock, n *int) *admit.Gate {
	rng := rand.New(rand.NewPCG(5, 1))
	return admit.NewGate(clock, rng, "pickup-desk", func() int { return *n }, metrics.NewSet())
}

func request(clock clockwork.Clock, account string, booking bool) *track.Call {
	return &track.Call{
		Account: track.ClientAccount{Name: account, Weight: 1}, NonIdempotent: booking,
		Profile: track.Profile{Priority: track.PriorityNormal}, Deadline: clock.Now().Add(timeout),
	}
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	run func()
}

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

// tally counts the requests of one kind.
type tally struct {
	offered, good, late, refused int
	// held is the number of refusals after more than half of the timeout, waited
	// the longest wait of a refused request.
	held   int
	waited time.Duration
}

// overload offers load requests a second for some seconds, of which small come
// from a small account, and one in ten is a booking.
func overload(seed uint64, load, small float64, length time.Duration) map[string]*tally {
	rng := rand.New(rand.NewPCG(seed, 3))
	clock := clockwork.NewFakeClock()
	n := slots
	gate := newGate(clock, &n)
	start := clock.Now()
	var queue events
	at := func(d time.Duration, run func()) { heap.Push(&queue, event{clock.Now().Add(d), run}) }
	tallies := map[string]*tally{}
	count := func(kind string) *tally {
		if tallies[kind] == nil {
			tallies[kind] = &tally{}
		}
		return tallies[kind]
	}
	type open struct {
		ticket *admit.Ticket
		call   *track.Call
		kinds  []string
	}
	var waiting []open
	poll := func() {
		kept := waiting[:0]
		for _, w := range waiting {
			select {
			case d := <-w.ticket.Decided():
				if !d.Admitted {
					for _, kind := range w.kinds {
						count(kind).refused++
						if d.Waited > timeout/2 {
							count(kind).held++
						}
						count(kind).waited = max(count(kind).waited, d.Waited)
					}
					continue
				}
				hold := time.Duration(float64(service) * (0.5 + 0.5*rng.ExpFloat64()))
				at(hold, func() {
					for _, kind := range w.kinds {
						if clock.Now().After(w.call.Deadline) {
							count(kind).late++
						} else {
							count(kind).good++
						}
					}
					gate.Done(w.ticket)
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
		if rng.Float64() < small/load {
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
		waiting = append(waiting, open{gate.Arrive(call), call, kinds})
		at(time.Duration(rng.ExpFloat64()/load*float64(time.Second)), arrive)
	}
	at(0, arrive)
	for queue[0].at.Before(start.Add(length)) {
		e := heap.Pop(&queue).(event)
		clock.Advance(e.at.Sub(clock.Now()))
		e.run()
		poll()
	}
	return tallies
}

func TestTwiceTheCapacity(t *testing.T) {
	const (
		length     = 40 * time.Second
		minGoodput = 0.9
		// maxHeld is the share of refusals that may come after half of the timeout.
		maxHeld   = 0.001
		smallLoad = 20
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
			assert.Assert(t, float64(small.good) >= 0.95*float64(small.offered), "the small account is within its share")
			booking := got["booking"]
			assert.Assert(t, float64(booking.refused) <= 0.01*float64(booking.offered), "bookings are shed last")
			assert.Assert(t, maxHeld*float64(got["all"].refused) >= float64(got["all"].held), "a refusal must not wait for the deadline")
		})
	}
}

func TestRefusesAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 1
	gate := newGate(clock, &n)
	first := gate.Arrive(request(clock, "a", false))
	assert.Assert(t, (<-first.Decided()).Admitted)
	clock.Advance(1500 * time.Millisecond)
	gate.Done(first)
	second := gate.Arrive(request(clock, "a", false))
	assert.Assert(t, (<-second.Decided()).Admitted)
	d := <-gate.Arrive(request(clock, "a", false)).Decided()
	assert.Assert(t, !d.Admitted, "two durations don't fit the deadline")
	assert.Equal(t, d.Waited, time.Duration(0))
	assert.Assert(t, d.RetryAfter >= time.Second && d.RetryAfter <= 5*time.Second)
}

func TestNoReplicaRefusesAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 0
	assert.Assert(t, !(<-newGate(clock, &n).Arrive(request(clock, "a", true)).Decided()).Admitted)
}

// TestStallIsNoticed has all replicas hang: those who wait must hear so well
// before their deadline.
func TestStallIsNoticed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 1
	gate := newGate(clock, &n)
	warm(clock, gate)
	gate.Arrive(request(clock, "a", false))
	waiting := gate.Arrive(request(clock, "a", false))
	const tick = 50 * time.Millisecond
	for range timeout / tick {
		clock.Advance(tick)
		gate.Refresh()
		select {
		case d := <-waiting.Decided():
			assert.Assert(t, !d.Admitted)
			assert.Assert(t, d.Waited <= timeout*3/4, "%s", d.Waited)
			return
		default:
		}
	}
	t.Fatal("held until its deadline")
}

// warm lets the gate see the duration of one request.
func warm(clock *clockwork.FakeClock, gate *admit.Gate) {
	ticket := gate.Arrive(request(clock, "a", false))
	clock.Advance(service)
	gate.Done(ticket)
}

func TestLeaveFreesTheSlot(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 1
	gate := newGate(clock, &n)
	warm(clock, gate)
	first := gate.Arrive(request(clock, "a", false))
	second, third := gate.Arrive(request(clock, "a", false)), gate.Arrive(request(clock, "a", false))
	gate.Leave(second)
	gate.Leave(first)
	gate.Leave(first)
	gate.Done(first)
	assert.Assert(t, (<-third.Decided()).Admitted)
	fourth := gate.Arrive(request(clock, "a", false))
	select {
	case <-fourth.Decided():
		t.Fatal("a slot was freed twice")
	default:
	}
}

func TestBookingGoesFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := 1
	gate := newGate(clock, &n)
	running := gate.Arrive(request(clock, "a", false))
	lookup, booking := gate.Arrive(request(clock, "a", false)), gate.Arrive(request(clock, "a", true))
	gate.Done(running)
	assert.Assert(t, (<-booking.Decided()).Admitted)
	assert.Equal(t, len(lookup.Decided()), 0)
}

// TestWindowFindsCapacity has a replica whose latency doubles above a number of
// attempts in flight.
func TestWindowFindsCapacity(t *testing.T) {
	for _, fits := range []int{4, 30, 200} {
		t.Run(fmt.Sprint(fits), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			w := admit.NewWindow(0)
			sum, n := 0, 0
			for i := range 1000 * fits {
				clock.Advance(service / time.Duration(fits))
				inFlight := w.Limit()
				latency := service * time.Duration(max(inFlight, fits)) / time.Duration(fits)
				w.Observe(admit.Sample{InFlight: inFlight, FirstByte: latency, Overloaded: inFlight > 3*fits}, clock.Now())
				if i > 200*fits {
					sum, n = sum+w.Limit(), n+1
				}
			}
			mean := float64(sum) / float64(n)
			t.Logf("fits %d: window %.1f", fits, mean)
			assert.Assert(t, mean >= 0.9*float64(fits) && mean <= 3*float64(fits))
		})
	}
}

func TestWindowKeepsToReportedCapacity(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := admit.NewWindow(8)
	for range 100 {
		clock.Advance(service)
		w.Observe(admit.Sample{InFlight: w.Limit(), FirstByte: service}, clock.Now())
	}
	assert.Equal(t, w.Limit(), 8)
	for range 100 {
		clock.Advance(service)
		w.Observe(admit.Sample{InFlight: 1, Overloaded: true}, clock.Now())
	}
	assert.Equal(t, w.Limit(), 1)
}

func ExampleGate() {
	clock := clockwork.NewFakeClock()
	n := 1
	gate := newGate(clock, &n)
	ticket := gate.Arrive(request(clock, "rivera-mills", false))
	if d := <-ticket.Decided(); d.Admitted {
		defer gate.Done(ticket)
	}
	fmt.Println(gate.Expected())
	// Output: 0s
}
