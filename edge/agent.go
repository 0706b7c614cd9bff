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
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/keyed"
	"filberttrack.example/track/latest"
	"filberttrack.example/track/steer"
	"filberttrack.example/track/swap"
	"filberttrack.example/track/talk"
)

// agentNoteInterval is the time between two notes of an agent whose rank's state
// doesn't change.
const agentNoteInterval = 400 * time.Millisecond

// agentConfigPause and agentConfigMaxPause bound the time between two reads of the
// configuration, of which an agent needs the description of the engines only.
const (
	agentConfigPause    = time.Second
	agentConfigMaxPause = 8 * time.Second
)

// prepareWait is the time for which an order to prepare a map waits for its end: copies
// of one change take a quarter of a second, and coordinators wait for half a second.
const prepareWait = 250 * time.Millisecond

// peerSilence is the time without a note after which an agent's rank is reached
// directly: two notes were lost and the third is late.
const peerSilence = 3*agentNoteInterval + 100*time.Millisecond

// The paths on which agents of a group call each other.
const (
	pathShare = "/rank/share"
	pathOrder = "/rank/order"
)

// packedShare is a rank's part with its counts packed.
type packedShare struct {
	Share  track.RankStatus
	Packed []byte
}

func pack(share track.RankStatus) packedShare {
	p := packedShare{Share: share, Packed: expert.PackCounts(share.Counts)}
	p.Share.Counts = nil
	return p
}

func (p packedShare) unpack() track.RankStatus {
	share := p.Share
	share.Counts = expert.UnpackCounts(p.Packed)
	return share
}

