package steer

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/expert"
)

// slowRanks returns a bit for each rank that is slow.
func slowRanks(own track.RankShare, mates []Mate) uint64 {
	slow := uint64(0)
	if batch.Slow(own.Pace) {
		slow |= 1 << (own.Rank % 64)
	}
	for _, mate := range mates {
		if batch.Slow(mate.Pace) {
			slow |= 1 << (mate.Rank % 64)
		}
	}
	return slow
}

// plan returns the change to a better map, or nil.
func (b *Balancer) plan(shares []track.RankShare, careful bool) *track.MapChange {
	spec, ok := b.options.Spec()
	if !ok || spec.Experts == 0 {
		return nil
	}
	loads, ok := sumCounts(shares, spec)
	if !ok {
		return nil
	}
	now, err := assemble(shares, spec)
	if err != nil {
		b.options.Logger.Warn("map of the group can't be assembled", zap.Error(err))
		return nil
	}
	began := b.options.Clock.Now()
	spreading, quick, err := spread(now, loads, spec, paces(shares), !careful)
	if err != nil {
		b.options.Logger.Error("no plan", zap.Error(err))
		return nil
	}
	b.skew.Set(spreading.Skew)
	worth := spreading.Skew-spreading.Expected >= minGain
	b.options.Logger.Info("expert placement", zap.Float64("Skew", spreading.Skew), zap.Float64("Expected", spreading.Expected),
		zap.Int("Copies", spreading.Fresh), zap.Int("CopiesMost", spreading.FreshMost), zap.Bool("Change", worth), zap.Bool("Quick", quick),
		zap.Duration("Took", b.options.Clock.Since(began)))
	if !worth {
		return nil
	}
	b.copies.Add(spreading.Fresh)
	b.quick = quick
	return &track.MapChange{Base: shares[0].Version, Whole: &spreading.Map}
}

// spread plans the change for a map in use, in two if that is allowed and worth it. It
// reports whether the change is the quick first one of two.
func spread(now track.ExpertMap, loads expert.Loads, spec track.ExpertSpec, pace []float64, two bool) (expert.Spreading, bool, error) {
	limits := expert.SpreadLimits{
		FreshPerLayer: spec.StagedPerLayer, FreshPerRank: copiesIn(fetchTime, spec), MoveCost: moveCost, Pace: pace,
	}
	whole, err := expert.Spread(now, loads, limits)
	if err != nil || whole.Skew < quickSkew || !two && whole.Skew <= strickenSkew {
		return whole, false, err
	}
	if whole.Skew > strickenSkew {
		limits.FreshPerRank = 0
		whole, err = expert.Spread(now, loads, limits)
		return whole, false, err
	}
	limits.FreshPerRank = copiesIn(quickFetchTime, spec)
	limits.FreshInLayer = max(1, limits.FreshPerRank*len(pace)/max(spec.Layers, 1))
	first, err := expert.Spread(now, loads, limits)
	if err != nil || first.FreshMost >= whole.FreshMost || first.Skew-first.Expected < minGain {
		return whole, false, err
	}
	return first, true, nil
}

// copiesIn returns the number of copies that a rank fetches in a time; 0 if that
// isn't known.
func copiesIn(d time.Duration, spec track.ExpertSpec) int {
	if spec.ExpertBytes <= 0 || spec.LinkBytesPerSecond <= 0 {
		return 0
	}
	return max(1, int(d.Seconds()*spec.LinkBytesPerSecond/float64(spec.ExpertBytes)))
}

// paces returns the pace of each rank.
func paces(shares []track.RankShare) []float64 {
	out := make([]float64, len(shares))
	for i, s := range shares {
		out[i] = max(s.Pace, 1)
	}
	return out
}

// sumCounts adds up the recent counts of all ranks. It reports whether there are
// any.
func sumCounts(shares []track.RankShare, spec track.ExpertSpec) (expert.Loads, bool) {
	loads := expert.NewLoads(expert.Shape{Layers: spec.Layers, Experts: spec.Experts})
	known := false
	for _, s := range shares {
		if len(s.Counts) != spec.Layers*spec.Experts {
			continue
		}
		known = true
		for i, n := range s.Counts {
			loads[i/spec.Experts][i%spec.Experts] += n
		}
	}
	return loads, known
}

// assemble returns the map in use from the parts of all ranks.
func assemble(shares []track.RankShare, spec track.ExpertSpec) (track.ExpertMap, error) {
	m := track.ExpertMap{Version: shares[0].Version, Experts: spec.Experts, Slots: spec.SlotsPerRank, Layers: make([][]int32, spec.Layers)}
	for layer := range m.Layers {
		for _, s := range shares {
			if len(s.Held) != spec.Layers || len(s.Held[layer]) > spec.SlotsPerRank {
				return m, fmt.Errorf("rank %d holds %d layers, the engine has %d with %d slots", s.Rank, len(s.Held), spec.Layers, spec.SlotsPerRank)
			}
			m.Layers[layer] = append(m.Layers[layer], s.Held[layer]...)
			for range spec.SlotsPerRank - len(s.Held[layer]) {
				m.Layers[layer] = append(m.Layers[layer], track.NoExpert)
			}
		}
	}
	return m, nil
}
