package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"filberttrack.example/track/platform/store"
)

// Evacuation is a period in which the operator's record of an evacuated zone existed.
type Evacuation struct {
	Zone string
	// From is when the record was acknowledged, and To when it was deleted.
	From, To time.Time
}

const (
	// minEvacuationTime is the shortest time for which a zone is evacuated: the time after which its replicas
	// get nothing (Bounds.EvacuateTime), and as long again as faults last at least.
	minEvacuationTime = 6 * time.Second
	// minBetweenEvacuations and maxBetweenEvacuations bound the time between the starts of two evacuations. They
	// don't overlap, as no zone would be left to serve requests.
	minBetweenEvacuations = minEvacuationTime + maxDuration
	maxBetweenEvacuations = 16 * time.Second
	// maxFirstEvacuation is the latest start of the first evacuation, so that short runs have one, too.
	maxFirstEvacuation = 4 * time.Second
)

// planEvacuations returns the faults ZoneEvacuated of a run. Like those of planDark, they have random numbers of
// their own.
func planEvacuations(seed uint64, length time.Duration) []PlannedFault {
	rng := rand.New(rand.NewPCG(seed, 47))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	var planned []PlannedFault
	for at := between(minPause, maxFirstEvacuation); at < length; at += between(minBetweenEvacuations, maxBetweenEvacuations) {
		planned = append(planned, PlannedFault{
			At: at, Duration: between(minEvacuationTime, minEvacuationTime+maxDuration), Fault: ZoneEvacuated, Target: rng.IntN(1 << 16),
		})
	}
	return planned
}

// evacuateZone evacuates a zone and takes it back after the duration of the planned fault. It does nothing in a run
// with one zone, which would have no replicas left.
func (s *testbed) evacuateZone(ctx context.Context, e PlannedFault) error {
	if s.setup.Zones < 2 {
		return nil
	}
	zone := s.zone(e.Target)
	s.putEvacuation(zone, true)
	from := time.Now()
	err := sleep(ctx, e.Duration)
	to := time.Now()
	s.putEvacuation(zone, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Evacuations = append(s.history.Evacuations, Evacuation{Zone: zone, From: from, To: to})
	return err
}

// putEvacuation writes the record of an evacuated zone, or deletes it.
func (s *testbed) putEvacuation(zone string, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated[zone] = evacuated
	s.putEvacuations()
}

// putEvacuations writes the records of all zones that are evacuated, and deletes those of zones that were taken back.
func (s *testbed) putEvacuations() {
	for zone, evacuated := range s.evacuated {
		var value []byte
		if evacuated {
			value = []byte("{}")
		}
		s.log.Put(topicConfig, store.KeyPrefixEvacuate+zone, value)
	}
}

// evacuatedZonesGetNothing checks that no request reaches a replica of an evacuated zone from EvacuateTime after the
// acknowledgement until the record is deleted.
func evacuatedZonesGetNothing(h *History, b Bounds) []string {
	var found []string
	for _, r := range h.Received {
		for _, e := range h.Evacuations {
			if h.ReplicaZones[r.Replica] != e.Zone || !r.At.After(e.From.Add(b.EvacuateTime)) || !r.At.Before(e.To) {
				continue
			}
			// A log that came back from an older copy may lack the record until the operator writes it again.
			if h.configDelayed(r.At) || !h.noFaultsBefore(r.At, LinkDelay, LinkSilent, LinkSlow, LogRestored) {
				continue
			}
			found = append(found, fmt.Sprintf("request %s reached replica %s %s after %s was evacuated", r.Request, r.Replica, r.At.Sub(e.From), e.Zone))
		}
	}
	return found
}
