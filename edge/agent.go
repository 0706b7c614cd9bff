package edge

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/expert"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/keyed"
	"filberttrack.example/track/latest"
	"filberttrack.example/track/steer"
	"filberttrack.example/track/swap"
	"filberttrack.example/track/talk"
)

// agentMessageInterval is the time between two messages of an agent while the state of its
// rank doesn't change.
const agentMessageInterval = 400 * time.Millisecond

// prepareWait is how long an order to prepare an expert map waits for the map to be
// prepared. The copies of one change take a quarter of a second, and coordinators wait for
// half a second.
const prepareWait = 250 * time.Millisecond

// peerTimeout is the time without a message after which an agent's rank is called
// directly: two messages were lost and the third is late.
const peerTimeout = 3*agentMessageInterval + 100*time.Millisecond

// The paths of the calls between the agents of a group.
const (
	pathRankStatus = "/rank/share"
	pathMapOrder   = "/rank/order"
	// pathRelayOrder and pathRelayStatuses are the calls that an agent passes on to others.
	pathRelayOrder    = "/rank/relay/order"
	pathRelayStatuses = "/rank/relay/shares"
)

// packedStatus is a rank's status with its token counts encoded by expert.PackCounts.
type packedStatus struct {
	Share  track.RankStatus
	Packed []byte
}

// packStatus encodes the counts of a rank's status.
func packStatus(status track.RankStatus) packedStatus {
	p := packedStatus{Share: status, Packed: expert.PackCounts(status.Counts)}
	p.Share.Counts = nil
	return p
}

func (p packedStatus) unpack() track.RankStatus {
	status := p.Share
	status.Counts = expert.UnpackCounts(p.Packed)
	return status
}

