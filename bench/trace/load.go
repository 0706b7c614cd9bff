package trace

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Lengths of prompts in blocks, and of outputs in tokens.
	systemPromptBlocks = 12
	maxPromptBlocks    = 60
	maxTurnBlocks      = 4
	meanOutputTokens   = 120
	minOutputTokens    = 8
	maxOutputTokens    = 600
)

// generateRequests draws the requests of a trace. They don't depend on the router.
func generateRequests(spec Spec, start time.Time) []*request {
	rng := rand.New(rand.NewPCG(spec.Seed, 1))
	var requests []*request
	var conversations [][]uint64
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
		number := len(conversations)
		if len(conversations) > 0 && rng.Float64() < spec.ContinueProbability {
			number = rng.IntN(len(conversations))
			prefixes = conversations[number]
		} else {
			prefixes = systemPrompt(drawPopular(rng, spec.SystemPrompts))
		}
		prefixes = appendBlocks(rng, prefixes, 1+rng.IntN(maxTurnBlocks))
		if number < len(conversations) {
			conversations[number] = prefixes
		} else {
			conversations = append(conversations, prefixes)
		}
		if len(conversations) > spec.MaxConversations || len(prefixes) > maxPromptBlocks {
			conversations = append(conversations[:0], conversations[1:]...)
		}
		requests = append(requests, &request{
			id: len(requests), entry: rng.IntN(spec.Entries), arrived: start.Add(at), prefixes: prefixes,
			outputTokens: min(max(int(rng.ExpFloat64()*meanOutputTokens), minOutputTokens), maxOutputTokens),
		})
	}
}

// drawPopular draws a number below n. Lower numbers are more frequent.
func drawPopular(rng *rand.Rand, n int) int {
	return int(float64(n) * math.Pow(rng.Float64(), 3))
}

// systemPrompt returns the block hashes of a system prompt that many conversations share.
func systemPrompt(number int) []uint64 {
	rng := rand.New(rand.NewPCG(uint64(number), 77))
	return appendBlocks(rng, nil, systemPromptBlocks)
}

func appendBlocks(rng *rand.Rand, prefixes []uint64, blocks int) []uint64 {
	extended := append([]uint64(nil), prefixes...)
	for range blocks {
		extended = append(extended, rng.Uint64())
	}
	return extended
}
