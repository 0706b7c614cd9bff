// Package beat implements the membership protocol. It sends and receives heartbeats
// within an availability zone and digests between zones, and keeps the membership state
// of package member up to date with them.
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

// Intervals and timeouts of the protocol.
const (
	// tickInterval is the interval at which Run checks which calls are due.
	tickInterval = 250 * time.Millisecond
	// callTimeout is the timeout of one call to a peer.
	callTimeout = time.Second
	// listTimeout is the timeout for reading the instance list.
	listTimeout = 3 * time.Second
)

// LocalState is the state of an instance that its heartbeats report, beyond its identity.
type LocalState struct {
	// Leaving is set once the instance accepts no new requests.
	Leaving bool
	// Up reports whether the backend server is healthy, and Load is its load. Only agents
	// set them.
	Up   bool
	Load track.Load
}

// Options configures an Exchange.
type Options struct {
	Self        track.Instance
	Incarnation track.Incarnation
	Timing      member.Timing
	Dialer      track.PeerDialer
	List        track.InstanceList
	Clock       clockwork.Clock
	Logger      *zap.Logger
	Metrics     *metrics.Set
	// TopicHandlers lists the handlers of the payloads that heartbeats carry for other packages.
	TopicHandlers []track.TopicHandler
	// Local returns the current state of this instance.
	Local func() LocalState
	// OnServersChanged, if set, is called with the replicas that may receive new requests whenever
	// they may have changed. It must not block.
	OnServersChanged func([]track.BackendServer)
}

// Exchange runs the membership protocol of one process: it holds the membership state,
// schedules the calls to peers, and answers their calls as a track.Peer. It is safe for
// concurrent use.
type Exchange struct {
	options  Options
	counters counters
	// wake makes Run check which calls are due before the next tick.
	wake chan struct{}

	mu sync.Mutex
	// mu guards all fields below.
	state   *member.State
	seq     uint64
	leaving bool
	// announcedUp and announcedLeaving are the values of LocalState.Up and LocalState.Leaving when
	// heartbeats to all entries were last scheduled because one of them had changed.
	announcedUp, announcedLeaving bool
	peerCalls                     map[track.InstanceID]*callState
	zoneCalls                     map[track.AvailabilityZone]*callState
	// readingList is set while the instance list is being read.
	readingList bool
}

// callState holds what is known of the calls to a peer, or to the entries of a zone.
type callState struct {
	// lastStart is the time at which the last call started. The zero time makes the next
	// call due.
	lastStart  time.Time
	inProgress bool
	// failures is the number of failed digest requests to the zone.
	failures int
}

// New returns an Exchange that knows of no peers. Run starts it.
func New(o Options) *Exchange {
	x := &Exchange{
		options:   o,
		wake:      make(chan struct{}, 1),
		state:     member.New(o.Self, o.Incarnation, o.Timing),
		peerCalls: make(map[track.InstanceID]*callState),
		zoneCalls: make(map[track.AvailabilityZone]*callState),
	}
	x.counters = newCounters(o.Metrics, x)
	return x
}

// Servers returns the replicas that may receive new requests.
func (x *Exchange) Servers() []track.BackendServer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Servers()
}

// Entries returns the live entries of this instance's availability zone.
func (x *Exchange) Entries() []track.EntryRef {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Entries()
}

// View returns the membership as it is shown to operators.
func (x *Exchange) View() member.View {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.View(x.options.Clock.Now())
}

// HandleLeavingRefusal records that an agent has refused a dispatch because it is leaving.
func (x *Exchange) HandleLeavingRefusal(id track.InstanceID, incarnation track.Incarnation) {
	x.mu.Lock()
	x.state.HandleLeavingRefusal(id, incarnation)
	x.mu.Unlock()
	x.publish()
}

// Heartbeat implements track.Peer. It handles a heartbeat from a peer.
func (x *Exchange) Heartbeat(_ context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	reply, err := x.handleHeartbeat(h)
	if err != nil {
		x.counters.heartbeatsDropped.Inc()
		if member.IsStale(err) {
			return reply, nil
		}
		return track.HeartbeatReply{}, track.Fail("handle heartbeat", track.Refused, err)
	}
	x.counters.heartbeatsReceived.Inc()
	if h.Leaving || len(h.ListedLeaving) > 0 {
		x.publish()
	}
	x.handlePayloads(h.From.ID, h.Payloads)
	reply.Payloads = x.payloadsFor(h.From)
	return reply, nil
}

// handleHeartbeat applies a heartbeat to the state and returns the reply to it.
func (x *Exchange) handleHeartbeat(h track.Heartbeat) (track.HeartbeatReply, error) {
	now := x.options.Clock.Now()
	local := x.options.Local()
	x.mu.Lock()
	defer x.mu.Unlock()
	err := x.state.HandleHeartbeat(now, h)
	reply := x.state.Reply(h)
	if x.options.Self.Role == track.RoleAgent {
		self := x.newHeartbeat(local)
		reply.AgentState = &self
	}
	return reply, err
}

// Digest implements track.Peer. It answers the digest request of an entry of another
// zone.
func (x *Exchange) Digest(_ context.Context, q track.DigestQuery) (track.Digest, error) {
	payloads := x.summaryPayloads()
	x.mu.Lock()
	defer x.mu.Unlock()
	digest := x.state.Digest(q)
	digest.Payloads = payloads
	return digest, nil
}

// publish passes the current replicas to Options.OnServersChanged and logs the membership changes.
func (x *Exchange) publish() {
	if x.options.OnServersChanged != nil {
		x.reportServers()
	}
	x.logEvents()
}

// reportServers calls OnServersChanged with the lock held, so that an older set of replicas never
// replaces a newer one.
func (x *Exchange) reportServers() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.options.OnServersChanged(x.state.Servers())
}

// logEvents logs the membership changes since the last call, sorted by instance. Agents
// log them at debug level, since the changes have no effect there.
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

// newHeartbeat returns the next heartbeat of this instance, without payloads. The caller
// holds mu.
func (x *Exchange) newHeartbeat(local LocalState) track.Heartbeat {
	x.seq++
	return track.Heartbeat{
		From:          x.options.Self,
		Incarnation:   x.options.Incarnation,
		Seq:           x.seq,
		Leaving:       local.Leaving || x.leaving,
		Up:            local.Up,
		Load:          local.Load,
		EntriesHash:   x.state.EntriesHash(),
		ListedLeaving: x.state.ListedLeaving(),
	}
}
