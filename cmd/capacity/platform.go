package main

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
	"filberttrack.example/track/config"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/frames"
	"filberttrack.example/track/stand/memlog"
	"filberttrack.example/track/wire"
)

// idleDuration is how long idle entries read the log, once before the measurement to settle and
// once during it.
const idleDuration = 2500 * time.Millisecond

func platformBenchmarks() []benchmark {
	entries := func(name string) cost {
		return cost{name: name, unit: "calls/s", today: todayEntries, planned: plannedEntries}
	}
	return []benchmark{{
		name: "platform's log, idle entries", variable: "entries",
		sizes:   []int{todayEntries, 50, 150, plannedEntries},
		costs:   []cost{entries("reads of claims"), entries("reads of configuration"), entries("appends")},
		measure: measureIdleLog,
	}}
}

// measureIdleLog measures the calls of entries that follow a log to which nothing is appended.
func measureIdleLog(ctx context.Context, entries int) ([]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clock := clockwork.NewRealClock()
	claimLog, configLog := memlog.New(clock, memlog.Settings{}), memlog.New(clock, memlog.Settings{})
	var duties []*duty.Duty
	for i := range entries {
		set := metrics.NewSet()
		duties = append(duties, claims.New(claims.Options{
			Log: claimLog, Dialer: wire.NewDialer(nil), Clock: clock, Logger: zap.NewNop(), Metrics: set,
			Drops: frames.NewDropCounters(set), Settings: claims.Defaults(),
		}).Start(ctx)...)
		duties = append(duties, config.New(config.Options{
			Log: configLog, Peers: noPeers{}, Clock: clock, Logger: zap.NewNop(), Metrics: set, RandomSeed: uint64(i),
		}).Start(ctx)...)
	}
	clock.Sleep(idleDuration)
	claimsBefore, configBefore := claimLog.Counts(), configLog.Counts()
	clock.Sleep(idleDuration)
	claimsAfter, configAfter := claimLog.Counts(), configLog.Counts()
	cancel()
	rate := func(before, after uint64) float64 { return float64(after-before) / idleDuration.Seconds() }
	return []float64{
		rate(claimsBefore.Reads, claimsAfter.Reads), rate(configBefore.Reads, configAfter.Reads),
		rate(claimsBefore.Appends+configBefore.Appends, claimsAfter.Appends+configAfter.Appends),
	}, duty.Wait(zap.NewNop(), duties...)
}

// noPeers is a track.ConfigPeers without any other instance.
type noPeers struct{}

// Contacts implements track.ConfigPeers.
func (noPeers) Contacts() []track.ConfigContact { return nil }

// AllContacts implements track.ConfigPeers.
func (noPeers) AllContacts() []track.ConfigContact { return nil }
