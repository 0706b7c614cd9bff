package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/config"
	"filberttrack.example/track/gauge"
)

const (
	// modelCount is the number of models in the configuration.
	modelCount = 12
	// averagedChanges is the number of changes whose mean cost is measured.
	averagedChanges = 20
)

func configBenchmarks() []benchmark {
	configCost := func(name, unit string) cost {
		return cost{name: name, unit: unit, today: todayAccounts, planned: plannedAccounts}
	}
	return []benchmark{{
		name: "entry and agent, configuration", variable: "accounts",
		sizes: []int{2_500, 5_000, 10_000, 21_000},
		costs: []cost{
			configCost("heap", "KB"), configCost("snapshot", "bytes"), configCost("apply a change", "processor us"),
			configCost("index after a change", "processor us"), configCost("index", "KB"),
			configCost("encode a snapshot", "processor us"),
			configCost("record of a change", "bytes"),
		},
		measure: measureConfig,
	}}
}

// measureConfig measures a configuration with the given number of accounts, and changes of
// single accounts.
func measureConfig(_ context.Context, accounts int) ([]float64, error) {
	before := gauge.HeapBytes()
	state := change.NewState()
	if err := loadConfig(state, accounts); err != nil {
		return nil, err
	}
	heap := heapGrowthKB(before)
	var snapshot []byte
	encode, err := cpuMicros(func() (err error) {
		snapshot, err = state.Marshal()
		return err
	})
	if err != nil {
		return nil, err
	}
	before = gauge.HeapBytes()
	live := config.NewIndex(state.Config(), nil)
	indexHeap := heapGrowthKB(before)
	var apply, index float64
	recordBytes := 0
	for i := range averagedChanges {
		c, err := newWeightChange(state, i)
		if err != nil {
			return nil, err
		}
		record, err := change.EncodeChange(c)
		if err != nil {
			return nil, err
		}
		recordBytes += len(record)
		cpu, err := cpuMicros(func() error { return checkAccepted(state.Apply(c)) })
		if err != nil {
			return nil, err
		}
		apply += cpu
		cpu, err = cpuMicros(func() error {
			live = config.NewIndex(state.Config(), live)
			return nil
		})
		if err != nil {
			return nil, err
		}
		index += cpu
	}
	runtime.KeepAlive(live)
	return []float64{
		heap, float64(len(snapshot)), apply / averagedChanges, index / averagedChanges, indexHeap, encode,
		float64(recordBytes) / averagedChanges,
	}, nil
}

// checkAccepted returns an error if the change was refused.
func checkAccepted(d change.Decision) error {
	if !d.Verdict.Accepted {
		return fmt.Errorf("change %s refused: %s", d.Change.ID, d.Verdict.Detail)
	}
	return nil
}

// loadConfig creates a profile, models and accounts by applying changes to the state.
func loadConfig(state *change.State, accounts int) error {
	cfg := &track.Config{Profiles: []track.Profile{{
		Name: "notes", Timeout: time.Minute,
		Retry: track.RetryPolicy{Share: 0.1, MaxAttempts: 3, Backoff: time.Second, FloorPerSecond: 1},
	}}}
	for i := range modelCount {
		cfg.Models = append(cfg.Models, track.Model{Name: fmt.Sprintf("model-%d", i), Profile: "notes"})
	}
	for i := range accounts {
		cfg.Accounts = append(cfg.Accounts, newAccount(i, 1))
	}
	edits, err := state.LoadEdits(cfg)
	if err != nil {
		return err
	}
	for i := 0; i < len(edits); i += change.MaxEdits {
		c := change.Change{
			ID: fmt.Sprintf("load-%d", i), Operator: "capacity", Time: time.Now(), BaseSeq: state.Seq(),
			Edits: edits[i:min(i+change.MaxEdits, len(edits))],
		}
		if err := checkAccepted(state.Apply(c)); err != nil {
			return err
		}
	}
	return nil
}

// newAccount returns a client account with the number in its name.
func newAccount(number int, weight float64) track.ClientAccount {
	return track.ClientAccount{
		Name: fmt.Sprintf("account-%05d", number), TokenSHA256: fmt.Sprintf("%064x", number), Weight: weight,
		RequestsPerSecond: 20, TokensPerSecond: 2_000,
	}
}

// newWeightChange returns a change of the weight of one account.
func newWeightChange(state *change.State, number int) (change.Change, error) {
	value, err := change.EncodeObject(newAccount(number, 2))
	if err != nil {
		return change.Change{}, err
	}
	key := change.Key{Kind: change.AccountKind, Name: newAccount(number, 2).Name}
	item, ok := state.Item(key)
	if !ok {
		return change.Change{}, fmt.Errorf("%s does not exist", key)
	}
	return change.Change{
		ID: fmt.Sprintf("change-%d", number), Operator: "capacity", Time: time.Now(), BaseSeq: state.Seq(),
		Edits: []change.Edit{{Key: key, Replaces: item.Version, Value: value}},
	}, nil
}
