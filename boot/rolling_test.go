package boot_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/boot"
	"filberttrack.example/track/drain"
	"filberttrack.example/track/stand/desk"
)

// Times of a rolling replacement.
const (
	// joinTime is the time from the start of an instance to the stop of the one that
	// it replaces.
	joinTime      = 2 * time.Second
	deskLatency   = 300 * time.Millisecond
	bookingPeriod = 100 * time.Millisecond
	// balancerLag is how long the load balancer in front goes on sending requests to
	// an entry that is no longer ready.
	balancerLag = 900 * time.Millisecond
)

// A stopping entry accepts requests until the load balancer has noticed; a stopping
// agent accepts none. A booking takes longer than the period between bookings, so that
// some are always open.
var (
	entryStop = drain.Timeouts{DeregistrationDelay: time.Second, MaxDuration: time.Minute}
	agentStop = drain.Timeouts{MaxDuration: time.Minute}
)

// replaceable is a running instance that the test can replace.
type replaceable struct {
	id     track.InstanceID
	cancel context.CancelFunc
	// entry is nil for an agent, and agent for an entry.
	entry *boot.EntryCore
	agent *boot.AgentCore
}

// rollingDeployment is a simulated deployment whose instances are replaced under load.
type rollingDeployment struct {
	*simulation
	mu      sync.Mutex
	entries []*replaceable
	agents  []*replaceable
	desks   []*desk.BookingService
	// refused counts responses with the outcome NotRun, after which the booking is sent
	// again; unknown counts those that leave the outcome open.
	refused, unknown, completed int
}

func (r *rollingDeployment) startEntry(ctx context.Context, n int) {
	ctx, cancel := context.WithCancel(ctx)
	id := fmt.Sprintf("entry-r%d", n)
	r.addEntry(ctx, id)
	instance := &replaceable{
		id: track.InstanceID(id), cancel: cancel, entry: r.simulation.entries[len(r.simulation.entries)-1],
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, instance)
}

func (r *rollingDeployment) startAgent(ctx context.Context, n int) {
	ctx, cancel := context.WithCancel(ctx)
	id := fmt.Sprintf("agent-r%d", n)
	d := desk.New(r.clock, desk.Settings{Latency: deskLatency})
	instance := &replaceable{id: track.InstanceID(id), cancel: cancel, agent: r.addAgent(ctx, id, "pickup-desk", d)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents = append(r.agents, instance)
	r.desks = append(r.desks, d)
}

// stopOldest stops the oldest instance gracefully and removes it. The load balancer and
// the instance list notice late.
func (r *rollingDeployment) stopOldest(ctx context.Context, instances *[]*replaceable) {
	r.mu.Lock()
	oldest := (*instances)[0]
	r.mu.Unlock()
	time.AfterFunc(balancerLag, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		*instances = (*instances)[1:]
	})
	stops := make(chan struct{}, 1)
	stops <- struct{}{}
	if oldest.entry != nil {
		assert.NilError(r.t, oldest.entry.Drain(ctx, entryStop, stops))
	} else {
		assert.NilError(r.t, oldest.agent.Drain(ctx, agentStop, stops))
	}
	oldest.cancel()
	r.network.Kill(string(oldest.id))
	r.transport.Serve(string(oldest.id), nil)
	r.list.MarkLeaving(oldest.id)
	r.advance(balancerLag + stagger)
	r.list.Remove(oldest.id)
}

// entryFor returns the entry to which the load balancer sends the nth request.
func (r *rollingDeployment) entryFor(n int) *boot.EntryCore {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[n%len(r.entries)].entry
}

// bookUntilCompleted sends a booking until it is completed, each time through another
// entry and at most five times.
func (r *rollingDeployment) bookUntilCompleted(n int) {
	const maxAttempts = 5
	for attempt := range maxAttempts {
		request := httptest.NewRequest(
			http.MethodPost, "/services/pickup-desk/bookings", strings.NewReader(fmt.Sprintf(`{"Key":"key-%d;"}`, n)),
		)
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("Idempotency-Key", fmt.Sprintf("key-%d", n))
		if attempt == 0 {
			request.Header.Set("Filberttrack-First-Send", "true")
		}
		recorder := httptest.NewRecorder()
		r.entryFor(n+attempt).ClientHandler().ServeHTTP(recorder, request)
		r.mu.Lock()
		switch {
		case recorder.Code == http.StatusCreated:
			r.completed++
			r.mu.Unlock()
			return
		case recorder.Header().Get("Filberttrack-Outcome") == "NotRun":
			r.refused++
		default:
			r.unknown++
			r.t.Logf("key-%d: %d %s", n, recorder.Code, recorder.Body)
		}
		r.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// Replaces 100 instances one after the other, entries and agents in turn, under a
// steady load of bookings. No booking may be cut off or carried out twice.
func TestRollingReplacements(t *testing.T) {
	const replacements = 100
	runSimulation(t, 0, func(ctx context.Context, sim *simulation) {
		r := &rollingDeployment{simulation: sim}
		for n := range 3 {
			sim.advance(stagger)
			r.startEntry(ctx, n)
			sim.advance(stagger)
			r.startAgent(ctx, n)
		}
		sim.advance(joinTime)
		var load sync.WaitGroup
		loadCtx, stop := context.WithCancel(ctx)
		sent := 0
		load.Go(func() {
			for ; loadCtx.Err() == nil; sent++ {
				n := sent
				load.Go(func() { r.bookUntilCompleted(n) })
				time.Sleep(bookingPeriod)
			}
		})
		for n := range replacements {
			if n%2 == 0 {
				r.startEntry(ctx, 3+n)
				sim.advance(joinTime)
				r.stopOldest(ctx, &r.entries)
			} else {
				r.startAgent(ctx, 3+n)
				sim.advance(joinTime)
				r.stopOldest(ctx, &r.agents)
			}
		}
		stop()
		load.Wait()
		booked := make(map[string]int)
		for _, d := range append(r.desks, sim.desks...) {
			for _, item := range d.Bookings() {
				booked[string(item.Body)]++
			}
		}
		t.Logf("%d bookings, %d completed, %d with an unknown outcome, %d sent again after NotRun",
			sent, r.completed, r.unknown, r.refused)
		assert.Equal(t, r.completed, sent)
		assert.Equal(t, r.unknown, 0)
		assert.Equal(t, len(booked), sent)
		for key, n := range booked {
			assert.Equal(t, n, 1, key)
		}
	})
}