// AgentOptions holds the settings and dependencies of an Agent.
type AgentOptions struct {
	// Self and Zone are the ID and the availability zone of this agent.
	Self track.InstanceID
	Zone track.AvailabilityZone
	// Member is the record that the agent publishes about itself.
	Member Member
	// Seeds are the addresses of entries that are asked for topics in addition to known
	// members.
	Seeds []string
	// ReplicaAddress is the address of the replica beside the agent, and Service its service.
	ReplicaAddress string
	Service        string

	Log          track.KeyedLog
	Topics       Topics
	DecodeConfig latest.DecodeFunc
	// Rank is the rank beside the agent.
	Rank steer.Rank
	// DirectRank returns direct access to the rank with the given address. It is nil if the
	// engines don't check fencing tokens.
	DirectRank func(server string) steer.RemoteRank
	// MessageConn sends and receives messages between peers.
	MessageConn net.PacketConn

	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Agent is an agent without its listeners. It reports the state of the rank beside it to
// peers, and balances the experts of the rank's group together with the other agents.
type Agent struct {
	options        AgentOptions
	members        *members
	engines        *engineReader
	memberFollower *keyed.Follower
	announcer      *announcer
	gossipNode     *gossip.Node
	gateway        *swap.Gateway
	balancer       *steer.Balancer
	client         *talk.Client
	// rankStatus is the latest state of the rank; nil before the first.
	rankStatus atomic.Pointer[track.RankStatus]
	// passTimer measures the group's passes. Only the balancer's goroutine uses it.
	passTimer steer.PassTimer
	// passDuration is the latest duration of a pass that passTimer returned, in nanoseconds.
	passDuration atomic.Int64
	// membersKnown is set once the records of the other members have been read.
	membersKnown atomic.Bool
}

// NewAgent returns an agent without a configuration or peers. Start makes it read them.
func NewAgent(o AgentOptions) *Agent {
	o.Log = keyed.NewHedge(o.Log, o.Clock)
	a := &Agent{
		options: o, members: newMembers(o.Self, o.Seeds, o.Logger), client: talk.NewClient(),
		announcer: newAnnouncer(o.Log, o.Clock, o.Self, o.Member, o.Logger),
	}
	a.engines = &engineReader{
		service: o.Service, client: a.client, addresses: func() []string { return a.members.entryAddresses(o.Zone) },
		log: o.Log, topics: o.Topics, decode: o.DecodeConfig, clock: o.Clock, logger: o.Logger,
	}
	relay := keyed.NewRelay(o.Log, a.zoneEntry, keyed.RelayLimits{}, o.Clock)
	followers := followerFactory{
		clock: o.Clock, logger: o.Logger,
		peers: func() []track.KeyedLog { return a.members.entryMirrors(a.gossipNode.LiveMessages()) },
	}
	a.memberFollower = followers.newFollower(relay, keyed.Options{
		Topic: topicMembers, PollInterval: membersReadInterval, MaxPollInterval: membersMaxReadInterval, Apply: a.onMembers,
		ApplyRestored: a.onRestoredMembers,
	})
	incarnation := track.Incarnation(o.Clock.Now().UnixMilli())
	a.gateway = swap.NewGateway(o.Self, incarnation, []track.RankEngine{o.Rank}, nil, o.Clock)
	a.gateway.SetPrepareWait(prepareWait)
	a.gossipNode = gossip.New(gossip.Options{
		Conn: o.MessageConn, Interval: agentMessageInterval, Compose: a.composeNote, Receive: a.receive, Self: o.Self,
		Peers: a.targets,
		Clock: o.Clock, Logger: o.Logger,
	})
	a.balancer = steer.NewBalancer(steer.BalancerOptions{
		Self: o.Self, Reader: o.Rank, Gateway: a.gateway, Peers: a.groupPeers,
		QueryStatus: func(ctx context.Context, peer steer.PeerAgent) (track.RankStatus, error) {
			return a.queryStatus(ctx, peer.AgentAddress)
		},
		SendOrder: func(ctx context.Context, peer steer.PeerAgent, order track.MapOrder) (track.MapReply, error) {
			return talk.Call[track.MapOrder, track.MapReply](ctx, a.client, peer.AgentAddress, pathMapOrder, order)
		},
		Relays:     relayClient{a.client},
		DirectRank: o.DirectRank, Spec: a.engines.Experts, OnStatus: a.onStatus,
		Clock: o.Clock, Logger: o.Logger, Metrics: o.Metrics,
	})
	a.registerLeftOff()
	return a
}

// zoneEntry returns the mirrors of an entry of the zone. The agent reads the members there
// rather than from the log.
func (a *Agent) zoneEntry() (track.KeyedLog, bool) {
	return a.members.mirrorsInZone(a.options.Zone)
}

// Start starts the agent's background tasks, which run until the context ends.
func (a *Agent) Start(ctx context.Context) []*duty.Duty {
	tasks := duty.Supervisor{Clock: a.options.Clock, Logger: a.options.Logger}
	return append(startCommonTasks(ctx, tasks, a.memberFollower, a.gossipNode, a.announcer),
		tasks.Start(ctx, "read engines", a.engines.Run),
		tasks.Start(ctx, "balance experts", a.balancer.Run))
}

// ServePeers registers the handlers for calls of other agents.
func (a *Agent) ServePeers(mux *http.ServeMux) {
	talk.Handle(mux, pathRankStatus, func(ctx context.Context, _ struct{}) (packedStatus, error) {
		status, _, err := a.balancer.ReadOwnStatus(ctx)
		return packStatus(status), err
	})
	talk.Handle(mux, pathMapOrder, a.gateway.Order)
	relay := a.newRelay()
	talk.Handle(mux, pathRelayOrder, func(ctx context.Context, o steer.RelayedOrder) (steer.RelayedReplies, error) {
		return relay.Orders(ctx, o), nil
	})
	talk.Handle(mux, pathRelayStatuses, func(ctx context.Context, request relayRequest) (packedStatuses, error) {
		statuses := relay.Statuses(ctx, request.Targets)
		return packedStatuses{Shares: statuses.Shares, Packed: expert.PackCounts(statuses.Counts)}, nil
	})
}

// onStatus records the state of the agent's rank. If the group has started or stopped
// serving, has formed anew, or the rank has become slow or normal again, the entries of the
// zone and the agents that coordinate the group are informed at once.
func (a *Agent) onStatus(status track.RankStatus) {
	previous := a.rankStatus.Swap(&status)
	a.passDuration.Store(int64(a.passTimer.Observe(status, a.options.Clock.Now())))
	if previous != nil && previous.Serving == status.Serving && previous.Epoch == status.Epoch &&
		batch.IsSlow(previous.Slowdown) == batch.IsSlow(status.Slowdown) {
		return
	}
	a.options.Logger.Info("rank group", zap.String("Group", status.Group), zap.Int64("Epoch", status.Epoch),
		zap.Int("Rank", status.Rank), zap.Bool("Open", status.Serving), zap.Float64("Pace", status.Slowdown))
	if previous == nil || previous.Group != status.Group {
		// Members of the new group may have counted as strangers until now.
		a.gossipNode.SendToAllNow()
		return
	}
	a.gossipNode.SendNow()
}

// onMembers applies records of members. An agent that has just started sends a message to
// all of them at once, since its group may be waiting for it.
func (a *Agent) onMembers(records []track.KeyedRecord) {
	a.members.applyRecords(records)
	if !a.membersKnown.Swap(true) {
		a.gossipNode.SendToAllNow()
	}
}

// onRestoredMembers applies records of a log that came back from an older copy, which may lack
// the record of this agent.
func (a *Agent) onRestoredMembers(records []track.KeyedRecord) {
	a.announcer.Again()
	a.onMembers(records)
}

// composeNote returns the message for peers, which is the same for all zones.
func (a *Agent) composeNote(bool) gossip.Message {
	note := gossip.Message{
		Role: track.RoleAgent, Zone: a.options.Zone, Address: a.options.Member.MessageAddress,
		API: a.options.Member.CallAddress,
	}
	if status := a.rankStatus.Load(); status != nil {
		note.Rank = &gossip.RankStatus{
			Server: a.options.ReplicaAddress, Group: status.Group, Epoch: status.Epoch, Rank: status.Rank, Ranks: status.Ranks,
			GroupReady: status.Serving, Running: status.Running, Queued: status.Queued, Slowdown: status.Slowdown,
			PassDuration: time.Duration(a.passDuration.Load()), Address: a.options.Member.CallAddress,
		}
	}
	return note
}

// receive handles a peer's message.
func (a *Agent) receive(note gossip.Message) {
	a.members.addSender(note)
}

// targets returns the peers to send messages to, and how often each gets one. Entries of
// the own zone get each message, and forward what entries of other zones need. Within the
// group, the coordinator candidates get each message of all agents, and all agents get each
// message of a candidate.
func (a *Agent) targets() []gossip.Peer {
	status := a.rankStatus.Load()
	groups := make(map[track.InstanceID]string)
	ranks := make(map[track.InstanceID]int)
	for _, note := range a.gossipNode.LatestMessages() {
		if note.Rank == nil {
			continue
		}
		groups[note.From] = note.Rank.Group
		if status != nil && note.Rank.Group == status.Group && note.Silence < peerTimeout {
			ranks[note.From] = note.Rank.Rank
		}
	}
	if status != nil {
		ranks[a.options.Self] = status.Rank
	}
	candidates := lowestRanks(ranks)
	return a.members.targets(a.options.Zone, func(name track.InstanceID, member Member) int {
		group, known := groups[name]
		switch {
		case member.Role == track.RoleEntry && member.Zone == a.options.Zone:
			return 1
		case member.Role == track.RoleEntry:
			return 0
		case !known || status == nil:
			return 1
		case group == status.Group && (candidates[name] || candidates[a.options.Self]):
			return 1
		}
		return otherGroupEvery
	})
}

// lowestRanks returns the agents with the lowest ranks, steer.CoordinatorCandidates at most.
func lowestRanks(ranks map[track.InstanceID]int) map[track.InstanceID]bool {
	names := slices.SortedFunc(maps.Keys(ranks), func(x, y track.InstanceID) int {
		return cmp.Or(cmp.Compare(ranks[x], ranks[y]), cmp.Compare(x, y))
	})
	lowest := make(map[track.InstanceID]bool)
	for _, name := range names[:min(len(names), steer.CoordinatorCandidates)] {
		lowest[name] = true
	}
	return lowest
}

// groupPeers returns the agents of a group whose latest message is from the given epoch.
func (a *Agent) groupPeers(group string, epoch int64) []steer.PeerAgent {
	var peers []steer.PeerAgent
	for _, note := range a.gossipNode.LatestMessages() {
		if note.Rank == nil || note.Rank.Group != group || note.Rank.Epoch != epoch {
			continue
		}
		peers = append(peers, steer.PeerAgent{
			Agent: note.From, Rank: note.Rank.Rank, Zone: note.Zone, AgentAddress: note.Rank.Address, RankAddress: note.Rank.Server,
			Slowdown: note.Rank.Slowdown, Silent: note.Silence >= peerTimeout,
		})
	}
	return peers
}
