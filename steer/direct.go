package steer

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/swap"
)

// Rank gives access to a rank.
type Rank interface {
	track.RankEngine
	track.RankReader
}

// RemoteRank gives direct access to a rank whose agent is silent. The rank refuses orders that the
// agent may still send once it resumes, as it has been claimed with a higher fencing number.
type RemoteRank interface {
	Rank
	track.RankClaimer
}

const (
	// defaultReportLag is assumed for engines that don't say how old their reports are.
	defaultReportLag = 300 * time.Millisecond
	// reportLagMargin is the time by which reports may be older than the engines say.
	reportLagMargin = 100 * time.Millisecond
)

// laggingRank is a RemoteRank whose reports are as old as lag says, with false while that isn't known. What
// they leave out may decide whether a change of the map is committed.
type laggingRank struct {
	RemoteRank
	lag   func() (time.Duration, bool)
	clock clockwork.Clock
}

// Claim implements track.RankClaimer. It returns once the reports show all orders that the rank has
// carried out before it was claimed.
func (r laggingRank) Claim(ctx context.Context, fence uint64) error {
	lag, known := r.lag()
	if !known {
		return track.Fail("claim rank", track.Unavailable, errUnknownLag)
	}
	if err := r.RemoteRank.Claim(ctx, fence); err != nil {
		return err
	}
	select {
	case <-r.clock.After(lag):
		return nil
	case <-ctx.Done():
		return track.Fail("claim rank", track.TimedOut, context.Cause(ctx))
	}
}

var errUnknownLag = errors.New("the age of the rank's reports is not known yet")

// directRank is direct access to the rank of an agent that is or was silent.
type directRank struct {
	*swap.Gateway
	incarnation track.Incarnation
}

// promisedDirectly reports whether the promise that the order rests on was made without the agent. The
// agent would refuse the order.
func (b *Balancer) promisedDirectly(peer PeerAgent, o track.MapOrder) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rank, ok := b.directRanks[peer.RankAddress]
	return ok && rank.incarnation == o.Incarnation
}

// reportLag returns the greatest age of a rank's reports; false while the engines' description isn't known.
func (b *Balancer) reportLag() (time.Duration, bool) {
	spec, known := b.options.Spec()
	return cmp.Or(spec.ReportLag, defaultReportLag) + reportLagMargin, known
}

// directRank returns direct access to the rank of a silent agent, and logs the first use.
func (b *Balancer) directRank(peer PeerAgent) *swap.Gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	rank, ok := b.directRanks[peer.RankAddress]
	if !ok {
		rank.incarnation = track.Incarnation(b.options.Clock.Now().UnixMilli())
		engines := []track.RankEngine{laggingRank{
			RemoteRank: b.options.DirectRank(peer.RankAddress), lag: b.reportLag, clock: b.options.Clock,
		}}
		rank.Gateway = swap.NewGateway(peer.Agent, rank.incarnation, engines, nil, b.options.Clock)
		b.directRanks[peer.RankAddress] = rank
		b.options.Logger.Warn("agent silent, its rank is reached directly",
			zap.String("Agent", string(peer.Agent)), zap.String("Server", peer.RankAddress))
	}
	return rank.Gateway
}
