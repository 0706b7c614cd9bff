// Package beat exchanges heartbeats within an availability zone and digests
// between zones, and keeps the state of package member up to date with them.
package beat

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/member"
)

// The rhythm of the exchange.
const (
	// tickInterval is the time between looks at what is due.
	tickInterval = 250 * time.Millisecond
	// callTimeout bounds one message to a peer.
	callTimeout = time.Second
	// listTimeout bounds one reading of the instance list.
	listTimeout = 3 * time.Second
)

// Local is what an instance tells about itself beyond its identity.
type Local struct {
	// Leaving is set once the instance takes no new work.
	Leaving bool
	// Up and Load describe the backend server; agents only.
	Up   bool
	Load track.Load
}

// Options holds what an exchange works with.
type Options struct {
	Self        track.Instance
	Incarnation track.Incarnation
	Timing      member.Timing
	Dialer      track.PeerDialer
	List        track.InstanceList
	Clock       clockwork.Clock
	Logger      *zap.Logger
	Metrics     *metrics.Set
	// Topics lists the handlers of payloads for other parts.
	Topics []track.TopicHandler
	// Local returns what to tell about this instance.
	Local func() Local
	// Update, if set, receives the replicas that may get new work whenever they
	// may have changed. It must not block.
	Update func([]track.BackendServer)
}

// Exchange is the membership of one process: the state, who is told what when,
// and the answers to peers. It implements track.Peer for the peers that call.
type Exchange struct {
	options Options
	counts  counts
	// wake has Run look at what is due before the next tick.
	wake chan struct{}

	mu sync.Mutex
	// state and all below are guarded by mu.
	state   *member.State
	seq     uint64
	leaving bool
	// toldUp and toldLeaving are what the latest news to all entries said.
	toldUp, toldLeaving bool
	peers               map[track.InstanceID]*schedule
	zones               map[track.AvailabilityZone]*schedule
	reading             bool
}

// schedule says when a peer or a zone was last called.
type schedule struct {
	last time.Time
	// busy is set while a call is in progress.
	busy bool
	// failures counts the calls that failed.
	failures int
}

// New returns an exchange that has heard nobody. Run starts it.
func New(o Options) *Exchange {
	x := &Exchange{
		options: o,
		wake:    make(chan struct{}, 1),
		state:   member.New(o.Self, o.Incarnation, o.Timing),
		peers:   make(map[track.InstanceID]*schedule),
		zones:   make(map[track.AvailabilityZone]*schedule),
	}
	x.counts = newCounts(o.Metrics, x)
	return x
}

// Servers returns the replicas that may get new work.
func (x *Exchange) Servers() []track.BackendServer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Servers()
}

// Entries returns the live entries of the own zone.
func (x *Exchange) Entries() []track.EntryRef {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Entries()
}

// View returns what operators see.
func (x *Exchange) View() member.View {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.View(x.options.Clock.Now())
}

// RefusedLeaving takes the news that an agent refused a dispatch because it is
// leaving.
func (x *Exchange) RefusedLeaving(id track.InstanceID, incarnation track.Incarnation) {
	x.mu.Lock()
	x.state.RefusedLeaving(id, incarnation)
	x.mu.Unlock()
	x.publish()
}

// Heartbeat implements track.Peer for a peer of the zone.
func (x *Exchange) Heartbeat(_ context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	now := x.options.Clock.Now()
	local := x.options.Local()
	x.mu.Lock()
	err := x.state.Heard(now, h)
	reply := x.state.Reply(h)
	if x.options.Self.Role == track.RoleAgent {
		self := x.heartbeat(local)
		reply.Self = &self
	}
	x.mu.Unlock()
	if err != nil {
		x.counts.dropped.Inc()
		if member.IsStale(err) {
			return reply, nil
		}
		return track.HeartbeatReply{}, track.Fail("take heartbeat", track.Refused, err)
	}
	x.counts.received.Inc()
	if h.Leaving || len(h.Marked) > 0 {
		x.publish()
	}
	x.receive(h.From.ID, h.Payloads)
	reply.Payloads = x.offers(h.From)
	return reply, nil
}

// Digest implements track.Peer for an entry of another zone.
func (x *Exchange) Digest(_ context.Context, q track.DigestQuery) (track.Digest, error) {
	payloads := x.summaries()
	x.mu.Lock()
	defer x.mu.Unlock()
	digest := x.state.Digest(q)
	digest.Payloads = payloads
	return digest, nil
}

// publish hands the replicas to the router and logs what changed.
func (x *Exchange) publish() {
	if x.options.Update != nil {
		// The update stays under the lock, so that a later set is never overtaken.
		x.mu.Lock()
		x.options.Update(x.state.Servers())
		x.mu.Unlock()
	}
	x.logEvents()
}

// logEvents logs what changed since the last call, sorted by instance. Changes
// that an agent sees decide nothing and are logged at debug level.
func (x *Exchange) logEvents() {
	x.mu.Lock()
	events := x.state.TakeEvents()
	x.mu.Unlock()
	slices.SortStableFunc(events, func(a, b member.Event) int { return cmp.Compare(a.Instance, b.Instance) })
	level := zap.InfoLevel
	if x.options.Self.Role == track.RoleAgent {
		level = zap.DebugLevel
	}
	for _, e := range events {
		x.options.Logger.Log(level, "membership changed",
			zap.String("Event", string(e.Kind)),
			zap.String("Instance", string(e.Instance)),
			zap.Uint64("Incarnation", uint64(e.Incarnation)),
			zap.String("Zone", string(e.Zone)),
			zap.String("Reason", e.Reason))
	}
}

// heartbeat returns the next heartbeat, without payloads. The caller holds mu.
func (x *Exchange) heartbeat(local Local) track.Heartbeat {
	x.seq++
	return track.Heartbeat{
		From:        x.options.Self,
		Incarnation: x.options.Incarnation,
		Seq:         x.seq,
		Leaving:     local.Leaving || x.leaving,
		Up:          local.Up,
		Load:        local.Load,
		Roster:      x.state.Roster(),
		Marked:      x.state.Marked(),
	}
}
