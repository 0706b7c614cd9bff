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

// The number of operations whose mean cost is measured.
const (
	averagedRounds = 20
	averagedPicks  = 20_000
)

func entryBenchmarks() []benchmark {
	records := float64(crash.DefaultPolicy().MaxRecords)
	return []benchmark{{
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

// noticeRecorder is a track.Gossip that records the size of the largest notice in bytes and drops
// the notices.
type noticeRecorder struct {
	largest int
}

// Publish implements track.Gossip.
func (r *noticeRecorder) Publish(n track.Notice) {
	r.largest = max(r.largest, len(n.Data))
}

// Summarize implements track.Gossip.
func (*noticeRecorder) Summarize(track.Topic, func() []byte) {}

// Subscribe implements track.Gossip.
func (*noticeRecorder) Subscribe(track.Topic, func(track.Notice)) {}

// measureCrashes measures a tracker with the given number of records, and their publication.
func measureCrashes(_ context.Context, records int) ([]float64, error) {
	before := gauge.HeapBytes()
	tracker := crash.New(
		clockwork.NewFakeClock(), crash.DefaultPolicy(), "entry-1", &noticeRecorder{}, zap.NewNop(), metrics.NewSet(),
	)
	for i := range records {
		tracker.Begin(uint64(i))
		tracker.Finish(uint64(i), crash.RunResult{Crashed: true})
	}
	if got := len(tracker.List()); got != records {
		return nil, fmt.Errorf("tracker lists %d of %d records", got, records)
	}
	heap := heapGrowthKB(before)
	used, err := cpuMicros(func() error {
		for range averagedRounds {
			tracker.Publish()
		}
		return nil
	})
	runtime.KeepAlive(tracker)
	return []float64{heap, used / averagedRounds}, err
}

// measureLimits measures a limiter for which each account sends a request in each publish
// interval. That is the worst case for an entry.
func measureLimits(_ context.Context, accounts int) ([]float64, error) {
	before := gauge.HeapBytes()
	clock := clockwork.NewFakeClock()
	recorder := &noticeRecorder{}
	limiter := limit.New(clock, "entry-1", recorder, zap.NewNop(), metrics.NewSet())
	admit := func() {
		for i := range accounts {
			client := newAccount(i, 1)
			client.RequestsPerSecond = 1
			limiter.Admit(client, 100)
		}
	}
	admit()
	heap := heapGrowthKB(before)
	used := 0.0
	for range averagedRounds {
		clock.Advance(limit.PublishInterval)
		admit()
		cpu, err := cpuMicros(func() error {
			limiter.Publish()
			return nil
		})
		if err != nil {
			return nil, err
		}
		used += cpu
	}
	return []float64{heap, used / averagedRounds, float64(recorder.largest)}, nil
}

// measureRouter measures a choice of a replica and an update of all replicas.
func measureRouter(_ context.Context, replicas int) ([]float64, error) {
	before := gauge.HeapBytes()
	clock := clockwork.NewFakeClock()
	r := router.New(clock, rand.New(rand.NewPCG(1, 2)), testbedZone, router.AllReachable{})
	servers := make([]track.BackendServer, replicas)
	for i := range servers {
		heartbeat := agentHeartbeat(i)
		servers[i] = track.BackendServer{
			Agent: heartbeat.From.ID, Incarnation: 1, Zone: testbedZone, Target: testbedModel, Address: heartbeat.From.Address,
			Joined: clock.Now().Add(-time.Hour), Load: heartbeat.Load, Reported: clock.Now(),
		}
	}
	update, err := cpuMicros(func() error {
		for range averagedRounds {
			r.Update(servers)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	heap := heapGrowthKB(before)
	pick, err := cpuMicros(func() error {
		for i := range averagedPicks {
			choice, err := r.Pick(track.RoutingQuery{Target: testbedModel, Tokens: 400, Prefixes: []uint64{uint64(i % 50)}})
			if err != nil {
				return err
			}
			r.Done(choice, track.AttemptResult{Outcome: track.Completed, FirstByte: time.Millisecond, Duration: time.Second})
		}
		return nil
	})
	return []float64{heap, pick / averagedPicks, update / averagedRounds}, err
}
