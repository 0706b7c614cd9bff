package edge

import (
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/gossip"
)

const (
	// defaultConfigApplyTime is the time after which a configuration must be in force if the deployment
	// doesn't say.
	defaultConfigApplyTime = 2 * time.Second
	// minConfigApplyTime is the shortest such time. Messages that confirm a configuration are up to 0.4 s old.
	minConfigApplyTime = 500 * time.Millisecond
	// firstConfirmShare is the time after which the first entry of the deployment reads the
	// configuration's topic if nothing has confirmed that it has read all of it, as a share of
	// ConfigApplyTime. The rest is for the answer of a slow log and for messages to the other entries.
	firstConfirmShare = 0.5
	// nextConfirmShare is the same for the second entry. What an entry has learned reaches the last one in
	// three messages: through the representatives of both zones, in up to 0.4 s. Each further entry waits
	// confirmShareStep longer, up to maxConfirmShare.
	nextConfirmShare = 0.7
	confirmShareStep = 0.01
	maxConfirmShare  = 0.75
)

// confirmConfigAfter returns the time without a confirmation of the configuration after which this
// entry reads its topic. Entries wait in the order of their zones and names, so that one read
// confirms the configuration for all while the first one reaches the log and the others.
func (e *Entry) confirmConfigAfter() time.Duration {
	share := firstConfirmShare
	if rank := e.confirmRank(); rank > 0 {
		share = min(nextConfirmShare+confirmShareStep*float64(rank-1), maxConfirmShare)
	}
	return time.Duration(share * float64(e.options.ConfigApplyTime))
}

// confirmRank returns the number of zones that have been heard recently and come before the own one by
// name, and of such entries in the own zone.
func (e *Entry) confirmRank() int {
	rank := 0
	for zone := range e.recentZones() {
		if zone < e.options.Zone {
			rank++
		}
	}
	for _, note := range e.zonePeers() {
		if !note.Leaving && note.From < e.options.Self {
			rank++
		}
	}
	return rank
}

// configAge returns the time since the configuration was known to be the newest, or nil if it never was.
func (e *Entry) configAge() *time.Duration {
	at := e.configFollower.ConfirmedAt()
	if at.IsZero() {
		return nil
	}
	age := e.options.Clock.Since(at)
	return &age
}

// configConfirmed reports whether the configuration in force was known to be the newest within the time
// in which a newer one must be in force.
func (e *Entry) configConfirmed() bool {
	age := e.configAge()
	return age != nil && *age <= e.options.ConfigApplyTime
}

// confirmConfigByPeer confirms the configuration with what a peer knows of its topic.
func (e *Entry) confirmConfigByPeer(note gossip.Message) {
	offset, known := note.Offsets[e.options.Topics.Config]
	if note.ConfigAge == nil || *note.ConfigAge < 0 || !known {
		return
	}
	position := track.LogPosition{Era: note.Era, Offset: offset}
	e.configFollower.ConfirmByPeer(position, e.options.Clock.Now().Add(-*note.ConfigAge))
}
