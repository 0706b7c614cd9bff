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
	// minEvacuationTime is the shortest time for which a zone is evacuated, of which Bounds.EvacuateTime is not checked.
	minEvacuationTime = 6 * time.Second
	maxEvacuationTime = minEvacuationTime + maxDuration
	// maxEvacuationPause is the longest time between the starts of two evacuations. They don't overlap, as no zone
	// might be left to serve requests.
	maxEvacuationPause = 16 * time.Second
)

// planEvacuations returns the faults ZoneEvacuated of a run.
func planEvacuations(seed uint64, length time.Duration) []PlannedFault {
	return planOwn(rand.New(rand.NewPCG(seed, 47)), ZoneEvacuated, length, maxDuration,
		[2]time.Duration{maxEvacuationTime, maxEvacuationPause}, [2]time.Duration{minEvacuationTime, maxEvacuationTime})
}

// evacuateZone evacuates a zone and takes it back after the duration of the planned fault. It does nothing in a run
// with one zone, which would have no replicas left.
func (s *testbed) evacuateZone(ctx context.Context, e PlannedFault) error {
	if s.setup.Zones < 2 {
		return nil
	}
	zone := s.zone(e.Target)
	s.mu.Lock()
	s.evacuated[zone] = true
	s.putEvacuations()
	from := time.Now()
	s.mu.Unlock()
	err := sleep(ctx, e.Duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Evacuations = append(s.history.Evacuations, Evacuation{Zone: zone, From: from, To: time.Now()})
	s.evacuated[zone] = false
	s.putEvacuations()
	return err
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
