package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
	"filberttrack.example/track/gauge"
)

// claimPageSize is the number of records that one read of the log returns.
const claimPageSize = 1000

func claimBenchmarks() []benchmark {
	retention := claims.Defaults().KeyRetention.Seconds()
	return []benchmark{{
		name: "entry, claims in memory", variable: "keys",
		sizes: []int{20_000, 50_000, 100_000, 200_000},
		costs: []cost{
			{name: "heap", unit: "KB", today: todayClaims * retention, planned: plannedClaims * retention},
			{name: "replay, a second", unit: "processor us", today: todayClaims, planned: plannedClaims, rate: true},
			{name: "records, a second", unit: "bytes", today: todayClaims, planned: plannedClaims, rate: true},
		},
		measure: measureClaims,
	}}
}

// measureClaims measures the replay of claims with distinct keys into an index.
func measureClaims(_ context.Context, keys int) ([]float64, error) {
	settings := claims.Defaults()
	settings.MaxKeys = keys
	before := gauge.HeapBytes()
	index := claims.NewIndex(settings)
	now := time.Now()
	bytes := 0
	var replay float64
	for from := 0; from < keys; from += claimPageSize {
		page := track.Page{Next: uint64(min(from+claimPageSize, keys))}
		for i := from; i < min(from+claimPageSize, keys); i++ {
			data, err := claimRecord(i)
			if err != nil {
				return nil, err
			}
			bytes += len(data)
			page.Records = append(page.Records, track.Record{Offset: uint64(i), Time: now, Data: data})
		}
		cpu, err := cpuMicros(func() error {
			index.Apply(page, now)
			return nil
		})
		if err != nil {
			return nil, err
		}
		replay += cpu
	}
	if index.Len() != keys {
		return nil, fmt.Errorf("index holds %d of %d keys", index.Len(), keys)
	}
	heap := heapGrowthKB(before)
	runtime.KeepAlive(index)
	return []float64{heap, replay, float64(bytes)}, nil
}

// claimRecord returns an encoded claim whose key is derived from the number.
func claimRecord(number int) ([]byte, error) {
	sum := sha256.Sum256(fmt.Append(nil, number))
	name := hex.EncodeToString(sum[:16])
	claim := claims.Claim{
		Key:         claims.Key{Account: fmt.Sprintf("account-%d", number%21_000), Service: "pickup-desk", Name: name},
		BodySHA256:  hex.EncodeToString(sum[:]),
		Attempt:     track.AttemptID{Request: track.RequestID(name), Number: 1},
		Agent:       track.InstanceID(fmt.Sprintf("agent-rivera-pickup-desk-%d", number%60)),
		Address:     "10.20.30.40:7070",
		Incarnation: 1_796_000_000_000_000_000,
		Stamp:       track.Stamp(number) * track.Stamp(time.Millisecond),
	}
	return claims.Encode(claims.Record{Kind: claims.KindClaim, Claim: &claim})
}
