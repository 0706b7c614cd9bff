package steer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
	"filberttrack.example/track/swap"
)

const (
	// planInterval is the time between two plans while the demand is steady, and
	// largeGroupPlanInterval that of a group whose agents are reached through relays. Without
	// any shift, the requests that happen to run together may make a map uneven.
	planInterval           = 400 * time.Millisecond
	largeGroupPlanInterval = 800 * time.Millisecond
	// newGroupPlanInterval is the time between two plans for newGroupDuration after a
	// group has formed or the agent has started. Plans are frequent then because agents
	// learn of each other one by one, and the first counts cover only a few requests.
	newGroupPlanInterval = 250 * time.Millisecond
	newGroupDuration     = 3 * time.Second
	// rankPollInterval is the time between two reads of the state of the agent's own rank by
	// the agents that coordinate changes or are next to do so, and followerPollInterval that
	// of all others. The others also read it whenever the coordinator asks.
	rankPollInterval     = 60 * time.Millisecond
	followerPollInterval = 3 * rankPollInterval
	// settleTimeout is the time that a switch may wait for its decision before the
	// first agent in order settles it; each further agent waits that much longer.
	settleTimeout = 500 * time.Millisecond
	// minSkewReduction is the smallest reduction of the skew that justifies a change.
	minSkewReduction = 0.3
	// moveCost is the reduction of a layer's skew that justifies fetching one copy on
	// each rank.
	moveCost = 0.6
	// maxFetchTime limits the time that a rank spends fetching copies for one change. It
	// is short so that the most loaded experts are spread soon.
	maxFetchTime = 450 * time.Millisecond
	// twoStageSkew is the skew from which a change is made in two stages: at this skew
	// each pass takes twice as long as it should. The first stage is therefore short and
	// has only the copies that a rank can fetch in firstStageFetchTime; the second has
	// the rest.
	twoStageSkew        = 2.0
	firstStageFetchTime = 85 * time.Millisecond
	// lostOrderThreshold is the time from the order to arm to the end of a change beyond
	// which orders must have been lost. For conservativeDuration after such a change,
	// changes are made in one stage and armed conservativeStepsAhead passes ahead, so that
	// ranks don't have to wait while a lost order is sent again.
	// Orders through relays take longer by relayedOrderTime.
	lostOrderThreshold     = 100 * time.Millisecond
	relayedOrderTime       = 100 * time.Millisecond
	conservativeDuration   = 6 * time.Second
	conservativeStepsAhead = 2
	// slowRankSkew is the skew beyond which a change fetches as much as the ranks can
	// stage: such a skew means that a rank is slow, and each pass until the switch takes
	// long.
	slowRankSkew = 4.0
	// readSharesTimeout limits reading the states of the other ranks of the group.
	readSharesTimeout = 400 * time.Millisecond
)

// CoordinatorCandidates is the number of agents of a group that coordinate changes of the map, or
// take over if those before them fail: those with the lowest ranks.
const CoordinatorCandidates = 3

// PeerAgent describes another agent of the same rank group and its rank.
type PeerAgent struct {
	Agent track.InstanceID
	// Rank is the number of the agent's rank in the group, from 0.
	Rank int
	// Zone is the availability zone of the agent.
	Zone track.AvailabilityZone
	// AgentAddress is the address of the agent, RankAddress that of its rank.
	AgentAddress string
	RankAddress  string
	// Slowdown is the time that its rank needs for the same work, relative to a healthy
	// rank: 1 is normal, 2 is half as fast.
	Slowdown float64
	// Silent is set while no messages arrive from the agent. Its rank is then called
	// directly.
	Silent bool
}

