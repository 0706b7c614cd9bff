package batch

import (
	"maps"
	"slices"

	"filberttrack.example/track"
)

// SetEvacuated sets the evacuated zones. Their replicas get no requests. Requests that already run on
// them run to completion there.
func (p *Pool) SetEvacuated(zones map[track.AvailabilityZone]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = maps.Clone(zones)
	for _, r := range p.replicas {
		r.evacuated = p.evacuated[r.Zone]
	}
	p.plan = nil
	p.dispatch()
}

// allows reports whether a request may run in a zone, given its AdmissionRequest.Zones.
func allows(zones func(track.AvailabilityZone) bool, zone track.AvailabilityZone) bool {
	return zones == nil || zones(zone)
}

// mayUse reports whether the request may be sent to the replica.
func (a *AdmissionRequest) mayUse(r *replica) bool {
	return !slices.Contains(a.Excluded, r.ID) && allows(a.Zones, r.Zone)
}

// noZoneReason returns the reason if no zone is left in which the request may run on a replica; an empty
// reason if one is left, or if there is no replica in any zone and the request may run in all of them.
func (p *Pool) noZoneReason(request AdmissionRequest) Reason {
	usable, evacuated := false, false
	for _, r := range p.replicas {
		if !r.listed || r.signs.Leaving || !allows(request.Zones, r.Zone) {
			continue
		}
		switch excluded := slices.Contains(request.Excluded, r.ID); {
		case !r.evacuated && !excluded:
			return ""
		case !r.evacuated:
			usable = true
		case !excluded:
			evacuated = true
		}
	}
	switch {
	case evacuated:
		return ReasonEvacuated
	case request.Zones != nil && !usable:
		return ReasonNoReplicaInHomeRegion
	}
	return ""
}

// refuseWithoutZone refuses a queued request if no zone is left in which it may run on a replica. The refusal
// doesn't wait for the end of its time in the queue, as no replica that becomes free could serve it.
func (p *Pool) refuseWithoutZone(w *waiter) bool {
	if len(p.evacuated) == 0 && w.request.Zones == nil {
		return false
	}
	reason := p.noZoneReason(w.request)
	if reason == "" {
		return false
	}
	p.dequeue(w)
	w.refused <- &RefusalError{Reason: reason, RetryAfter: noReplicaRetryAfter}
	return true
}
