package edge

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/vacate"
)

// applyEvacuationFirst returns a function that brings the evacuated zones up to date and then applies the
// records. The order matters for an entry that starts: its first configuration makes it serve requests.
func (e *Entry) applyEvacuationFirst(apply func([]track.KeyedRecord)) func([]track.KeyedRecord) {
	return func(records []track.KeyedRecord) {
		e.updateEvacuated()
		apply(records)
	}
}

// updateEvacuated brings the evacuated zones up to date with the mirror of the configuration's topic. It reads the
// whole mirror, as the follower's tasks may deliver two records of a key in the wrong order.
func (e *Entry) updateEvacuated() {
	e.evacuation.Lock()
	defer e.evacuation.Unlock()
	page, err := e.configFollower.Mirror().Newest()
	if err != nil {
		e.options.Logger.Warn("records of evacuated zones can't be read", zap.Error(err))
		return
	}
	e.vacateTracker.Apply(page.Records)
}

// onEvacuated applies a new set of evacuated zones.
func (e *Entry) onEvacuated(zones vacate.Zones) {
	e.mu.Lock()
	old := e.evacuated
	e.evacuated = zones
	e.mu.Unlock()
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if _, known := e.options.ZoneRegions[zone]; !known && !old[zone] && len(e.options.ZoneRegions) > 0 {
			e.options.Logger.Warn("evacuated zone is unknown", zap.String("Zone", string(zone)))
		}
	}
	for _, p := range e.allPools() {
		for zone := range old {
			if zones[zone] {
				continue
			}
			// The replicas may be cold now.
			p.SuspectCold(zone)
		}
		// This comes last, as queued requests go to the replicas at once.
		p.SetEvacuated(zones)
	}
}

// evacuatedZones returns the number of evacuated zones.
func (e *Entry) evacuatedZones() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.evacuated)
}
