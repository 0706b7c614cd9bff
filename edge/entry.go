// Package edge assembles the two kinds of processes that serve configured routes:
// entries, which proxy requests to replicas, and agents, each of which runs beside the
// model engine of one rank.
package edge

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
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
	"filberttrack.example/track/parts"
	"filberttrack.example/track/permit"
	"filberttrack.example/track/proxy"
	"filberttrack.example/track/retry"
	"filberttrack.example/track/signs"
	"filberttrack.example/track/talk"
	"filberttrack.example/track/ticket"
	"filberttrack.example/track/vacate"
)

const (
	// configReadWait is how long a read of the configuration waits for new records.
	configReadWait = 25 * time.Second
	// configGatherTime is the time for which an entry waits after a new version of the configuration
	// before it asks for the next one. A version may have thousands of routes, and several a
	// second may follow each other.
	configGatherTime = 350 * time.Millisecond
	// membersReadInterval and membersMaxReadInterval are the minimum and maximum time
	// between two reads of the members. The maximum can be long because all processes
	// start at about the same time, and later ones become known by their messages.
	membersReadInterval    = 500 * time.Millisecond
	membersMaxReadInterval = 30 * time.Second
	// replicasReadShare is the time between two reads of the replicas, as a share of the time
	// after which a draining replica must get no request. minReplicasReadInterval and
	// maxReplicasReadInterval bound the time.
	replicasReadShare       = 0.3
	minReplicasReadInterval = 300 * time.Millisecond
	maxReplicasReadInterval = 1500 * time.Millisecond
	// leaderReadTimeout limits a read of the replicas from the zone's leader. Then the log is read.
	leaderReadTimeout = 250 * time.Millisecond
	// logReadMargin is the time left for reading the replicas from the log, and for requests that
	// are on their way to a replica.
	logReadMargin = 100 * time.Millisecond
	// entryMessageInterval is the time between two messages of an entry. It bounds the age
	// of the counts of requests in flight.
	entryMessageInterval = 100 * time.Millisecond
	// tickInterval is the time between two calls of tick.
	tickInterval = 50 * time.Millisecond
)

// Topics names the topics of the platform's log.
type Topics struct {
	Config   string
	Replicas string
	// ConfigKey is the key of the configuration record in the topic Config.
	ConfigKey string
	// EvacuatedPrefix is the prefix of the keys of the records in the topic Config that name evacuated zones.
	EvacuatedPrefix string
}

