package batch

import (
	"math"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/cold"
	"filberttrack.example/track/permit"
)

// ConfigureCold sets the description of the service's cold replicas; the zero Spec if they never are cold.
func (p *Pool) ConfigureCold(spec cold.Spec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if spec == p.cold {
		return
	}
	p.cold = spec
	for _, r := range p.replicas {
		switch {
		case !spec.Enabled():
			r.cold = nil
		case r.cold == nil:
			p.guard(r, r.Replica)
		default:
			r.cold.Configure(spec)
		}
	}
	p.refreshCold()
	p.dispatch()
}

// guard gives the replica its guard, with what is known from its latest record.
func (p *Pool) guard(r *replica, record track.Replica) {
	r.cold = cold.New(p.cold, record.StartID, record.StartedAt, r.firstSeen)
	r.cold.Update(record.WarmupTime, record.StartID, r.recordSeen)
	if r.broken {
		r.cold.Suspect(p.options.Clock.Now())
	}
}

// updateCold applies the replica's record if it is new. The list of replicas repeats old records whenever the record of
// another replica changes; these don't say for how much longer the replica is cold.
func (p *Pool) updateCold(r *replica, record track.Replica) {
	now := p.options.Clock.Now()
	if record.StartID != r.StartID {
		r.firstSeen = now
	}
	if r.recordSeen.IsZero() || record.StartID != r.StartID || record.Heartbeat != r.Heartbeat ||
		record.WarmupTime != r.WarmupTime {
		r.recordSeen = now
		if r.cold != nil {
			r.cold.Update(record.WarmupTime, record.StartID, now)
		}
	}
	if r.cold == nil && p.cold.Enabled() {
		p.guard(r, record)
	}
}

// SuspectCold records that the replicas of a zone may be cold, because the zone was taken back.
func (p *Pool) SuspectCold(zone track.AvailabilityZone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	for _, r := range p.replicas {
		if r.Zone == zone {
			r.suspectCold(now)
		}
	}
	p.refreshCold()
}

// suspectCold records that the replica may have become cold.
func (r *replica) suspectCold(now time.Time) {
	if r.cold != nil {
		r.cold.Suspect(now)
	}
}

// suspectGroup records that all replicas of a group may have become cold. It includes those whose own agents are
// silent.
func (p *Pool) suspectGroup(group string, now time.Time) {
	if group == "" || !p.cold.Enabled() {
		return
	}
	for _, r := range p.replicas {
		if r.rank.Group == group {
			r.suspectCold(now)
		}
	}
}

// SetColdShare sets this entry's part of the requests to cold replicas. Until then, that of SetShare applies.
func (p *Pool) SetColdShare(share permit.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldShare = &share
}

// permitShare returns this entry's part of the requests to cold replicas.
func (p *Pool) permitShare() permit.Share {
	if p.coldShare != nil {
		return *p.coldShare
	}
	return p.share
}

// isCold reports whether the replica is possibly cold.
func (r *replica) isCold(now time.Time) bool {
	if r.cold == nil {
		return false
	}
	_, isCold := r.cold.Limit(now)
	return isCold || r.broken
}

// permitLimit returns the number of requests a second that all entries together may send to a replica that is possibly
// cold: the lower of the limit that it names and the rate of cold replicas.
func (p *Pool) permitLimit(r *replica) float64 {
	if r.signs.Limit > 0 {
		return min(r.signs.Limit, p.cold.Rate())
	}
	return p.cold.Rate()
}

// setPermitLimit sets the limit of the replica's permits.
func (p *Pool) setPermitLimit(r *replica, now time.Time) {
	if r.permitsCold = r.isCold(now); !r.permitsCold {
		r.permits.SetLimit(r.signs.Limit, now)
		return
	}
	limit := p.permitLimit(r)
	r.permits.SetLimitAndKeep(limit, p.cold.KeepTime(limit), now)
}

// coldRate returns the requests a second that this entry may send to a replica that is possibly cold, and whether it
// is. While the share isn't known, an even one is assumed, so that refused clients are told to return at the rate at
// which they can be served.
func (p *Pool) coldRate(r *replica, now time.Time) (float64, bool) {
	if !r.isCold(now) {
		return 0, false
	}
	width := p.permitShare().Width
	if width == 0 {
		width = 1 / float64(max(p.options.Entries(), 1))
	}
	return p.permitLimit(r) * width, true
}

// rateAtReturn returns the requests a second that this entry may send when the next refused client returns, which is
// not before the given time. The rate under the limits is that of now; replicas that are warm by then take as many
// requests as their slots allow.
func (p *Pool) rateAtReturn(rate float64, earliest, now time.Time) float64 {
	if p.nextReturn.After(earliest) {
		earliest = p.nextReturn
	}
	if p.meanGrantTime == 0 {
		return rate
	}
	for _, r := range p.replicas {
		coldRate, isCold := p.coldRate(r, now)
		if !isCold || !r.available(now) || r.signs.Limit > 0 || r.isCold(earliest) {
			continue
		}
		warm := float64(p.limit(r)) / float64(max(p.options.Entries(), 1)) / p.meanGrantTime.Seconds()
		rate += max(warm-coldRate, 0)
	}
	return rate
}

// shareAt returns the share of this entry in the replica's permits. It also sets the limit of the permits.
func (p *Pool) shareAt(r *replica, now time.Time) permit.Share {
	if r.cold == nil {
		return p.share
	}
	isCold := r.isCold(now)
	if isCold != r.permitsCold {
		p.setPermitLimit(r, now)
	}
	if isCold {
		return p.permitShare()
	}
	return p.share
}

// unseenAt returns the number of requests that other entries may have sent to a replica and that this entry doesn't
// know of, given the number for warm ones. A cold replica gets no more of these than its rate allows, whatever the
// demand.
func (p *Pool) unseenAt(r *replica, unseen int) int {
	if !r.permitsCold {
		return unseen
	}
	return min(unseen, int(math.Ceil(p.permitLimit(r)*countsDelay.Seconds())))
}

// refreshCold applies the passing of time to the replicas that are possibly cold, and logs changes.
func (p *Pool) refreshCold() {
	now := p.options.Clock.Now()
	for _, r := range p.replicas {
		if r.cold == nil && !r.loggedCold {
			continue
		}
		if r.broken {
			r.suspectCold(now)
		}
		p.setPermitLimit(r, now)
		isCold := r.isCold(now)
		if isCold == r.loggedCold {
			continue
		}
		r.loggedCold = isCold
		if isCold {
			p.options.Logger.Info("replica possibly cold", zap.String("Replica", string(r.ID)), zap.String("Zone", string(r.Zone)),
				zap.Bool("GroupBroken", r.broken), zap.Duration("Warmup", r.WarmupTime), zap.Float64("Limit", p.permitLimit(r)))
			continue
		}
		p.options.Logger.Info("replica warm", zap.String("Replica", string(r.ID)), zap.String("Zone", string(r.Zone)))
	}
}

// coldReplicas returns the number of listed replicas that are possibly cold.
func (p *Pool) coldReplicas(now time.Time) int {
	n := 0
	for _, r := range p.replicas {
		if r.listed && r.isCold(now) {
			n++
		}
	}
	return n
}

// ColdReplicas returns the number of listed replicas that are possibly cold.
func (p *Pool) ColdReplicas() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coldReplicas(p.options.Clock.Now())
}
