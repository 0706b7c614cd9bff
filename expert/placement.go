package expert

import (
	"fmt"
	"slices"

	"filberttrack.example/track"
)

// Shape gives the dimensions of a rank group.
type Shape struct {
	Ranks  int
	Layers int
	// Experts is the number of experts in each layer.
	Experts int
	// Slots is the number of expert copies that a rank holds in each layer.
	Slots int
}

// Check returns an error of kind Invalid unless all dimensions are positive, every
// expert fits at least once, and no rank has more slots than there are experts.
func (s Shape) Check() error {
	if s.Ranks < 1 || s.Layers < 1 || s.Experts < 1 || s.Slots < 1 {
		return track.Fail("check shape", Invalid, fmt.Errorf("dimensions must be positive: %+v", s))
	}
	if s.Ranks*s.Slots < s.Experts || s.Slots > s.Experts {
		return track.Fail("check shape", Invalid,
			fmt.Errorf("%d ranks with %d slots each don't fit %d experts", s.Ranks, s.Slots, s.Experts))
	}
	return nil
}

// Placement says which expert each slot of each rank holds, layer by layer.
type Placement struct {
	Shape
	slots []int32
}

// Layer returns the slots of a layer, rank by rank. The caller must not change
// them.
func (p Placement) Layer(layer int) []int32 {
	n := p.Ranks * p.Slots
	return p.slots[layer*n : (layer+1)*n]
}

// Clone returns a copy that shares no memory with p.
func (p Placement) Clone() Placement {
	return Placement{Shape: p.Shape, slots: slices.Clone(p.slots)}
}

// Map returns the placement in the form in which it is sent to ranks, without a
// version.
func (p Placement) Map() track.ExpertMap {
	m := track.ExpertMap{Experts: p.Experts, Slots: p.Slots, Layers: make([][]int32, p.Layers)}
	for layer := range m.Layers {
		m.Layers[layer] = slices.Clone(p.Layer(layer))
	}
	return m
}

// FromMap returns the placement that a map of a group describes. It returns an
// error of kind Invalid if the map isn't a valid placement.
func FromMap(m track.ExpertMap) (Placement, error) {
	if len(m.Layers) == 0 || m.Slots < 1 {
		return Placement{}, track.Fail("read map", Invalid, fmt.Errorf("map has no layers or no slots"))
	}
	p := Placement{Shape: Shape{
		Ranks:   len(m.Layers[0]) / m.Slots,
		Layers:  len(m.Layers),
		Experts: m.Experts,
		Slots:   m.Slots,
	}}
	for _, layer := range m.Layers {
		p.slots = append(p.slots, layer...)
	}
	return p, p.Check()
}

// Check returns an error of kind Invalid unless each layer has a copy of every
// expert and no rank holds two copies of one.
func (p Placement) Check() error {
	if err := p.Shape.Check(); err != nil {
		return err
	}
	if len(p.slots) != p.Layers*p.Ranks*p.Slots {
		return track.Fail("check placement", Invalid, fmt.Errorf("got %d slots for shape %+v", len(p.slots), p.Shape))
	}
	for layer := range p.Layers {
		if err := p.checkLayer(layer); err != nil {
			return err
		}
	}
	return nil
}

func (p Placement) checkLayer(layer int) error {
	copies := make([]int, p.Experts)
	for rank := range p.Ranks {
		held := p.Layer(layer)[rank*p.Slots : (rank+1)*p.Slots]
		for i, e := range held {
			if e < 0 || int(e) >= p.Experts || slices.Contains(held[:i], e) {
				return track.Fail("check placement", Invalid,
					fmt.Errorf("layer %d: rank %d holds a duplicate or unknown expert: %v", layer, rank, held))
			}
			copies[e]++
		}
	}
	if e := slices.Index(copies, 0); e >= 0 {
		return track.Fail("check placement", Invalid, fmt.Errorf("layer %d: no copy of expert %d", layer, e))
	}
	return nil
}

// Loads holds the load of each expert by layer, in tokens or as any quantity
// proportional to them.
type Loads [][]float64

// NewLoads returns zero loads for the shape.
func NewLoads(s Shape) Loads {
	l := make(Loads, s.Layers)
	for i := range l {
		l[i] = make([]float64, s.Experts)
	}
	return l
}

// RankLoads returns the load of each rank in a layer, relative to the mean of
// the ranks. The tokens of an expert are divided evenly among its copies.
func (p Placement) RankLoads(layer int, tokens []float64) []float64 {
	out := make([]float64, p.Ranks)
	copies := make([]float64, p.Experts)
	held := p.Layer(layer)
	for _, e := range held {
		copies[e]++
	}
	total := 0.0
	for _, t := range tokens {
		total += t
	}
	if total == 0 {
		for r := range out {
			out[r] = 1
		}
		return out
	}
	scale := float64(p.Ranks) / total
	for i, e := range held {
		out[i/p.Slots] += tokens[e] / copies[e] * scale
	}
	return out
}

// Skew returns the step-time skew of a placement: the load of the slowest rank
// over the mean, averaged over the layers. The slowest rank counts because all
// ranks wait for each other in each layer.
func (p Placement) Skew(loads Loads) float64 {
	sum := 0.0
	for layer := range p.Layers {
		sum += slices.Max(p.RankLoads(layer, loads[layer]))
	}
	return sum / float64(p.Layers)
}

// CountFetches returns the number of expert copies that ranks must fetch to change
// from p to next.
func (p Placement) CountFetches(next Placement) int {
	n := 0
	for layer := range p.Layers {
		from, to := p.Layer(layer), next.Layer(layer)
		for rank := range p.Ranks {
			lo, hi := rank*p.Slots, (rank+1)*p.Slots
			for _, e := range to[lo:hi] {
				if !slices.Contains(from[lo:hi], e) {
					n++
				}
			}
		}
	}
	return n
}
