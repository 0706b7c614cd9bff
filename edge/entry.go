// Package edge assembles the processes that serve configured routes: entries in
// front of replicas, and agents beside model engines.
package edge

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/fleet"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/keyed"
	"filberttrack.example/track/latest"
	"filberttrack.example/track/proxy"
	"filberttrack.example/track/retry"
)

const (
	// configWait is the time for which a read of the configuration waits for news.
	configWait = 25 * time.Second
	// membersPause and membersMaxPause bound the time between two reads of the
	// members. All processes start at about the same time; later ones make themselves
	// known by their notes.
	membersPause    = 500 * time.Millisecond
	membersMaxPause = 30 * time.Second
	// replicasPause is the time between two reads of the replicas, which report
	// about once a second each; a change has to be known within two seconds.
	replicasPause = 600 * time.Millisecond
	// leaderAge is the age up to which what the log told an entry is good for others.
	leaderAge = 2*replicasPause + 300*time.Millisecond
	// noteInterval is the time between two notes of an entry. Counts of requests in
	// flight are that old at most.
	noteInterval = 100 * time.Millisecond
	// tickInterval is the time between two looks at what time alone changes.
	tickInterval = 50 * time.Millisecond
)

// Topics names the platform's topics.
type Topics struct {
	Config   string
	Replicas string
	// ConfigKey is the key of the configuration in its topic.
	ConfigKey string
}

// Options holds what an Entry is made of.
type Options struct {
	Self   track.InstanceID
	Zone   track.AvailabilityZone
	Member Member
	Seeds  []string

	Log           track.KeyedLog
	Topics        Topics
	DecodeConfig  latest.Decode
	DecodeReplica fleet.Decode
	Caller        track.ReplicaCaller
	Refuse        func(http.ResponseWriter, proxy.Refusal)
	Notes         net.PacketConn
	Retries       retry.ServiceLimit
	// MaxHold is the longest time for which an event of a stream is held.
	MaxHold time.Duration

	Clock   clockwork.Clock
	Draw    func() float64
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Entry is the core of an entry, without listeners.
type Entry struct {
	options  Options
	members  *members
	holder   *latest.Holder
	fleet    *fleet.Fleet
	node     *gossip.Node
	proxy    *proxy.Proxy
	blame    *blame.Tracker
	config   *keyed.Follower
	replicas *keyed.Follower
	relay    *keyed.Relay
	list     *keyed.Follower
	leaving  atomic.Bool

	mu      sync.Mutex
	pools   map[string]*batch.Pool
	zones   map[track.AvailabilityZone]zoneSum
	ranks   map[string]rankSeen
	budgets map[string]*retry.ServiceBudget
	listed  []track.Replica
}

// NewEntry returns an entry that knows nothing yet.
func NewEntry(o Options) *Entry {
	e := &Entry{
		options: o,
		members: newMembers(o.Self, o.Seeds, o.Logger),
		pools:   make(map[string]*batch.Pool),
		zones:   make(map[track.AvailabilityZone]zoneSum),
		ranks:   make(map[string]rankSeen),
		budgets: make(map[string]*retry.ServiceBudget),
	}
	e.holder = latest.New(o.DecodeConfig, e.configured, o.Logger)
	e.fleet = fleet.New(fleet.Options{
		Decode: o.DecodeReplica, Away: e.logAway,
		Changed: e.listChanged, Clock: o.Clock, Logger: o.Logger,
	})
	e.relay = keyed.NewRelay(o.Log, e.leader, o.Clock)
	follow := follower{clock: o.Clock, logger: o.Logger, peers: func() []track.KeyedLog { return e.members.logs(e.node.Live()) }}
	e.config = follow.topic(o.Log, keyed.Options{Topic: o.Topics.Config, Wait: configWait, Apply: offer(e.holder, o.Topics.ConfigKey)})
	e.replicas = follow.topic(e.relay, keyed.Options{Topic: o.Topics.Replicas, Pause: replicasPause, Apply: e.fleet.Apply})
	e.list = follow.topic(e.relay, keyed.Options{Topic: TopicMembers, Pause: membersPause, MaxPause: membersMaxPause, Apply: e.members.apply})
	e.node = gossip.New(gossip.Options{
		Conn: o.Notes, Interval: noteInterval, Compose: e.note, Receive: e.receive, Self: o.Self,
		Targets: e.targets,
		Clock:   o.Clock, Logger: o.Logger,
	})
	e.blame = blame.New(o.Clock, o.Logger)
	e.proxy = proxy.New(proxy.Options{
		Table: e.holder.Table, Services: e, Caller: o.Caller, Refuse: o.Refuse, Blame: e.blame, MaxHold: o.MaxHold,
		Clock: o.Clock, Draw: o.Draw, Logger: o.Logger, Metrics: proxy.NewMetrics(o.Metrics),
	})
	e.registerGauges()
	return e
}

// Start starts the entry's duties.
func (e *Entry) Start(ctx context.Context) []*duty.Duty {
	o := e.options
	duties := startMembership(ctx, e.config, e.list, e.node, func(ctx context.Context) error {
		return announce(ctx, o.Log, o.Clock, o.Self, o.Member, o.Logger)
	})
	return append(duties,
		duty.Start(ctx, "follow replicas", e.replicas.Run),
		duty.Start(ctx, "ask peers for replicas", e.replicas.RunPeers),
		duty.Start(ctx, "tick", func(ctx context.Context) error {
			return duty.Every(ctx, o.Clock, tickInterval, e.tick)
		}),
	)
}

// Proxy returns the way of clients' requests.
func (e *Entry) Proxy() *proxy.Proxy {
	return e.proxy
}

// ServePeers adds the paths on which peers ask this entry.
func (e *Entry) ServePeers(mux *http.ServeMux) {
	keyed.Serve(mux, map[string]*keyed.Mirror{
		e.options.Topics.Config:   e.config.Mirror(),
		e.options.Topics.Replicas: e.replicas.Mirror(),
		TopicMembers:              e.list.Mirror(),
	})
}

// Ready reports whether the entry takes new connections.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.holder.Table() != nil && e.replicas.Mirror().Known()
}

