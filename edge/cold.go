package edge

import (
	"slices"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/cold"
	"filberttrack.example/track/permit"
)

// peersKnownAfter is the time after its start for which an entry sends nothing to cold replicas. Entries that
// start together aren't all in the list of members when the first of them read it.
const peersKnownAfter = time.Second

// peersHeardAfter is that time while the log doesn't answer with the list of members: all peers that this entry can
// reach have sent messages by then.
const peersHeardAfter = 5 * time.Second

// coldSpec adds the bounds of the settings to the description of a service's cold replicas.
func (e *Entry) coldSpec(s track.ColdSpec) cold.Spec {
	return cold.Spec{
		StartTime: s.StartTime, PerSecond: s.PerSecond,
		Overshoot: e.options.ColdOvershoot, Slack: e.options.ColdSlack,
	}
}

// coldShare returns this entry's share of the requests to cold replicas, which is the same for all entries. Shares
// in proportion to demand would add up to far more than one when the demand rises at all entries at the same moment,
// or on both sides of a cut, since each entry knows only its own new demand. The share is empty until the entry
// knows its peers.
func (e *Entry) coldShare(demands []demandOf) permit.Share {
	knownAfter := peersHeardAfter
	if e.memberFollower.Mirror().Loaded() {
		knownAfter = peersKnownAfter
	}
	if e.options.Clock.Since(e.startedAt) < knownAfter {
		return permit.Share{}
	}
	even := slices.Clone(demands)
	for i := range even {
		even[i].rate = 0
	}
	return ownShare(even)
}
