package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"filberttrack.example/track/platform/mimic"
)

// planCold returns the faults ReplicasCold of a run: none in every other seed, on average.
func planCold(seed uint64, length time.Duration) []PlannedFault {
	rng := rand.New(rand.NewPCG(seed, 53))
	if rng.IntN(2) != 0 {
		return nil
	}
	return planOwn(rng, ReplicasCold, length, maxLightTime,
		[2]time.Duration{minLightTime, maxLightTime}, [2]time.Duration{minDuration, maxDuration})
}

// planColdStart returns what the configuration says about cold replicas in a run with the plan. Only serviceDesk has any:
// SoundRequestsAreServedBesideCrashingOnes expects ranks to be back sooner than cold ones could be.
func planColdStart(plan []PlannedFault, b Bounds) mimic.ColdStart {
	if !slices.ContainsFunc(plan, func(e PlannedFault) bool { return e.Fault == ReplicasCold }) {
		return mimic.ColdStart{}
	}
	return mimic.ColdStart{Service: serviceDesk, Time: b.ColdTime, PerSecond: b.ColdPerSecond}
}

// restartCold makes all replicas of serviceDesk in a zone die. Others start at their addresses, cold.
func (s *testbed) restartCold(ctx context.Context, e PlannedFault) error {
	var restarts errgroup.Group
	for _, ep := range s.endpoints {
		if ep.service == serviceDesk && s.zone(ep.index) == s.zone(e.Target) {
			restarts.Go(func() error { return s.replaceReplica(ctx, ep, e.Duration, ReplicaDies) })
		}
	}
	return restarts.Wait()
}

// recordColdStart records that a replica starts cold. It lists the replica as warm after that time, unless the
// replica leaves or has ended.
func (s *testbed) recordColdStart(ctx context.Context, ep *endpoint, id string, born int64) {
	s.mu.Lock()
	s.history.ColdFrom[id] = time.Now()
	s.mu.Unlock()
	s.restarts.Go(func() error {
		if err := sleep(ctx, s.cold.Time); err != nil {
			return err
		}
		ep.mu.Lock()
		defer ep.mu.Unlock()
		if ep.unavailable || ep.replica.ID != id {
			return nil
		}
		return s.listReplica(ep, mimic.ServerState{ID: id, Born: born, Sequence: 2})
	})
}

// coldReplicasAreSpared checks that no more requests reach a replica in any second of its cold time than the
// settings allow. Disturbed links and frozen entries can let requests arrive together that were sent one by one.
func coldReplicasAreSpared(h *History, b Bounds) []string {
	arrivals := make(map[string][]time.Time)
	for _, r := range h.Received {
		from, cold := h.ColdFrom[r.Replica]
		if cold && r.At.Before(from.Add(b.ColdTime)) && h.noFaultsBefore(r.At, Freeze, LinkDelay, LinkSilent, LinkSlow) {
			arrivals[r.Replica] = append(arrivals[r.Replica], r.At)
		}
	}
	allowed := b.ColdPerSecond*b.ColdOvershoot + b.ColdSlack
	var found []string
	for replica, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		for i := range times {
			end, _ := slices.BinarySearchFunc(times, times[i].Add(time.Second), time.Time.Compare)
			if n := end - i; float64(n) > allowed {
				found = append(found, fmt.Sprintf("%d requests in a second reached replica %s, %s after its start", n, replica, times[i].Sub(h.ColdFrom[replica])))
				break
			}
		}
	}
	slices.Sort(found)
	return found
}
