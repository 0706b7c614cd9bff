package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/gauge"
	"filberttrack.example/track/limit"
	"filberttrack.example/track/router"
)

// Rounds over which one operation is averaged.
const (
	measuredRounds = 20
	measuredPicks  = 20_000
)

func entrySubjects() []subject {
	records := float64(crash.DefaultPolicy().MaxRecords)
	return []subject{{
		name: "entry, records of crashes", variable: "records",
		sizes: []int{500, 1_000, 2_000, 4_000},
		costs: []cost{
			{name: "heap", unit: "KB", today: records, planned: records},
			{name: "publish", unit: "processor us", today: records, planned: records},
		},
		measure: measureCrashes,
	}, {
		name: "entry, limits of accounts", variable: "accounts",
		sizes: []int{2_500, 5_000, 10_000, 21_000},
		costs: []cost{
			{name: "heap", unit: "KB", today: todayAccounts, planned: plannedAccounts},
			{name: "publish, each 2 s", unit: "processor us", today: todayAccounts, planned: plannedAccounts},
			{name: "notice to a peer, each 2 s", unit: "bytes", today: todayAccounts, planned: plannedAccounts},
		},
		measure: measureLimits,
	}, {
		name: "entry, routing", variable: "replicas",
		sizes: []int{todayAgents, 60, 150, 500, plannedAgents},
		costs: []cost{
			{name: "heap", unit: "KB", today: todayAgents, planned: plannedAgents},
			{name: "a choice", unit: "processor us", today: todayAgents, planned: plannedAgents},
			{name: "an update of all replicas", unit: "processor us", today: todayAgents, planned: plannedAgents},
		},
		measure: measureRouter,
	}}
}

// gossip keeps the size of the largest notice and drops the notices.
type gossip struct {
	largest int
}

// Publish implements track.Gossip.
func (g *gossip) Publish(n track.Notice) {
	g.largest = max(g.largest, len(n.Data))
}

// Summarize implements track.Gossip.
func (*gossip) Summarize(track.Topic, func() []byte) {}

// Subscribe implements track.Gossip.
func (*gossip) Subscribe(track.Topic, func(track.Notice)) {}

func measureCrashes(_ context.Context, records int) ([]float64, error) {
	before := gauge.HeapBytes()
	tracker := crash.New(clockwork.NewFakeClock(), crash.DefaultPolicy(), "entry-1", &gossip{}, zap.NewNop(), metrics.NewSet())
	for i := range records {
		tracker.Begin(uint64(i))
		tracker.Finish(uint64(i), crash.RunResult{Crashed: true})
	}
	if got := len(tracker.List()); got != records {
		return nil, fmt.Errorf("%d of %d records", got, records)
	}
	heap := heapKB(before)
	used, err := processorMicros(func() error {
		for range measuredRounds {
			tracker.Publish()
		}
		return nil
	})
	runtime.KeepAlive(tracker)
	return []float64{heap, used / measuredRounds}, err
}

// measureLimits lets all accounts send a request within one interval, which is
// the worst case for an entry.
func measureLimits(_ context.Context, accounts int) ([]float64, error) {
	before := gauge.HeapBytes()
	clock := clockwork.NewFakeClock()
	peers := &gossip{}
	limiter := limit.New(clock, "entry-1", peers, zap.NewNop(), metrics.NewSet())
	admit := func() {
		for i := range accounts {
			client := account(i, 1)
			client.RequestsPerSecond = 1
			limiter.Admit(client, 100)
		}
	}
	admit()
	heap := heapKB(before)
	used := 0.0
	for range measuredRounds {
		clock.Advance(limit.PublishInterval)
		admit()
		took, err := processorMicros(func() error {
			limiter.Publish()
			return nil
		})
		if err != nil {
			return nil, err
		}
		used += took
	}
	return []float64{heap, used / measuredRounds, float64(peers.largest)}, nil
}

func measureRouter(_ context.Context, replicas int) ([]float64, error) {
	before := gauge.HeapBytes()
	clock := clockwork.NewFakeClock()
	r := router.New(clock, rand.New(rand.NewPCG(1, 2)), rigZone, router.AllReachable{})
	servers := make([]track.BackendServer, replicas)
	for i := range servers {
		h := zoneAgent(i)
		servers[i] = track.BackendServer{
			Agent: h.From.ID, Incarnation: 1, Zone: rigZone, Target: rigModel, Address: h.From.Address,
			Joined: clock.Now().Add(-time.Hour), Load: h.Load, Reported: clock.Now(),
		}
	}
	update, err := processorMicros(func() error {
		for range measuredRounds {
			r.Update(servers)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	heap := heapKB(before)
	pick, err := processorMicros(func() error {
		for i := range measuredPicks {
			choice, err := r.Pick(track.Query{Target: rigModel, Tokens: 400, Prefixes: []uint64{uint64(i % 50)}})
			if err != nil {
				return err
			}
			r.Done(choice, track.Result{Outcome: track.Completed, FirstByte: time.Millisecond, Duration: time.Second})
		}
		return nil
	})
	return []float64{heap, pick / measuredPicks, update / measuredRounds}, err
}
