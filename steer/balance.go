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
	// balanceInterval is the time between two plans while the demand is steady.
	balanceInterval = 1500 * time.Millisecond
	// youngInterval is the time between two plans for youngTime after a group has formed
	// or the agent has started: agents hear of each other one by one, and the first
	// counts are those of a few requests.
	youngInterval = 250 * time.Millisecond
	youngTime     = 3 * time.Second
	// lookInterval is the time between two looks at the agent's own rank.
	lookInterval = 60 * time.Millisecond
	// holdPatience is the time for which a switch may wait for its decision before
	// another agent settles it; each later agent waits that much longer.
	holdPatience = 500 * time.Millisecond
	// minGain is the least fall of the skew that is worth a change.
	minGain = 0.3
	// moveCost is the fall of the skew in a layer that pays for one copy on each
	// rank.
	moveCost = 0.6
	// fetchTime is the time for which a rank fetches copies for one change: short, so
	// that the hottest experts are spread soon.
	fetchTime = 450 * time.Millisecond
	// quickSkew is the skew from which on a change takes few copies, for which a rank
	// fetches in quickFetchTime, and the rest in a second one: until the first, each
	// pass is twice as long as it should be.
	quickSkew      = 2.0
	quickFetchTime = 85 * time.Millisecond
	// slowHold is the time from the order to arm to the end of a change beyond which
	// orders must have got lost. For carefulTime after it, changes are done in one, and
	// armed carefulAhead passes ahead, so that ranks wait for no order that is repeated.
	slowHold     = 100 * time.Millisecond
	carefulTime  = 6 * time.Second
	carefulAhead = 2
	// strickenSkew is the skew beyond which a change fetches whatever the ranks can
	// stage: a rank is slow, and each pass until the switch takes long.
	strickenSkew = 4.0
	// askTimeout bounds a question to another agent.
	askTimeout = 400 * time.Millisecond
)

// Mate is another agent of the same rank group.
type Mate struct {
	Agent track.InstanceID
	Rank  int
	// Address takes calls to the agent, Server those to its rank.
	Address string
	Server  string
	// Pace is the time that its rank needs for the same work, relative to one in good
	// health.
	Pace float64
	// Silent is set while the agent isn't heard; its rank is then reached directly.
	Silent bool
}

// RemoteRank is the port to a rank beside an agent that is silent. What a silent
// agent may still order when it wakes carries an older fencing number.
type RemoteRank interface {
	track.RankEngine
	track.RankReader
}

// BalancerOptions holds what a Balancer is made of.
type BalancerOptions struct {
	Self   track.InstanceID
	Reader track.RankReader
	Door   *swap.Door
	// Mates returns the agents of a group that were heard in its epoch, this one
	// excluded.
	Mates func(group string, epoch int64) []Mate
	// Remote opens the port to a rank by its address.
	Remote func(server string) RemoteRank
	// AskShare and SendOrder reach the agent of a mate.
	AskShare  func(ctx context.Context, mate Mate) (track.RankShare, error)
	SendOrder func(ctx context.Context, mate Mate, o track.MapOrder) (track.MapReply, error)
	// Spec returns the description of the engines; false while it isn't known.
	Spec    func() (track.ExpertSpec, bool)
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// LookOnly has the agent change no map: engines that carry out late orders of
	// earlier drivers could end up with two maps in a pass.
	LookOnly bool
	// Seen takes each look at the agent's own rank.
	Seen func(track.RankShare)
}

