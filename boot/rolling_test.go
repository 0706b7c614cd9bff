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
	joining       = 2 * time.Second
	deskLatency   = 300 * time.Millisecond
	bookingPeriod = 100 * time.Millisecond
	// balancerLag is the time for which the balancer goes on sending requests to
	// an entry that is no longer ready.
	balancerLag = 900 * time.Millisecond
)

// An entry takes requests until the balancer has noticed; an agent takes none from
// the start. With work that lasts longer than what is left, some is always open.
var (
	entryStop = drain.Timeouts{DeregistrationDelay: time.Second, MaxDuration: time.Minute}
	agentStop = drain.Timeouts{MaxDuration: time.Minute}
)

// unit is a running instance that can be replaced.
type unit struct {
	id     track.InstanceID
	cancel context.CancelFunc
	// entry is nil for an agent, and agent for an entry.
	entry *boot.EntryCore
	agent *boot.AgentCore
}

// rolling is a deployment whose instances are replaced under load.
type rolling struct {
	*session
	mu      sync.Mutex
	entries []*unit
	agents  []*unit
	desks   []*desk.Desk
	// refused counts bookings that were sent again after NotRun; cut counts
	// answers that leave the outcome open.
	refused, cut, completed int
}

func (r *rolling) startEntry(ctx context.Context, n int) {
	ctx, cancel := context.WithCancel(ctx)
	id := fmt.Sprintf("entry-r%d", n)
	r.addEntry(ctx, id)
	u := &unit{id: track.InstanceID(id), cancel: cancel, entry: r.session.entries[len(r.session.entries)-1]}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, u)
}

func (r *rolling) startAgent(ctx context.Context, n int) {
	ctx, cancel := context.WithCancel(ctx)
	id := fmt.Sprintf("agent-r%d", n)
	d := desk.New(r.clock, desk.Settings{Latency: deskLatency})
	u := &unit{id: track.InstanceID(id), cancel: cancel, agent: r.addAgent(ctx, id, "pickup-desk", d)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents = append(r.agents, u)
	r.desks = append(r.desks, d)
}

// end stops the oldest instance gracefully and takes it away. The balancer and
// the list notice late.
func (r *rolling) end(ctx context.Context, units *[]*unit) {
	r.mu.Lock()
	old := (*units)[0]
	r.mu.Unlock()
	time.AfterFunc(balancerLag, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		*units = (*units)[1:]
	})
	stops := make(chan struct{}, 1)
	stops <- struct{}{}
	if old.entry != nil {
		assert.NilError(r.t, old.entry.Drain(ctx, entryStop, stops))
	} else {
		assert.NilError(r.t, old.agent.Drain(ctx, agentStop, stops))
	}
	old.cancel()
	r.network.Kill(string(old.id))
	r.transport.Serve(string(old.id), nil)
	r.list.MarkLeaving(old.id)
	r.pass(balancerLag + stagger)
	r.list.Remove(old.id)
}

// ready returns the entry that the balancer gives the nth request.
func (r *rolling) ready(n int) *boot.EntryCore {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[n%len(r.entries)].entry
}

// bookOnce sends a booking until it is done, each time through another entry.
func (r *rolling) bookOnce(n int) {
	const tries = 5
	for try := range tries {
		request := httptest.NewRequest(http.MethodPost, "/services/pickup-desk/bookings", strings.NewReader(fmt.Sprintf(`{"Key":"key-%d;"}`, n)))
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("Idempotency-Key", fmt.Sprintf("key-%d", n))
		if try == 0 {
			request.Header.Set("Filberttrack-First-Send", "true")
		}
		recorder := httptest.NewRecorder()
		r.ready(n+try).Callers().ServeHTTP(recorder, request)
		r.mu.Lock()
		switch {
		case recorder.Code == http.StatusCreated:
			r.completed++
			r.mu.Unlock()
			return
		case recorder.Header().Get("Filberttrack-Outcome") == "NotRun":
			r.refused++
		default:
			r.cut++
			r.t.Logf("key-%d: %d %s", n, recorder.Code, recorder.Body)
		}
		r.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// TestRollingReplacements replaces 100 instances one after the other, entries and
// agents in turn, while bookings go on: none is cut off and none is doubled.
func TestRollingReplacements(t *testing.T) {
	const replacements = 100
	inZone(t, 0, func(ctx context.Context, x *session) {
		r := &rolling{session: x}
		for n := range 3 {
			x.pass(stagger)
			r.startEntry(ctx, n)
			x.pass(stagger)
			r.startAgent(ctx, n)
		}
		x.pass(joining)
		var load sync.WaitGroup
		loading, stop := context.WithCancel(ctx)
		sent := 0
		load.Go(func() {
			for ; loading.Err() == nil; sent++ {
				n := sent
				load.Go(func() { r.bookOnce(n) })
				time.Sleep(bookingPeriod)
			}
		})
		for n := range replacements {
			if n%2 == 0 {
				r.startEntry(ctx, 3+n)
				x.pass(joining)
				r.end(ctx, &r.entries)
			} else {
				r.startAgent(ctx, 3+n)
				x.pass(joining)
				r.end(ctx, &r.agents)
			}
		}
		stop()
		load.Wait()
		booked := make(map[string]int)
		for _, d := range append(r.desks, x.desks...) {
			for _, item := range d.Bookings() {
				booked[string(item.Body)]++
			}
		}
		t.Logf("%d bookings, %d completed, %d cut, %d sent again after NotRun", sent, r.completed, r.cut, r.refused)
		assert.Equal(t, r.completed, sent)
		assert.Equal(t, r.cut, 0)
		assert.Equal(t, len(booked), sent)
		for key, n := range booked {
			assert.Equal(t, n, 1, key)
		}
	})
}
