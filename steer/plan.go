package steer

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/expert"
)

// slowRanks returns a set of bits, one for each slow rank of the group.
func slowRanks(own track.RankStatus, peers []PeerAgent) uint64 {
	slow := uint64(0)
	if batch.IsSlow(own.Slowdown) {
		slow |= 1 << (own.Rank % 64)
	}
	for _, peer := range peers {
		if batch.IsSlow(peer.Slowdown) {
			slow |= 1 << (peer.Rank % 64)
		}
	}
	return slow
}

// planChange returns the change to a better map; nil if there is none that is worth
// its copies.
func (b *Balancer) planChange(shares []track.RankStatus, conservative bool) *track.MapChange {
	spec, ok := b.options.Spec()
	if !ok || spec.Experts == 0 {
		return nil
	}
	loads, ok := sumCounts(shares, spec)
	if !ok {
		return nil
	}
	current, err := assembleMap(shares, spec)
	if err != nil {
		b.options.Logger.Warn("cannot assemble the expert map of the group", zap.Error(err))
		return nil
	}
	start := b.options.Clock.Now()
	proposal, firstStage, err := planStages(current, loads, spec, slowdowns(shares), !conservative)
	if err != nil {
		b.options.Logger.Error("cannot plan expert placement", zap.Error(err))
		return nil
	}
	b.skew.Set(proposal.Skew)
	worthwhile := proposal.Skew-proposal.ExpectedSkew >= minSkewReduction
	b.options.Logger.Info("expert placement",
		zap.Float64("Skew", proposal.Skew), zap.Float64("Expected", proposal.ExpectedSkew),
		zap.Int("Copies", proposal.Fetches), zap.Int("CopiesMost", proposal.MaxFetchesOfRank),
		zap.Bool("Change", worthwhile), zap.Bool("Quick", firstStage),
		zap.Duration("Took", b.options.Clock.Since(start)))
	if !worthwhile {
		return nil
	}
	b.copies.Add(proposal.Fetches)
	b.firstStage = firstStage
	return &track.MapChange{Base: shares[0].Version, FullMap: &proposal.Map}
}

// planStages plans a change of the current map. If twoStages is set and the skew is
// high, it may return only the first of two stages. It reports whether it did. The
// second stage is planned once the first is in use: planning takes as long as several
// copies.
func planStages(
	current track.ExpertMap, loads expert.Loads, spec track.ExpertSpec, slowdown []float64, twoStages bool,
) (expert.RebalancePlan, bool, error) {
	limits := expert.RebalanceLimits{
		MaxFetchesPerRankAndLayer: spec.StagedPerLayer, MaxFetchesPerRank: copiesFetchedIn(maxFetchTime, spec),
		MoveCost: moveCost, Slowdown: slowdown,
	}
	skew, err := expert.Skew(current, loads, slowdown)
	if err != nil {
		return expert.RebalancePlan{}, false, err
	}
	if skew > slowRankSkew {
		limits.MaxFetchesPerRank = 0
	} else if twoStages && skew >= twoStageSkew {
		first := limits
		first.MaxFetchesPerRank = copiesFetchedIn(firstStageFetchTime, spec)
		first.MaxFetchesPerLayer = max(1, first.MaxFetchesPerRank*len(slowdown)/max(spec.Layers, 1))
		proposal, err := expert.Rebalance(current, loads, first)
		if err != nil || proposal.Skew-proposal.ExpectedSkew >= minSkewReduction {
			return proposal, true, err
		}
	}
	proposal, err := expert.Rebalance(current, loads, limits)
	return proposal, false, err
}

// copiesFetchedIn returns the number of copies that a rank can fetch in the given
// time, at least 1; 0 if the size of a copy or the link rate isn't known.
func copiesFetchedIn(d time.Duration, spec track.ExpertSpec) int {
	if spec.ExpertBytes <= 0 || spec.LinkBytesPerSecond <= 0 {
		return 0
	}
	return max(1, int(d.Seconds()*spec.LinkBytesPerSecond/float64(spec.ExpertBytes)))
}

// slowdowns returns the slowdown of each rank, at least 1.
func slowdowns(shares []track.RankStatus) []float64 {
	slowdowns := make([]float64, len(shares))
	for i, s := range shares {
		slowdowns[i] = max(s.Slowdown, 1)
	}
	return slowdowns
}

// sumCounts adds up the recent counts of all ranks by layer and expert. It reports
// whether any rank has counts that match the spec.
func sumCounts(shares []track.RankStatus, spec track.ExpertSpec) (expert.Loads, bool) {
	loads := expert.NewLoads(expert.Shape{Layers: spec.Layers, Experts: spec.Experts})
	found := false
	for _, s := range shares {
		if len(s.Counts) != spec.Layers*spec.Experts {
			continue
		}
		found = true
		for i, n := range s.Counts {
			loads[i/spec.Experts][i%spec.Experts] += n
		}
	}
	return loads, found
}

// assembleMap returns the current map, built from the experts that each rank holds.
func assembleMap(shares []track.RankStatus, spec track.ExpertSpec) (track.ExpertMap, error) {
	m := track.ExpertMap{
		Version: shares[0].Version, Experts: spec.Experts, Slots: spec.SlotsPerRank, Layers: make([][]int32, spec.Layers),
	}
	for layer := range m.Layers {
		for _, s := range shares {
			if len(s.HeldExperts) != spec.Layers || len(s.HeldExperts[layer]) > spec.SlotsPerRank {
				return m, fmt.Errorf("rank %d holds experts of %d layers, the engine has %d layers with %d slots per rank",
					s.Rank, len(s.HeldExperts), spec.Layers, spec.SlotsPerRank)
			}
			for _, e := range s.HeldExperts[layer] {
				if e < 0 || int(e) >= spec.Experts {
					return m, fmt.Errorf("rank %d holds expert %d, the engine has %d", s.Rank, e, spec.Experts)
				}
			}
			m.Layers[layer] = append(m.Layers[layer], s.HeldExperts[layer]...)
			for range spec.SlotsPerRank - len(s.HeldExperts[layer]) {
				m.Layers[layer] = append(m.Layers[layer], track.NoExpert)
			}
		}
	}
	return m, nil
}