// Balancer is the duty of an agent beside one rank of a group: one agent plans
// changes of the expert map and drives them, the others take over when it falls
// silent. Two that drive at once do no harm.
type Balancer struct {
	options BalancerOptions
	runner  swap.Runner
	highest uint64
	due     time.Time
	// remotes holds the doors to ranks of silent agents by address.
	remotes map[string]*swap.Door
	// known holds the latest part of each rank.
	known map[int]track.RankShare
	// incomplete is what the group lacked at the latest look.
	incomplete string
	// slow holds a bit for each rank that is slow.
	slow uint64
	// epoch is that of the group, which is young until youngUntil.
	epoch      int64
	youngUntil time.Time
	// quick is set if the latest change is the quick first one of two.
	quick bool
	// carefulUntil is the time until which orders are given well ahead, since some were
	// answered late.
	carefulUntil time.Time
	// stuck is set if the latest attempt left something half done.
	stuck bool
	// unsettledSince is the time since which the own rank waits for a decision.
	unsettledSince time.Time
	skew           *metrics.Gauge
	changes        *metrics.Counter
	copies         *metrics.Counter

	mu     sync.Mutex
	seen   track.RankShare
	recent expert.Recent
}

// NewBalancer returns the duty of an agent.
func NewBalancer(options BalancerOptions) *Balancer {
	b := &Balancer{options: options, remotes: make(map[string]*swap.Door), known: make(map[int]track.RankShare)}
	b.runner = swap.Runner{Clock: options.Clock, Send: b.send, Timing: swap.Timing{
		Repeat: 25 * time.Millisecond, Patience: 500 * time.Millisecond, FetchPatience: 3 * time.Second,
	}}
	b.skew = options.Metrics.GetOrCreateGauge("filberttrack_expert_skew", nil)
	b.changes = options.Metrics.GetOrCreateCounter("filberttrack_expert_changes_total")
	b.copies = options.Metrics.GetOrCreateCounter("filberttrack_expert_copies_total")
	return b
}

// Run looks after the group until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	for {
		b.Tick(ctx)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-b.options.Clock.After(lookInterval):
		}
	}
}

// Look reads the own rank. The share holds the recent counts. It reports whether
// the demand has shifted since the last look.
func (b *Balancer) Look(ctx context.Context) (track.RankShare, bool, error) {
	share, err := b.options.Reader.Share(ctx)
	if err != nil {
		return share, false, err
	}
	detail, err := b.options.Reader.Detail(ctx, share)
	b.mu.Lock()
	defer b.mu.Unlock()
	shifted := false
	if err == nil {
		shifted = b.recent.Add(detail.Born, detail.Counts)
		share = detail
		share.Counts = b.recent.Profile()
	}
	b.seen = share
	return share, shifted, err
}