// AgentOptions holds what an Agent is made of.
type AgentOptions struct {
	Self   track.InstanceID
	Zone   track.AvailabilityZone
	Member Member
	Seeds  []string
	// Server is the address of the replica beside the agent, Service its service.
	Server  string
	Service string

	Log          track.KeyedLog
	Topics       Topics
	DecodeConfig latest.Decode
	Rank         steer.RemoteRank
	// Remote opens the port to a rank elsewhere, by its address.
	Remote func(server string) steer.RemoteRank
	// ReadOnly has the agent change no map.
	ReadOnly bool
	Notes    net.PacketConn

	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Agent is the core of an agent beside one rank, without listeners.
type Agent struct {
	options  AgentOptions
	members  *members
	holder   *latest.Holder
	config   *keyed.Follower
	list     *keyed.Follower
	node     *gossip.Node
	gateway  *swap.Gateway
	balancer *steer.Balancer
	client   *talk.Client
	share    atomic.Pointer[track.RankStatus]
	// passes is used by the balancer's looks only; pass is its latest word.
	passes steer.PassTimer
	pass   atomic.Int64
	// known is set once the other members are.
	known atomic.Bool
}

// NewAgent returns an agent that knows nothing yet.
func NewAgent(o AgentOptions) *Agent {
	a := &Agent{options: o, members: newMembers(o.Self, o.Seeds, o.Logger), client: talk.NewClient()}
	a.holder = latest.New(o.DecodeConfig, func(*hosts.Table) {}, o.Logger)
	relay := keyed.NewRelay(o.Log, a.entryMirror, o.Clock)
	follow := follower{clock: o.Clock, logger: o.Logger, peers: func() []track.KeyedLog { return a.members.logs(a.node.Live()) }}
	a.config = follow.topic(relay, keyed.Options{Topic: o.Topics.Config, Pause: agentConfigPause, MaxPause: agentConfigMaxPause, Apply: offer(a.holder, o.Topics.ConfigKey)})
	a.list = follow.topic(relay, keyed.Options{Topic: TopicMembers, Pause: membersPause, MaxPause: membersMaxPause, Apply: a.memberNews})
	incarnation := track.Incarnation(o.Clock.Now().UnixMilli())
	a.gateway = swap.NewGateway(o.Self, incarnation, []track.RankEngine{o.Rank}, nil, o.Clock)
	a.gateway.SetPrepareWait(prepareWait)
	a.node = gossip.New(gossip.Options{
		Conn: o.Notes, Interval: agentNoteInterval, Compose: a.note, Receive: a.receive, Self: o.Self,
		Targets: a.targets,
		Clock:   o.Clock, Logger: o.Logger,
	})
	a.balancer = steer.NewBalancer(steer.BalancerOptions{
		Self: o.Self, Reader: o.Rank, Gateway: a.gateway, Peers: a.peers,
		QueryShare: func(ctx context.Context, peer steer.PeerAgent) (track.RankStatus, error) {
			part, err := talk.Call[struct{}, packedShare](ctx, a.client, peer.AgentAddress, pathShare, struct{}{})
			return part.unpack(), err
		},
		SendOrder: func(ctx context.Context, peer steer.PeerAgent, order track.MapOrder) (track.MapReply, error) {
			return talk.Call[track.MapOrder, track.MapReply](ctx, a.client, peer.AgentAddress, pathOrder, order)
		},
		DirectRank: o.Remote, Spec: a.spec, OnShare: a.seen, ReadOnly: o.ReadOnly, Clock: o.Clock, Logger: o.Logger, Metrics: o.Metrics,
	})
	return a
}

// entryMirror returns the mirror of an entry of the zone, from which the agent reads
// the configuration: it needs the description of the engines only.
func (a *Agent) entryMirror() (track.KeyedLog, bool) {
	return a.members.mirrorIn(a.options.Zone)
}

// Start starts the agent's duties.
func (a *Agent) Start(ctx context.Context) []*duty.Duty {
	o := a.options
	duties := startMembership(ctx, a.config, a.list, a.node, func(ctx context.Context) error {
		return announce(ctx, o.Log, o.Clock, o.Self, o.Member, o.Logger)
	})
	return append(duties, duty.Start(ctx, "balance experts", a.balancer.Run))
}

// ServePeers adds the paths on which other agents call this one.
func (a *Agent) ServePeers(mux *http.ServeMux) {
	talk.Handle(mux, pathShare, func(ctx context.Context, _ struct{}) (packedShare, error) {
		share, _, err := a.balancer.ReadOwnShare(ctx)
		return pack(share), err
	})
	talk.Handle(mux, pathOrder, a.gateway.Order)
}

// spec returns the description of the engines of the own service.
func (a *Agent) spec() (track.ExpertSpec, bool) {
	table := a.holder.Table()
	if table == nil {
		return track.ExpertSpec{}, false
	}
	service, ok := table.Service(a.options.Service)
	if !ok || service.Engine == nil {
		return track.ExpertSpec{}, false
	}
	return service.Engine.Experts, true
}

// seen takes a look at the own rank, and tells peers at once if the group opened
// or broke.
func (a *Agent) seen(share track.RankStatus) {
	old := a.share.Swap(&share)
	a.pass.Store(int64(a.passes.Observe(share, a.options.Clock.Now())))
	if old != nil && old.Serving == share.Serving && old.Epoch == share.Epoch &&
		batch.IsSlow(old.Slowdown) == batch.IsSlow(share.Slowdown) {
		return
	}
	a.options.Logger.Info("rank group", zap.String("Group", share.Group), zap.Int64("Epoch", share.Epoch),
		zap.Int("Rank", share.Rank), zap.Bool("Open", share.Serving), zap.Float64("Pace", share.Slowdown))
	a.node.Soon()
}

// memberNews takes records of members. An agent that has just started tells all of them
// of itself at once: its group may wait for it.
func (a *Agent) memberNews(records []track.KeyedRecord) {
	a.members.apply(records)
	if !a.known.Swap(true) {
		a.node.Soon()
	}
}

func (a *Agent) note(bool) gossip.Note {
	note := gossip.Note{
		Role: track.RoleAgent, Zone: a.options.Zone, Address: a.options.Member.Notes, API: a.options.Member.API,
	}
	if share := a.share.Load(); share != nil {
		note.Rank = &gossip.RankNote{
			Server: a.options.Server, Group: share.Group, Epoch: share.Epoch, Rank: share.Rank, Ranks: share.Ranks,
			Open: share.Serving, Running: share.Running, Queued: share.Queued, Pace: share.Slowdown, Pass: time.Duration(a.pass.Load()), Address: a.options.Member.API,
		}
	}
	return note
}

func (a *Agent) receive(note gossip.Note) {
	a.members.heard(note)
	if note.Rank == nil {
		a.config.Heard(note.Ends[a.options.Topics.Config])
	}
}

// lookouts is the number of agents of a group that hear from all others at once: the
// one that drives, and those that take over.
const lookouts = 3

// targets returns the peers to tell, with how often. Entries of the own zone, which pass
// on what those of others need, and the lookouts of the group need each note, and all of
// the group need each of a lookout's.
func (a *Agent) targets() []gossip.Peer {
	share := a.share.Load()
	groups := make(map[track.InstanceID]string)
	ranks := make(map[track.InstanceID]int)
	for _, h := range a.node.Last() {
		if h.Rank == nil {
			continue
		}
		groups[h.From] = h.Rank.Group
		if share != nil && h.Rank.Group == share.Group && h.Silence < peerSilence {
			ranks[h.From] = h.Rank.Rank
		}
	}
	if share != nil {
		ranks[a.options.Self] = share.Rank
	}
	first := firstRanks(ranks)
	return a.members.targets(a.options.Zone, func(name track.InstanceID, member Member) int {
		group, known := groups[name]
		switch {
		case member.Role == track.RoleEntry && member.Zone == a.options.Zone:
			return 1
		case member.Role == track.RoleEntry:
			return 0
		case !known || share == nil:
			return 1
		case group == share.Group && (first[name] || first[a.options.Self]):
			return 1
		}
		return strangerNotes
	})
}

// firstRanks returns those with the lowest ranks.
func firstRanks(ranks map[track.InstanceID]int) map[track.InstanceID]bool {
	names := slices.SortedFunc(maps.Keys(ranks), func(x, y track.InstanceID) int {
		return cmp.Or(cmp.Compare(ranks[x], ranks[y]), cmp.Compare(x, y))
	})
	first := make(map[track.InstanceID]bool)
	for _, name := range names[:min(len(names), lookouts)] {
		first[name] = true
	}
	return first
}

// peers returns the agents of a group that were heard in its epoch.
func (a *Agent) peers(group string, epoch int64) []steer.PeerAgent {
	var peers []steer.PeerAgent
	for _, h := range a.node.Last() {
		if h.Rank == nil || h.Rank.Group != group || h.Rank.Epoch != epoch {
			continue
		}
		peers = append(peers, steer.PeerAgent{
			Agent: h.From, Rank: h.Rank.Rank, AgentAddress: h.Rank.Address, RankAddress: h.Rank.Server, Slowdown: h.Rank.Pace, Silent: h.Silence >= peerSilence,
		})
	}
	return peers
}
