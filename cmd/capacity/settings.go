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
	configModels = 12
	// measuredChanges is the number of changes over which one is averaged.
	measuredChanges = 20
)

func configSubjects() []subject {
	size := func(name, unit string) cost {
		return cost{name: name, unit: unit, today: todayAccounts, planned: plannedAccounts}
	}
	return []subject{{
		name: "entry and agent, configuration", variable: "accounts",
		sizes: []int{2_500, 5_000, 10_000, 21_000},
		costs: []cost{
			size("heap", "KB"), size("snapshot", "bytes"), size("apply a change", "processor us"),
			size("index after a change", "processor us"), size("index", "KB"), size("encode a snapshot", "processor us"),
			size("record of a change", "bytes"),
		},
		measure: measureConfig,
	}}
}

// measureConfig builds a configuration and changes single accounts of it.
func measureConfig(_ context.Context, accounts int) ([]float64, error) {
	before := gauge.HeapBytes()
	state := change.NewState()
	if err := loadConfig(state, accounts); err != nil {
		return nil, err
	}
	heap := heapKB(before)
	var snapshot []byte
	encode, err := processorMicros(func() (err error) {
		snapshot, err = state.Marshal()
		return err
	})
	if err != nil {
		return nil, err
	}
	before = gauge.HeapBytes()
	live := config.NewIndex(state.Config(), nil)
	indexHeap := heapKB(before)
	var apply, index float64
	recordBytes := 0
	for i := range measuredChanges {
		c, err := accountChange(state, i)
		if err != nil {
			return nil, err
		}
		record, err := change.EncodeChange(c)
		if err != nil {
			return nil, err
		}
		recordBytes += len(record)
		used, err := processorMicros(func() error { return applied(state.Apply(c)) })
		if err != nil {
			return nil, err
		}
		apply += used
		used, err = processorMicros(func() error {
			live = config.NewIndex(state.Config(), live)
			return nil
		})
		if err != nil {
			return nil, err
		}
		index += used
	}
	runtime.KeepAlive(live)
	return []float64{
		heap, float64(len(snapshot)), apply / measuredChanges, index / measuredChanges, indexHeap, encode,
		float64(recordBytes) / measuredChanges,
	}, nil
}

func applied(d change.Decision) error {
	if !d.Verdict.Accepted {
		return fmt.Errorf("change %s refused: %s", d.Change.ID, d.Verdict.Detail)
	}
	return nil
}

// loadConfig creates a profile, models and accounts by changes.
func loadConfig(state *change.State, accounts int) error {
	cfg := &track.Config{Profiles: []track.Profile{{
		Name: "notes", Timeout: time.Minute, Retry: track.RetryPolicy{Share: 0.1, MaxAttempts: 3, Backoff: time.Second, FloorPerSecond: 1},
	}}}
	for i := range configModels {
		cfg.Models = append(cfg.Models, track.Model{Name: fmt.Sprintf("model-%d", i), Profile: "notes"})
	}
	for i := range accounts {
		cfg.Accounts = append(cfg.Accounts, account(i, 1))
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
		if err := applied(state.Apply(c)); err != nil {
			return err
		}
	}
	return nil
}

func account(number int, weight float64) track.ClientAccount {
	return track.ClientAccount{
		Name: fmt.Sprintf("account-%05d", number), TokenSHA256: fmt.Sprintf("%064x", number), Weight: weight,
		RequestsPerSecond: 20, TokensPerSecond: 2_000,
	}
}

// accountChange gives one account another weight.
func accountChange(state *change.State, number int) (change.Change, error) {
	value, err := change.EncodeObject(account(number, 2))
	if err != nil {
		return change.Change{}, err
	}
	key := change.Key{Kind: change.AccountKind, Name: account(number, 2).Name}
	item, ok := state.Item(key)
	if !ok {
		return change.Change{}, fmt.Errorf("no %s", key)
	}
	return change.Change{
		ID: fmt.Sprintf("change-%d", number), Operator: "capacity", Time: time.Now(), BaseSeq: state.Seq(),
		Edits: []change.Edit{{Key: key, Replaces: item.Version, Value: value}},
	}, nil
}