// latest returns the latest look at the own rank.
func (b *Balancer) latest() track.RankShare {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

// Tick looks at the own rank, and plans or settles if that is this agent's turn.
func (b *Balancer) Tick(ctx context.Context) {
	share, shifted, err := b.Look(ctx)
	if err != nil {
		b.options.Logger.Warn("rank state unknown", zap.Error(err))
		return
	}
	b.options.Seen(share)
	if !share.Open || share.Ranks < 2 || b.options.LookOnly {
		return
	}
	now := b.options.Clock.Now()
	mates := b.options.Mates(share.Group, share.Epoch)
	turn := 0
	for _, mate := range mates {
		if mate.Rank < share.Rank && !mate.Silent {
			turn++
		}
	}
	if shifted {
		// Ranks run in lock-step: all of them have counts of the new demand.
		b.due = now
	}
	if slow := slowRanks(share, mates); slow != b.slow {
		// Until experts leave a slow rank, all ranks are as slow.
		b.slow, b.due = slow, now
	}
	if b.epoch != share.Epoch {
		b.epoch, b.youngUntil = share.Epoch, now.Add(youngTime)
	}
	settle := b.mustSettle(share, now, turn) || b.stuck
	if !settle && (turn > 0 || now.Before(b.due)) {
		return
	}
	b.due = now.Add(balanceInterval)
	if now.Before(b.youngUntil) {
		b.due = now.Add(youngInterval)
	}
	b.drive(ctx, share, mates, settle)
}

// mustSettle reports whether the own rank has waited for a decision for so long
// that this agent brings one about.
func (b *Balancer) mustSettle(share track.RankShare, now time.Time, turn int) bool {
	if !share.Unsettled {
		b.unsettledSince = time.Time{}
		return false
	}
	if b.unsettledSince.IsZero() {
		b.unsettledSince = now
	}
	return now.Sub(b.unsettledSince) >= time.Duration(1+turn)*holdPatience
}

// drive gathers the parts of all ranks, settles what is half done and, if a better
// map is worth its copies, changes to it.
func (b *Balancer) drive(ctx context.Context, own track.RankShare, mates []Mate, settle bool) {
	shares, err := b.gather(ctx, own, mates)
	b.noteIncomplete(own, err)
	if err != nil {
		if b.quick {
			// The ranks are about to switch; the second change follows at once.
			b.due = b.options.Clock.Now()
		}
		return
	}
	careful := b.options.Clock.Now().Before(b.carefulUntil)
	plan := swap.Plan{ArmAhead: carefulAhead, Soonest: !careful}
	if !settle && !slices.ContainsFunc(shares, func(s track.RankShare) bool { return s.Unsettled }) {
		b.quick = false
		plan.Change = b.plan(shares, careful)
		if plan.Change == nil {
			return
		}
	}
	b.highest = max(b.highest, b.options.Door.Highest()) + 1
	ballot := track.Ballot{Number: b.number(own.Rank)}
	driver, orders := swap.NewDriver(ballot, b.members(mates), plan)
	began := b.options.Clock.Now()
	result, err := b.runner.Run(ctx, driver, orders)
	if err != nil {
		return
	}
	b.highest = max(b.highest, result.Highest)
	b.stuck = result.Outcome == swap.Stuck
	if result.Outcome == swap.Idle || result.Outcome == swap.Undone {
		b.due = b.options.Clock.Now().Add(youngInterval)
	}
	if result.Held > slowHold {
		b.carefulUntil = b.options.Clock.Now().Add(carefulTime)
	}
	if result.Outcome == swap.Switched {
		b.changes.Inc()
		if b.quick {
			b.due = b.options.Clock.Now()
		}
	}
	b.options.Logger.Info("expert map change", zap.String("Group", own.Group), zap.Int64("Epoch", own.Epoch),
		zap.String("Outcome", string(result.Outcome)), zap.String("Reason", result.Reason),
		zap.Uint64("Ballot", ballot.Number), zap.Uint64("Step", result.Switch.Step), zap.Bool("Settle", settle),
		zap.Duration("Took", b.options.Clock.Since(began)), zap.Duration("Held", result.Held), zap.Bool("Careful", careful))
}

// rankBits is the number of low bits of a ballot's number that tell the drivers of
// a group apart; the rest rises with time, so that a driver that starts again
// doesn't use a number twice.
const rankBits = 8

func (b *Balancer) number(rank int) uint64 {
	base := max(b.highest>>rankBits+1, uint64(b.options.Clock.Now().UnixMilli()))
	b.highest = base<<rankBits | uint64(rank)
	return b.highest
}

func (b *Balancer) members(mates []Mate) []track.RankID {
	ids := []track.RankID{{Agent: b.options.Self}}
	for _, mate := range mates {
		ids = append(ids, track.RankID{Agent: mate.Agent})
	}
	return ids
}

// gather returns the parts of all ranks, in their order. They must agree on the
// group's epoch and map.
func (b *Balancer) gather(ctx context.Context, own track.RankShare, mates []Mate) ([]track.RankShare, error) {
	if len(mates) != own.Ranks-1 {
		return nil, fmt.Errorf("%d of %d ranks known", len(mates)+1, own.Ranks)
	}
	type answer struct {
		share track.RankShare
		err   error
	}
	ctx, cancel := clockwork.WithTimeout(ctx, b.options.Clock, askTimeout)
	defer cancel()
	answers := make(chan answer, len(mates))
	for _, mate := range mates {
		go func() {
			share, err := b.ask(ctx, mate)
			answers <- answer{share, err}
		}()
	}
	shares := make([]track.RankShare, own.Ranks)
	found := make([]bool, own.Ranks)
	shares[own.Rank], found[own.Rank] = own, true
	var failed error
	for range mates {
		a := <-answers
		switch {
		case a.err != nil:
			failed = a.err
		case a.share.Group != own.Group || a.share.Epoch != own.Epoch || a.share.Rank < 0 || a.share.Rank >= own.Ranks || found[a.share.Rank]:
			failed = fmt.Errorf("rank %d of %s in epoch %d doesn't fit rank %d of %s in epoch %d",
				a.share.Rank, a.share.Group, a.share.Epoch, own.Rank, own.Group, own.Epoch)
		case a.share.Version != own.Version && !a.share.Unsettled && !own.Unsettled:
			failed = fmt.Errorf("rank %d uses map %d, rank %d uses map %d", a.share.Rank, a.share.Version.Number, own.Rank, own.Version.Number)
		default:
			shares[a.share.Rank], found[a.share.Rank] = a.share, true
		}
	}
	if failed != nil {
		return nil, failed
	}
	for rank := range shares {
		if shares[rank], failed = b.complete(ctx, shares[rank], mates); failed != nil {
			return nil, failed
		}
	}
	return shares, nil
}

// noteIncomplete logs once what the group lacks, and once that it is complete again.
func (b *Balancer) noteIncomplete(own track.RankShare, err error) {
	lacks := ""
	if err != nil {
		lacks = err.Error()
	}
	if lacks == b.incomplete {
		return
	}
	b.incomplete = lacks
	if err == nil {
		b.options.Logger.Info("group complete", zap.String("Group", own.Group), zap.Int64("Epoch", own.Epoch))
		return
	}
	b.options.Logger.Warn("group incomplete", zap.String("Group", own.Group), zap.Int64("Epoch", own.Epoch), zap.Error(err))
}

// ask reads the part of a mate's rank, without the counts and experts if its agent
// is silent.
func (b *Balancer) ask(ctx context.Context, mate Mate) (track.RankShare, error) {
	if mate.Silent {
		return b.options.Remote(mate.Server).Share(ctx)
	}
	return b.options.AskShare(ctx, mate)
}

// complete fills in the experts that the rank of a silent agent holds: as they were
// read last if the rank still uses the same map, else by asking the rank.
func (b *Balancer) complete(ctx context.Context, share track.RankShare, mates []Mate) (track.RankShare, error) {
	if share.Held == nil {
		old := b.known[share.Rank]
		if old.Group == share.Group && old.Epoch == share.Epoch && old.Version == share.Version {
			share.Held = old.Held
		}
	}
	i := slices.IndexFunc(mates, func(m Mate) bool { return m.Rank == share.Rank && m.Silent })
	if share.Held == nil && i >= 0 {
		detail, err := b.options.Remote(mates[i].Server).Detail(ctx, share)
		if err != nil {
			return share, err
		}
		share.Held = detail.Held
	}
	b.known[share.Rank] = share
	return share, nil
}

// send carries an order to the agent of its rank, or to the rank itself while the
// agent is silent.
func (b *Balancer) send(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	if o.To.Agent == b.options.Self {
		return b.options.Door.Order(ctx, o)
	}
	own := b.latest()
	mates := b.options.Mates(own.Group, own.Epoch)
	i := slices.IndexFunc(mates, func(m Mate) bool { return m.Agent == o.To.Agent })
	if i < 0 {
		return track.MapReply{}, track.Fail("order rank", track.Unavailable, fmt.Errorf("%s has left the group", o.To.Agent))
	}
	if mates[i].Silent {
		return b.remote(mates[i]).Order(ctx, o)
	}
	return b.options.SendOrder(ctx, mates[i], o)
}

func (b *Balancer) remote(mate Mate) *swap.Door {
	b.mu.Lock()
	defer b.mu.Unlock()
	door := b.remotes[mate.Server]
	if door == nil {
		now := b.options.Clock.Now()
		engines := []track.RankEngine{b.options.Remote(mate.Server)}
		door = swap.NewDoor(mate.Agent, track.Incarnation(now.UnixMilli()), engines, nil, b.options.Clock)
		b.remotes[mate.Server] = door
		b.options.Logger.Warn("agent silent, its rank is reached directly", zap.String("Agent", string(mate.Agent)), zap.String("Server", mate.Server))
	}
	return door
}