// Leave has the entry report that it takes no new connections.
func (e *Entry) Leave() {
	e.leaving.Store(true)
	e.node.Soon()
}

// MaxBodyBytes returns the bound on a request's body; 0 while it isn't known.
func (e *Entry) MaxBodyBytes() int64 {
	if table := e.holder.Table(); table != nil {
		return table.Limits().MaxBodyBytes
	}
	return 0
}

// Limits returns what clients may send, once a configuration is known.
func (e *Entry) Limits() (track.RequestLimits, bool) {
	if table := e.holder.Table(); table != nil {
		return table.Limits(), true
	}
	return track.RequestLimits{}, false
}

// Configured returns a channel that is closed once a configuration is known.
func (e *Entry) Configured() <-chan struct{} {
	return e.holder.Ready()
}

func (e *Entry) configured(table *hosts.Table) {
	for _, s := range table.Services() {
		e.Pool(s.Name).Configure(s.Engine)
	}
	e.node.Soon()
}

func (e *Entry) listChanged(replicas []track.Replica) {
	e.mu.Lock()
	e.listed = replicas
	e.mu.Unlock()
	for _, p := range e.allPools() {
		p.Update(replicas)
	}
	e.blame.SetReplicas(replicas)
}

// Pool implements proxy.Services.
func (e *Entry) Pool(service string) *batch.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		o := e.options
		p = batch.New(batch.Options{Service: service, Zone: o.Zone, Entries: e.members.entries, Clock: o.Clock, Random: o.Draw, Logger: o.Logger})
		p.Update(e.listed)
		e.pools[service] = p
		e.registerPool(service, p)
	}
	return p
}

