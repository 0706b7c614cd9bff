package trace

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Lengths in blocks and tokens.
	systemBlocks = 12
	maxBlocks    = 60
	turnBlocks   = 4
	meanOutput   = 120
	minOutput    = 8
	maxOutput    = 600
)

// arrivals draws the requests of a trace. They don't depend on the router.
func arrivals(spec Spec, start time.Time) []*request {
	rng := rand.New(rand.NewPCG(spec.Seed, 1))
	var requests []*request
	var talks [][]uint64
	at := time.Duration(0)
	for {
		rate := spec.Rate
		if at > spec.Length/3 && at < 2*spec.Length/3 {
			rate *= spec.Surge
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= spec.Length {
			return requests
		}
		var prefixes []uint64
		talk := len(talks)
		if len(talks) > 0 && rng.Float64() < spec.Turns {
			talk = rng.IntN(len(talks))
			prefixes = talks[talk]
		} else {
			prefixes = systemPrompt(popular(rng, spec.Prompts))
		}
		prefixes = extend(rng, prefixes, 1+rng.IntN(turnBlocks))
		if talk < len(talks) {
			talks[talk] = prefixes
		} else {
			talks = append(talks, prefixes)
		}
		if len(talks) > spec.Conversations || len(prefixes) > maxBlocks {
			talks = append(talks[:0], talks[1:]...)
		}
		requests = append(requests, &request{
			id: len(requests), entry: rng.IntN(spec.Entries), arrived: start.Add(at), prefixes: prefixes,
			output: min(max(int(rng.ExpFloat64()*meanOutput), minOutput), maxOutput),
		})
	}
}

// popular draws a number below n, low ones more often.
func popular(rng *rand.Rand, n int) int {
	return int(float64(n) * math.Pow(rng.Float64(), 3))
}

// systemPrompt returns the hashes of a prompt that many conversations share.
func systemPrompt(number int) []uint64 {
	rng := rand.New(rand.NewPCG(uint64(number), 77))
	return extend(rng, nil, systemBlocks)
}

func extend(rng *rand.Rand, prefixes []uint64, blocks int) []uint64 {
	longer := append([]uint64(nil), prefixes...)
	for range blocks {
		longer = append(longer, rng.Uint64())
	}
	return longer
}
