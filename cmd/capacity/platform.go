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

// The time for which idle entries read the log.
const idleTime = 2500 * time.Millisecond

func platformSubjects() []subject {
	entries := func(name string) cost {
		return cost{name: name, unit: "calls/s", today: todayEntries, planned: plannedEntries}
	}
	return []subject{{
		name: "platform's log, idle entries", variable: "entries",
		sizes:   []int{todayEntries, 50, 150, plannedEntries},
		costs:   []cost{entries("reads of claims"), entries("reads of configuration"), entries("appends")},
		measure: measureIdleLog,
	}}
}

// measureIdleLog lets entries follow a log in which nothing happens.
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
			Log: configLog, Peers: alone{}, Clock: clock, Logger: zap.NewNop(), Metrics: set, RandomSeed: uint64(i),
		}).Start(ctx)...)
	}
	clock.Sleep(idleTime)
	claimsBefore, configBefore := claimLog.Counts(), configLog.Counts()
	clock.Sleep(idleTime)
	claimsAfter, configAfter := claimLog.Counts(), configLog.Counts()
	cancel()
	rate := func(before, after uint64) float64 { return float64(after-before) / idleTime.Seconds() }
	return []float64{
		rate(claimsBefore.Reads, claimsAfter.Reads), rate(configBefore.Reads, configAfter.Reads),
		rate(claimsBefore.Appends+configBefore.Appends, claimsAfter.Appends+configAfter.Appends),
	}, duty.Wait(zap.NewNop(), duties...)
}

// alone is the view of an instance that hears no other.
type alone struct{}

// Contacts implements track.ConfigPeers.
func (alone) Contacts() []track.ConfigContact { return nil }

// AllContacts implements track.ConfigPeers.
func (alone) AllContacts() []track.ConfigContact { return nil }