// Budget implements proxy.Services.
func (e *Entry) Budget(service string) *retry.ServiceBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = retry.NewServiceBudget(e.options.Retries, e.options.Clock, e.members.entries)
		e.budgets[service] = b
		e.registerBudget(service, b)
	}
	return b
}

func (e *Entry) allPools() []*batch.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	pools := make([]*batch.Pool, 0, len(e.pools))
	for _, p := range e.pools {
		pools = append(pools, p)
	}
	return pools
}

// leader returns the entry of the zone that reads the list of replicas from the log
// for the others: the first by name of those whom the log tells of replicas. It
// returns false if that is this one or nobody.
func (e *Entry) leader() (track.KeyedLog, bool) {
	note, ok := e.leaderNote()
	if !ok {
		return nil, false
	}
	return e.members.mirror(note.From)
}

func (e *Entry) leaderNote() (gossip.Note, bool) {
	var first gossip.Note
	for _, note := range e.node.Live() {
		told := note.LogAge >= 0 && note.LogAge < leaderAge
		if note.Role == track.RoleEntry && note.Zone == e.options.Zone && told && !note.Leaving && (first.From == "" || note.From < first.From) {
			first = note
		}
	}
	return first, first.From != "" && first.From < e.options.Self
}

// logAway tells since when the log hasn't told of replicas, and when it came back,
// as this entry or the one that it reads from knows.
func (e *Entry) logAway() (since, returned time.Time) {
	since, returned = e.replicas.Away()
	if note, ok := e.leaderNote(); ok && note.LogBack > 0 {
		if back := e.options.Clock.Now().Add(-note.LogBack); back.After(returned) {
			returned = back
		}
	}
	return since, returned
}

// note returns what peers are told. Those of other zones get the sum of the zone,
// from the entry that speaks for it.
func (e *Entry) note(far bool) gossip.Note {
	note := gossip.Note{
		Role: track.RoleEntry, Zone: e.options.Zone, Leaving: e.leaving.Load(),
		Address: e.options.Member.Notes, API: e.options.Member.API,
		Ends: map[string]uint64{
			e.options.Topics.Config:   e.config.Mirror().End(),
			e.options.Topics.Replicas: e.replicas.Mirror().End(),
		},
		LogAge:  -1,
		Charges: e.blame.ChargesToShare(),
		Zones:   e.zoneNotes(far),
	}
	if far {
		return note
	}
	if age, known := e.relay.Age(); known {
		note.LogAge = age
	}
	if _, returned := e.replicas.Away(); !returned.IsZero() {
		note.LogBack = e.options.Clock.Since(returned)
	}
	note.InFlight = e.inFlight()
	return note
}

// receive takes a peer's note.
func (e *Entry) receive(note gossip.Note) {
	e.members.heard(note)
	if note.Rank != nil {
		brief := gossip.RankBrief{Server: note.Rank.Server, Group: note.Rank.Group, Open: note.Rank.Open, Pace: note.Rank.Pace, Pass: note.Rank.Pass}
		e.takeRank(brief, note.Zone)
		return
	}
	e.blame.Merge(note.Charges)
	e.config.Heard(note.Ends[e.options.Topics.Config])
	if since, _ := e.replicas.Away(); !since.IsZero() {
		e.replicas.Heard(note.Ends[e.options.Topics.Replicas])
	}
	e.takeZones(note)
}

// inFlight returns this entry's requests on each replica that has any.
func (e *Entry) inFlight() map[track.ReplicaID]track.InFlight {
	counts := make(map[track.ReplicaID]track.InFlight)
	for _, p := range e.allPools() {
		maps.Copy(counts, p.InFlight())
	}
	return counts
}

func (e *Entry) tick() {
	e.fleet.Tick()
	others := e.othersInFlight()
	for _, p := range e.allPools() {
		p.SetOtherInFlight(others)
	}
}