// BalancerOptions holds the dependencies of a Balancer.
type BalancerOptions struct {
	// Self is the ID of this agent.
	Self track.InstanceID
	// Reader reads the state of the agent's own rank.
	Reader track.RankReader
	// Gateway executes orders on the agent's own rank.
	Gateway *swap.Gateway
	// Peers returns the other agents of a group from which messages arrived during the
	// given epoch.
	Peers func(group string, epoch int64) []PeerAgent
	// DirectRank returns direct access to the rank with the given address. It is nil if the
	// engines don't check fencing tokens: only an agent may then control its rank, and
	// changes of the map wait for silent agents.
	DirectRank func(server string) RemoteRank
	// QueryStatus asks another agent for the state of its rank, with the recent counts.
	QueryStatus func(ctx context.Context, peer PeerAgent) (track.RankStatus, error)
	// SendOrder sends an order to another agent.
	SendOrder func(ctx context.Context, peer PeerAgent, o track.MapOrder) (track.MapReply, error)
	// Relays gives access to agents of a large group through others; nil to call all
	// directly.
	Relays Relays
	// Spec returns the expert layout of the engines; false while it isn't known.
	Spec func() (track.ExpertSpec, bool)

	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// OnStatus is called with each state read from the agent's own rank.
	OnStatus func(track.RankStatus)
}

// Balancer runs in an agent that serves one rank of a group, and keeps the load of
// the experts even across the ranks. One agent of the group plans and carries out
// changes of the expert map; the others take over when it falls silent. Changes from
// two agents at once are safe: ranks refuse orders below the ballot that they promised.
type Balancer struct {
	options BalancerOptions
	runner  swap.Runner
	// highestBallot is the highest ballot number seen so far.
	highestBallot uint64
	// nextPlan is the time of the next plan.
	nextPlan time.Time
	// directRanks holds direct access to the ranks of silent agents, by address.
	directRanks map[string]directRank
	// lastShares holds the latest state of each rank, by rank number.
	lastShares map[int]track.RankStatus
	// incompleteReason is the error of the latest attempt to read the states of all
	// ranks; empty if there was none.
	incompleteReason string
	// slowRanks holds a bit for each rank that is slow.
	slowRanks uint64
	// epoch is the group's epoch. The group counts as new until newGroupUntil.
	epoch         int64
	newGroupUntil time.Time
	// pollInterval is the time until the next tick.
	pollInterval time.Duration
	// firstStage is set if the latest change was the first of two stages.
	firstStage bool
	// conservativeUntil is the time until which changes are armed well ahead, since
	// earlier orders were answered late.
	conservativeUntil time.Time
	// stuck is set if the latest attempt left a change unfinished.
	stuck bool
	// unsettledSince is the time since which the agent's own rank has been waiting for
	// the decision on a switch; zero if it isn't.
	unsettledSince time.Time
	skew           *metrics.Gauge
	changes        *metrics.Counter
	copies         *metrics.Counter

	// mu guards the fields below, and directRanks.
	mu           sync.Mutex
	latestShare  track.RankStatus
	recentCounts expert.RecentChoices
}

// NewBalancer returns a Balancer and registers its metrics. Run starts it.
func NewBalancer(options BalancerOptions) *Balancer {
	b := &Balancer{
		options: options, pollInterval: rankPollInterval, directRanks: make(map[string]directRank), lastShares: make(map[int]track.RankStatus),
	}
	b.runner = swap.Runner{Clock: options.Clock, Send: b.sendOrder, SendAll: b.sendOrders, Timing: swap.Timing{
		ResendInterval: 25 * time.Millisecond, PhaseTimeout: 500 * time.Millisecond, PrepareTimeout: 3 * time.Second,
	}}
	b.skew = options.Metrics.GetOrCreateGauge("filberttrack_expert_skew", nil)
	b.changes = options.Metrics.GetOrCreateCounter("filberttrack_expert_changes_total")
	b.copies = options.Metrics.GetOrCreateCounter("filberttrack_expert_copies_total")
	return b
}

// Run calls Tick at short intervals until the context ends, and returns the cause of
// that.
func (b *Balancer) Run(ctx context.Context) error {
	for {
		b.Tick(ctx)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-b.options.Clock.After(b.pollInterval):
		}
	}
}

// ReadOwnStatus reads the state of the agent's own rank, with the recent counts, and reports
// whether the demand has shifted since the last call. If only the details can't be
// read, it returns the state without them along with the error.
func (b *Balancer) ReadOwnStatus(ctx context.Context) (track.RankStatus, bool, error) {
	share, err := b.options.Reader.Status(ctx)
	if err != nil {
		return share, false, err
	}
	if b.sameStep(&share) {
		return share, false, nil
	}
	detail, err := b.options.Reader.WithExperts(ctx, share)
	b.mu.Lock()
	defer b.mu.Unlock()
	shifted := false
	if err == nil {
		shifted = b.recentCounts.Add(detail.StartID, detail.Counts)
		share = detail
		share.Counts = b.recentCounts.Weights()
	}
	b.latestShare = share
	return share, shifted, err
}