// Options holds the settings and dependencies of an Entry.
type Options struct {
	// Self and Zone are the ID and the availability zone of this entry.
	Self track.InstanceID
	Zone track.AvailabilityZone
	// Member is the record that the entry publishes about itself.
	Member Member
	// Seeds are the addresses of peers that are asked for topics in addition to known
	// members.
	Seeds []string

	Log           track.KeyedLog
	Topics        Topics
	DecodeConfig  latest.DecodeFunc
	DecodeReplica fleet.DecodeFunc
	Caller        track.ReplicaCaller
	Prober        track.ReplicaProber
	// WriteRefusal writes a refusal to the client.
	WriteRefusal func(http.ResponseWriter, proxy.Refusal)
	// MessageConn sends and receives messages between peers.
	MessageConn net.PacketConn
	// RetryLimit limits the retries that all entries together send to a service.
	RetryLimit retry.ServiceLimit
	// DrainTimeout is the time after which a draining replica must get no request.
	DrainTimeout time.Duration
	// ConfigApplyTime is the time after which a configuration that the log has acknowledged must be
	// in force; 0 selects defaultConfigApplyTime.
	ConfigApplyTime time.Duration
	// MaxEventDelay is the longest time for which an event of a stream is delayed to even out
	// the pauses between events.
	MaxEventDelay time.Duration
	// ColdOvershoot and ColdSlack are the bounds of cold.Spec.
	ColdOvershoot, ColdSlack float64
	// ZoneRegions holds the region of each availability zone.
	ZoneRegions map[track.AvailabilityZone]string
	// HedgeShare is the greatest number of hedges for each request of a service; 0 sends none.
	HedgeShare float64

	Clock clockwork.Clock
	// Random returns random numbers that are uniform in [0, 1).
	Random  func() float64
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// replicasReadInterval returns the time between two reads of the replicas.
func (o Options) replicasReadInterval() time.Duration {
	interval := time.Duration(replicasReadShare * float64(o.DrainTimeout))
	return min(max(interval, minReplicasReadInterval), maxReplicasReadInterval)
}

// maxLeaderAge returns the age beyond which the list of replicas of the zone's leader isn't used. An
// entry that takes a list of that age needs it until the end of its next read, which may follow a
// read from the leader that fails; only then does the list reach the age at which a draining replica
// must get no request. It is at least 1 ns, as 0 would be no limit.
func (o Options) maxLeaderAge() time.Duration {
	return max(o.DrainTimeout-o.replicasReadInterval()-2*leaderReadTimeout-logReadMargin, 1)
}

// Entry is an entry without its listeners: it finds replicas and peers, and proxies
// requests.
type Entry struct {
	options          Options
	members          *members
	configHolder     *latest.ConfigHolder
	fleet            *fleet.ReplicaList
	gossipNode       *gossip.Node
	proxy            *proxy.Proxy
	blameTracker     *blame.Tracker
	partsTracker     *parts.Tracker
	barredKeeper     *barredKeeper
	configFollower   *keyed.Follower
	peerConfigReader *peerConfigReader
	replicaFollower  *keyed.Follower
	logContact       *logContact
	memberFollower   *keyed.Follower
	announcer        *announcer
	leaving          atomic.Bool
	// signs holds what replicas say of themselves.
	signs *signs.Book
	// tickets holds the tickets of requests that this zone's entries have refused.
	tickets   *ticket.Book
	startedAt time.Time

	mu sync.Mutex
	// pools holds the admission pool of each service.
	pools map[string]*batch.Pool
	// zones holds the latest summary of each other zone.
	zones map[track.AvailabilityZone]zoneSummary
	// ranks holds the latest report on each rank, by the address of its replica.
	ranks map[string]rankReport
	// budgets holds the retry budget of each service.
	budgets map[string]*retry.ServiceBudget
	// replicas is the latest list of replicas.
	replicas []track.Replica
	// evacuated holds the evacuated zones.
	evacuated vacate.Zones

	vacateTracker *vacate.Tracker
	// evacuation is held while vacateTracker is brought up to date.
	evacuation sync.Mutex
}

// NewEntry returns an entry without a configuration or replicas. Start makes it read them.
func NewEntry(o Options) *Entry {
	o.Log = keyed.NewHedge(o.Log, o.Clock)
	if o.ConfigApplyTime <= 0 {
		o.ConfigApplyTime = defaultConfigApplyTime
	}
	o.ConfigApplyTime = max(o.ConfigApplyTime, minConfigApplyTime)
	e := &Entry{
		options:    o,
		members:    newMembers(o.Self, o.Seeds, o.Logger),
		announcer:  newAnnouncer(o.Log, o.Clock, o.Self, o.Member, o.Logger),
		logContact: newLogContact(o.Clock.Now()),
		signs:      signs.New(o.Clock, o.Logger),
		tickets:    ticket.New(o.Clock),
		startedAt:  o.Clock.Now(),
		pools:      make(map[string]*batch.Pool),
		zones:      make(map[track.AvailabilityZone]zoneSummary),
		ranks:      make(map[string]rankReport),
		budgets:    make(map[string]*retry.ServiceBudget),
	}
	e.configHolder = latest.New(o.DecodeConfig, e.onConfig, o.Logger)
	e.fleet = fleet.New(fleet.Options{
		Decode: o.DecodeReplica, LogOutage: e.logOutage,
		OnChange: e.onReplicas, Clock: o.Clock, Logger: o.Logger,
	})
	e.partsTracker = parts.New(o.Clock, o.Logger, o.Metrics)
	e.blameTracker = blame.New(o.Clock, o.Logger, o.Metrics, e.partsTracker)
	e.barredKeeper = newBarredKeeper(o.Log, o.Clock, e.blameTracker, e.partsTracker, o.Logger)
	e.vacateTracker = vacate.New(o.Topics.EvacuatedPrefix, e.onEvacuated, o.Logger)
	followers := followerFactory{
		clock: o.Clock, logger: o.Logger,
		peers: e.peerMirrors,
	}
	e.configFollower = followers.newFollower(o.Log, keyed.Options{
		Topic: o.Topics.Config, LongPollTimeout: configReadWait, GatherTime: configGatherTime,
		Apply:         e.applyEvacuationFirst(applyConfig(e.configHolder, o.Topics.ConfigKey)),
		ConfirmAfter:  e.confirmConfigAfter,
		ApplyRestored: e.applyEvacuationFirst(applyRestoredConfig(e.configHolder, o.Topics.ConfigKey, e.announcer, e.barredKeeper)),
	})
	e.peerConfigReader = newPeerConfigReader(e.configHolder, e.members.client, o.Clock, o.Logger)
	replicaLimits := keyed.RelayLimits{MaxAge: o.maxLeaderAge(), Timeout: leaderReadTimeout}
	e.replicaFollower = followers.newFollower(keyed.NewRelay(o.Log, e.zoneLeader, replicaLimits, o.Clock), keyed.Options{
		Topic: o.Topics.Replicas, PollInterval: o.replicasReadInterval(), Apply: e.fleet.Apply,
		ApplyRestored: e.fleet.ApplyRestored,
	})
	e.memberFollower = followers.newFollower(keyed.NewRelay(o.Log, e.zoneLeader, keyed.RelayLimits{}, o.Clock), keyed.Options{
		Topic: topicMembers, PollInterval: membersReadInterval, MaxPollInterval: membersMaxReadInterval,
		Apply: e.members.applyRecords,
	})
	e.gossipNode = gossip.New(gossip.Options{
		Conn: o.MessageConn, Interval: entryMessageInterval, Compose: e.composeNote, Receive: e.receive, Self: o.Self,
		Peers: e.targets,
		Clock: o.Clock, Logger: o.Logger,
	})
	e.proxy = proxy.New(proxy.Options{
		RoutingTable: e.configHolder.Table, ConfigConfirmed: e.configConfirmed, Services: e, Caller: o.Caller, WriteRefusal: o.WriteRefusal,
		Prober: o.Prober, CrashTracker: e.blameTracker, PartsTracker: e.partsTracker, Tickets: e.tickets,
		ZoneRegions:   o.ZoneRegions,
		MaxEventDelay: o.MaxEventDelay, HedgeShare: o.HedgeShare, Clock: o.Clock, Random: o.Random, Logger: o.Logger,
		Metrics: proxy.NewMetrics(o.Metrics),
	})
	e.registerGauges()
	return e
}

// Start starts the entry's background tasks, which run until the context ends.
func (e *Entry) Start(ctx context.Context) []*duty.Duty {
	o := e.options
	tasks := duty.Supervisor{Clock: o.Clock, Logger: o.Logger}
	return append(startCommonTasks(ctx, tasks, e.memberFollower, e.gossipNode, e.announcer),
		tasks.Start(ctx, "follow configuration", e.configFollower.Run),
		tasks.Start(ctx, "confirm configuration", e.configFollower.RunConfirm),
		tasks.Start(ctx, "ask peers for configuration", e.configFollower.RunPeerSync),
		tasks.Start(ctx, "read newer configuration of peers", e.peerConfigReader.Run),
		tasks.Start(ctx, "follow replicas", e.replicaFollower.Run),
		tasks.Start(ctx, "ask peers for replicas", e.replicaFollower.RunPeerSync),
		tasks.Start(ctx, "keep barred requests", e.barredKeeper.Run),
		tasks.Start(ctx, "tick", func(ctx context.Context) error {
			return duty.Every(ctx, o.Clock, tickInterval, e.tick)
		}),
	)
}

// Proxy returns the proxy that serves clients' requests.
func (e *Entry) Proxy() *proxy.Proxy {
	return e.proxy
}

// ServePeers registers the handlers through which peers read this entry's mirrors of the
// log, and agents the description of their engines.
func (e *Entry) ServePeers(mux *http.ServeMux) {
	talk.Handle(mux, pathEngine, e.engineSpec)
	talk.Handle(mux, pathConfig, e.currentConfig)
	keyed.HandleMirrors(mux, map[string]*keyed.Follower{
		e.options.Topics.Config:   e.configFollower,
		e.options.Topics.Replicas: e.replicaFollower,
		topicMembers:              e.memberFollower,
	})
}

// Ready reports whether the entry accepts new connections: it has a configuration and a
// list of replicas, and is not leaving.
func (e *Entry) Ready() bool {
	return !e.leaving.Load() && e.configHolder.Table() != nil && e.replicaFollower.Mirror().Loaded()
}

// StartDraining makes the entry report to peers and readiness checks that it accepts no new
// connections, and refuse requests that may not be over when those in progress are ended.
func (e *Entry) StartDraining(stop proxy.Stop) {
	e.leaving.Store(true)
	e.proxy.Stop(stop)
	e.gossipNode.SendToAllNow()
}

// MaxBodyBytes returns the maximum size of a request's body in bytes; 0 before the first
// configuration.
func (e *Entry) MaxBodyBytes() int64 {
	if table := e.configHolder.Table(); table != nil {
		return table.Limits().MaxBodyBytes
	}
	return 0
}

// Limits returns the limits on clients' requests, and false before the first
// configuration.
func (e *Entry) Limits() (track.RequestLimits, bool) {
	if table := e.configHolder.Table(); table != nil {
		return table.Limits(), true
	}
	return track.RequestLimits{}, false
}

// ConfigReady returns a channel that is closed once there is a configuration.
func (e *Entry) ConfigReady() <-chan struct{} {
	return e.configHolder.Ready()
}

// onConfig applies a new configuration.
func (e *Entry) onConfig(table *hosts.Table) {
	for _, s := range table.Services() {
		p := e.Pool(s.Name)
		p.Configure(s.Engine)
		p.ConfigureCold(e.coldSpec(s.Cold))
	}
	e.gossipNode.SendToAllNow()
}

// onReplicas applies a new list of replicas.
func (e *Entry) onReplicas(replicas []track.Replica) {
	e.mu.Lock()
	e.replicas = replicas
	e.mu.Unlock()
	for _, p := range e.allPools() {
		p.Update(replicas)
	}
	e.blameTracker.SetReplicas(replicas)
}

// Pool implements proxy.Services.
func (e *Entry) Pool(service string) *batch.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pools[service]
	if p == nil {
		o := e.options
		p = batch.New(batch.Options{
			Service: service, Zone: o.Zone, Entries: e.members.entryCount, Signs: e.signs,
			Clock: o.Clock, Random: o.Random, Logger: o.Logger,
		})
		p.SetEvacuated(e.evacuated)
		p.Update(e.replicas)
		// The next tick sets the share; an even one could overlap with those of other entries.
		p.SetShare(permit.Share{})
		p.SetColdShare(permit.Share{})
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
		b = retry.NewServiceBudget(e.options.RetryLimit, e.options.Clock, e.members.entryCount)
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

// zoneLeader returns the mirrors of the entry that reads the list of replicas from the log
// for the others of the zone: the first by name of those whose list is recent. It returns false if
// that is this entry, or if there is none.
func (e *Entry) zoneLeader() (track.KeyedLog, bool) {
	note, ok := e.leaderNote()
	if !ok {
		return nil, false
	}
	return e.members.mirrorsOf(note.From)
}

// leaderNote returns the latest message of the zone's leader, and false if that is this
// entry or if there is none.
func (e *Entry) leaderNote() (gossip.Message, bool) {
	var first gossip.Message
	for _, note := range e.gossipNode.LiveMessages() {
		readRecently := note.LogAge >= 0 && note.LogAge <= e.options.maxLeaderAge()
		if note.Role == track.RoleEntry && note.Zone == e.options.Zone && readRecently && !note.Leaving &&
			(first.From == "" || note.From < first.From) {
			first = note
		}
	}
	return first, first.From != "" && first.From < e.options.Self
}

// peerMirrors returns the mirrors of the other entries, those that have read the most of the
// configuration first.
func (e *Entry) peerMirrors() []track.KeyedLog {
	live := e.gossipNode.LiveMessages()
	topic := e.options.Topics.Config
	slices.SortFunc(live, func(a, b gossip.Message) int {
		return cmp.Or(cmp.Compare(b.Era, a.Era), cmp.Compare(b.Offsets[topic], a.Offsets[topic]))
	})
	return e.members.entryMirrors(live)
}

// logOutage returns the time since when the log has not answered reads of the replicas,
// and the time at which its latest outage ended; zero if there was none. The latter may be
// an outage that only the other entries of the zone have noticed.
func (e *Entry) logOutage() (since, returned time.Time) {
	since, returned = e.replicaFollower.Outage()
	if ended := e.logContact.returned(); ended.After(returned) {
		returned = ended
	}
	return since, returned
}

// composeNote returns the message for peers. Peers in other zones get the summary of this
// zone, from the zone's speaker only.
func (e *Entry) composeNote(otherZone bool) gossip.Message {
	configAge := e.configAge()
	note := gossip.Message{
		Role: track.RoleEntry, Zone: e.options.Zone, Leaving: e.leaving.Load(),
		Address: e.options.Member.MessageAddress, API: e.options.Member.CallAddress,
		LogAge: -1,
		// The offsets are read later than the age: they may be newer, never older.
		ConfigAge: configAge,
		Charges:   e.blameTracker.ChargesToShare(),
		Parts:     e.partsTracker.Share(),
		Signs:     e.signs.Share(),
		Zones:     e.zoneNotes(otherZone),
	}
	note.Era, note.Offsets = e.offsets()
	note.ConfigVersion, _ = e.configHolder.Current()
	if otherZone {
		return note
	}
	if age, known := e.replicaFollower.Age(); known {
		note.LogAge = age
	}
	note.InFlight = e.inFlight()
	note.Demand = e.ownDemand()
	note.Tickets = e.tickets.Share()
	return note
}

// offsets returns the offsets up to which this entry has read each topic, and their era. A topic that
// it has not read in the latest era is left out.
func (e *Entry) offsets() (uint64, map[string]uint64) {
	offsets := make(map[string]uint64, 2)
	config, replicas := e.configFollower.Mirror().Position(), e.replicaFollower.Mirror().Position()
	era := max(config.Era, replicas.Era)
	if config.Era == era {
		offsets[e.options.Topics.Config] = config.Offset
	}
	if replicas.Era == era {
		offsets[e.options.Topics.Replicas] = replicas.Offset
	}
	return era, offsets
}

// receive handles a peer's message.
func (e *Entry) receive(note gossip.Message) {
	e.members.addSender(note)
	if note.Rank != nil {
		brief := gossip.RankSummary{
			Server: note.Rank.Server, Group: note.Rank.Group,
			GroupReady: note.Rank.GroupReady, Slowdown: note.Rank.Slowdown, PassDuration: note.Rank.PassDuration,
		}
		e.updateRanks([]gossip.RankSummary{brief}, note.Zone)
		return
	}
	if note.Role == track.RoleEntry && note.Zone == e.options.Zone && note.LogAge >= 0 {
		e.logContact.observe(e.options.Clock.Now().Add(-note.LogAge))
	}
	e.blameTracker.Merge(note.Charges)
	e.partsTracker.Merge(note.Parts)
	e.mergeSigns(note)
	if note.Zone == e.options.Zone {
		e.tickets.Merge(note.Tickets)
	}
	e.configFollower.NotifyPeerPosition(track.LogPosition{Era: note.Era, Offset: note.Offsets[e.options.Topics.Config]})
	e.confirmConfigByPeer(note)
	e.peerConfigReader.Notify(note.API, note.ConfigVersion)
	if since, _ := e.replicaFollower.Outage(); !since.IsZero() {
		e.replicaFollower.NotifyPeerPosition(track.LogPosition{Era: note.Era, Offset: note.Offsets[e.options.Topics.Replicas]})
	}
	e.updateZones(note)
}

// inFlight returns the number of this entry's requests on each replica that has any.
func (e *Entry) inFlight() map[track.ReplicaID]track.InFlight {
	counts := make(map[track.ReplicaID]track.InFlight)
	for _, p := range e.allPools() {
		maps.Copy(counts, p.InFlight())
	}
	return counts
}

// mergeSigns records the signs of replicas that a peer reports.
func (e *Entry) mergeSigns(note gossip.Message) {
	if len(note.Signs) == 0 {
		return
	}
	e.signs.Merge(note.From, note.Signs)
	for _, p := range e.allPools() {
		p.SignsChanged(note.Signs)
	}
}

// tick updates what depends on the passing of time: it removes replicas whose entries have
// expired, and drops the counts of peers that have fallen silent.
func (e *Entry) tick() {
	if age, known := e.replicaFollower.Age(); known {
		e.logContact.observe(e.options.Clock.Now().Add(-age))
	}
	e.fleet.RemoveLapsed()
	others := e.otherInFlight()
	for _, p := range e.allPools() {
		p.SetOtherInFlight(others)
	}
	e.updateShares()
}