// sameStep reports whether the rank has begun no step since its counts were read last. It then
// adds the counts and experts of that time to the state, and records the state.
func (b *Balancer) sameStep(share *track.RankStatus) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.latestShare
	if last.HeldExperts == nil || last.Step != share.Step || last.StartID != share.StartID ||
		last.Epoch != share.Epoch || last.Version != share.Version {
		return false
	}
	share.Counts, share.HeldExperts = last.Counts, last.HeldExperts
	b.latestShare = *share
	return true
}

// ownShare returns the state of the agent's own rank as it was read last.
func (b *Balancer) ownShare() track.RankStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latestShare
}

// Tick reads the agent's own rank. If it is this agent's turn, it also plans a change
// of the map, or settles an unfinished one.
func (b *Balancer) Tick(ctx context.Context) {
	share, shifted, err := b.ReadOwnStatus(ctx)
	if err != nil {
		b.options.Logger.Warn("cannot read rank state", zap.Error(err))
		return
	}
	b.options.OnStatus(share)
	if !share.Serving || share.Ranks < 2 {
		return
	}
	now := b.options.Clock.Now()
	peers := b.options.Peers(share.Group, share.Epoch)
	position := 0
	for _, peer := range peers {
		if peer.Rank < share.Rank && !peer.Silent {
			position++
		}
	}
	b.pollInterval = rankPollInterval
	if position >= CoordinatorCandidates {
		b.pollInterval = followerPollInterval
	}
	if shifted {
		// Ranks run in lock-step, so all of them have counts of the new demand.
		b.nextPlan = now
	}
	if slow := slowRanks(share, peers); slow != b.slowRanks {
		// A slow rank slows down all the others until experts are moved away from it.
		b.slowRanks, b.nextPlan = slow, now
	}
	if b.epoch != share.Epoch {
		b.epoch, b.newGroupUntil = share.Epoch, now.Add(newGroupDuration)
	}
	settle := b.shouldSettle(share, now, position) || b.stuck
	if !settle && (position > 0 || now.Before(b.nextPlan)) {
		return
	}
	b.nextPlan = now.Add(b.intervalToNextPlan(now, len(peers)))
	b.balance(ctx, share, peers, settle)
}

// intervalToNextPlan returns the time between two plans of a group with so many other agents.
func (b *Balancer) intervalToNextPlan(now time.Time, peers int) time.Duration {
	switch {
	case now.Before(b.newGroupUntil):
		return newGroupPlanInterval
	case peers > maxDirectPeers:
		return largeGroupPlanInterval
	}
	return planInterval
}

// shouldSettle reports whether the agent's own rank has waited for the decision on a
// switch for so long that this agent has to settle it.
func (b *Balancer) shouldSettle(share track.RankStatus, now time.Time, position int) bool {
	if !share.AwaitingDecision {
		b.unsettledSince = time.Time{}
		return false
	}
	if b.unsettledSince.IsZero() {
		b.unsettledSince = now
	}
	return now.Sub(b.unsettledSince) >= time.Duration(1+position)*settleTimeout
}

// balance reads the states of all ranks, settles an unfinished change and, if a better
// map is worth the copies it needs, changes to it.
func (b *Balancer) balance(ctx context.Context, own track.RankStatus, peers []PeerAgent, settle bool) {
	shares, err := b.readAllShares(ctx, own, peers)
	b.logCompleteness(own, err)
	if err != nil {
		if b.firstStage {
			// The ranks are about to switch. The second stage follows at once.
			b.nextPlan = b.options.Clock.Now()
		}
		return
	}
	conservative := b.options.Clock.Now().Before(b.conservativeUntil)
	plan := swap.Plan{StepsAhead: conservativeStepsAhead, NextStep: !conservative}
	if !settle && !slices.ContainsFunc(shares, func(s track.RankStatus) bool { return s.AwaitingDecision }) {
		b.firstStage = false
		plan.Change = b.planChange(shares, conservative)
		if plan.Change == nil {
			return
		}
	}
	b.highestBallot = max(b.highestBallot, b.options.Gateway.HighestBallot()) + 1
	ballot := track.Ballot{Number: b.nextBallotNumber(own.Rank)}
	coordinator, orders := swap.NewCoordinator(ballot, b.rankIDs(peers), plan)
	start := b.options.Clock.Now()
	result, err := b.runner.Run(ctx, coordinator, orders)
	if err != nil {
		return
	}
	b.highestBallot = max(b.highestBallot, result.HighestBallot)
	b.stuck = result.Outcome == swap.Stuck
	if result.Outcome == swap.Idle || result.Outcome == swap.Undone {
		b.nextPlan = b.options.Clock.Now().Add(newGroupPlanInterval)
	}
	if result.HoldTime > expectedHold(len(peers)) {
		b.conservativeUntil = b.options.Clock.Now().Add(conservativeDuration)
	}
	if result.Outcome == swap.Switched {
		b.changes.Inc()
		if b.firstStage {
			b.nextPlan = b.options.Clock.Now()
		}
	}
	b.options.Logger.Info("expert map change", zap.String("Group", own.Group), zap.Int64("Epoch", own.Epoch),
		zap.String("Outcome", string(result.Outcome)), zap.String("Reason", result.Reason),
		zap.Uint64("Ballot", ballot.Number), zap.Uint64("Step", result.Switch.Step), zap.Bool("Settle", settle),
		zap.Duration("Took", b.options.Clock.Since(start)), zap.Duration("Held", result.HoldTime),
		zap.Bool("Careful", conservative))
}

// expectedHold returns the time from the order to arm to the end of a change beyond which orders
// must have been lost, in a group with the given number of other agents.
func expectedHold(peers int) time.Duration {
	if peers > maxDirectPeers {
		return lostOrderThreshold + relayedOrderTime
	}
	return lostOrderThreshold
}

// rankBits is the number of low bits of a ballot number that hold the rank of the
// agent, so that agents of a group never use the same number. The other bits rise with
// time, so that an agent doesn't use a number again after a restart.
const rankBits = 8

// nextBallotNumber returns a ballot number above all seen so far.
func (b *Balancer) nextBallotNumber(rank int) uint64 {
	base := max(b.highestBallot>>rankBits+1, uint64(b.options.Clock.Now().UnixMilli()))
	b.highestBallot = base<<rankBits | uint64(rank)
	return b.highestBallot
}

// rankIDs returns the IDs of all ranks of the group, the agent's own first.
func (b *Balancer) rankIDs(peers []PeerAgent) []track.RankID {
	ids := []track.RankID{{Agent: b.options.Self}}
	for _, peer := range peers {
		ids = append(ids, track.RankID{Agent: peer.Agent})
	}
	return ids
}

// readAllShares returns the states of all ranks by rank number. It returns an error if
// a rank isn't known or can't be read, or if ranks disagree about the group's epoch or
// map.
func (b *Balancer) readAllShares(
	ctx context.Context, own track.RankStatus, peers []PeerAgent,
) ([]track.RankStatus, error) {
	if len(peers) != own.Ranks-1 {
		return nil, fmt.Errorf("only %d of %d ranks known", len(peers)+1, own.Ranks)
	}
	type answer struct {
		share track.RankStatus
		err   error
	}
	ctx, cancel := clockwork.WithTimeout(ctx, b.options.Clock, readSharesTimeout)
	defer cancel()
	answers := make(chan answer, len(peers))
	b.readShares(ctx, peers, func(share track.RankStatus, err error) { answers <- answer{share, err} })
	shares := make([]track.RankStatus, own.Ranks)
	found := make([]bool, own.Ranks)
	shares[own.Rank], found[own.Rank] = own, true
	var lastErr error
	for range peers {
		a := <-answers
		switch {
		case a.err != nil:
			lastErr = a.err
		case a.share.Group != own.Group || a.share.Epoch != own.Epoch ||
			a.share.Rank < 0 || a.share.Rank >= own.Ranks || found[a.share.Rank]:
			lastErr = fmt.Errorf("rank %d of group %s in epoch %d conflicts with rank %d of group %s in epoch %d",
				a.share.Rank, a.share.Group, a.share.Epoch, own.Rank, own.Group, own.Epoch)
		case a.share.Version != own.Version && !a.share.AwaitingDecision && !own.AwaitingDecision:
			lastErr = fmt.Errorf("rank %d uses map %d, rank %d uses map %d",
				a.share.Rank, a.share.Version.Number, own.Rank, own.Version.Number)
		default:
			shares[a.share.Rank], found[a.share.Rank] = a.share, true
		}
	}
	if lastErr != nil {
		return nil, lastErr
	}
	for rank := range shares {
		if shares[rank], lastErr = b.addHeldExperts(ctx, shares[rank], peers); lastErr != nil {
			return nil, lastErr
		}
	}
	return shares, nil
}

// logCompleteness logs an error from readAllShares once, and once that the group is
// complete again.
func (b *Balancer) logCompleteness(own track.RankStatus, err error) {
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	if reason == b.incompleteReason {
		return
	}
	b.incompleteReason = reason
	if err == nil {
		b.options.Logger.Info("group complete", zap.String("Group", own.Group), zap.Int64("Epoch", own.Epoch))
		return
	}
	b.options.Logger.Warn("group incomplete",
		zap.String("Group", own.Group), zap.Int64("Epoch", own.Epoch), zap.Error(err))
}

// readPeerShare reads the state of another agent's rank. If the agent is silent, it
// reads the rank directly, without its counts and experts.
func (b *Balancer) readPeerShare(ctx context.Context, peer PeerAgent) (track.RankStatus, error) {
	switch {
	case peer.Silent && b.options.DirectRank == nil:
		return track.RankStatus{}, errAgentSilent(peer)
	case peer.Silent:
		return b.options.DirectRank(peer.RankAddress).Status(ctx)
	}
	return b.options.QueryStatus(ctx, peer)
}

// addHeldExperts adds the experts that the rank of a silent agent holds: those that
// were read last if the rank still uses the same map, otherwise read from the rank.
func (b *Balancer) addHeldExperts(
	ctx context.Context, share track.RankStatus, peers []PeerAgent,
) (track.RankStatus, error) {
	if share.HeldExperts == nil {
		previous := b.lastShares[share.Rank]
		if previous.Group == share.Group && previous.Epoch == share.Epoch && previous.Version == share.Version {
			share.HeldExperts = previous.HeldExperts
		}
	}
	i := slices.IndexFunc(peers, func(m PeerAgent) bool { return m.Rank == share.Rank && m.Silent })
	if share.HeldExperts == nil && i >= 0 && b.options.DirectRank != nil {
		detail, err := b.options.DirectRank(peers[i].RankAddress).WithExperts(ctx, share)
		if err != nil {
			return share, err
		}
		share.HeldExperts = detail.HeldExperts
	}
	b.lastShares[share.Rank] = share
	return share, nil
}

// sendOrder sends an order to the agent of its rank, or directly to the rank while the
// agent is silent.
func (b *Balancer) sendOrder(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	if o.To.Agent == b.options.Self {
		return b.options.Gateway.Order(ctx, o)
	}
	own := b.ownShare()
	peers := b.options.Peers(own.Group, own.Epoch)
	i := slices.IndexFunc(peers, func(m PeerAgent) bool { return m.Agent == o.To.Agent })
	if i < 0 {
		return track.MapReply{}, track.Fail("send order to rank", track.Unavailable,
			fmt.Errorf("agent %s is not in the group", o.To.Agent))
	}
	switch {
	case peers[i].Silent && b.options.DirectRank == nil:
		return track.MapReply{}, errAgentSilent(peers[i])
	case peers[i].Silent, b.promisedDirectly(peers[i], o):
		return b.directRank(peers[i]).Order(ctx, o)
	}
	return b.options.SendOrder(ctx, peers[i], o)
}

// errAgentSilent returns the error for a rank that can't be reached since its agent is silent.
func errAgentSilent(peer PeerAgent) error {
	return track.Fail("reach rank", track.Unavailable, fmt.Errorf("agent %s of rank %d is silent", peer.Agent, peer.Rank))
}
