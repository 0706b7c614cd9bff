package wire

import (
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// EncodeHeartbeat returns the gRPC message for a heartbeat.
func EncodeHeartbeat(h track.Heartbeat) *wirepb.HeartbeatRequest {
	return &wirepb.HeartbeatRequest{
		From:        encodeInstance(h.From),
		Incarnation: uint64(h.Incarnation),
		Seq:         h.Seq,
		Leaving:     h.Leaving,
		Up:          h.Up,
		Load:        encodeLoad(h.Load),
		Roster:      h.EntriesHash,
		Marked:      convert(h.ListedLeaving, func(id track.InstanceID) string { return string(id) }),
		Payloads:    convert(h.Payloads, encodePayload),
	}
}

func decodeHeartbeat(m *wirepb.HeartbeatRequest) track.Heartbeat {
	return track.Heartbeat{
		From:          decodeInstance(m.GetFrom()),
		Incarnation:   track.Incarnation(m.GetIncarnation()),
		Seq:           m.GetSeq(),
		Leaving:       m.GetLeaving(),
		Up:            m.GetUp(),
		Load:          decodeLoad(m.GetLoad()),
		EntriesHash:   m.GetRoster(),
		ListedLeaving: convert(m.GetMarked(), func(id string) track.InstanceID { return track.InstanceID(id) }),
		Payloads:      convert(m.GetPayloads(), decodePayload),
	}
}

// EncodeHeartbeatReply returns the gRPC message for the reply to a heartbeat.
func EncodeHeartbeatReply(r track.HeartbeatReply) *wirepb.HeartbeatReply {
	m := &wirepb.HeartbeatReply{
		From:        string(r.From),
		Incarnation: uint64(r.Incarnation),
		IntervalNs:  int64(r.Interval),
		Payloads:    convert(r.Payloads, encodePayload),
		Entries: convert(r.Entries, func(e track.EntryRef) *wirepb.EntryRef {
			return &wirepb.EntryRef{Id: string(e.ID), Incarnation: uint64(e.Incarnation), Address: e.Address}
		}),
	}
	if r.AgentState != nil {
		m.Self = EncodeHeartbeat(*r.AgentState)
	}
	return m
}

func decodeHeartbeatReply(m *wirepb.HeartbeatReply) track.HeartbeatReply {
	r := track.HeartbeatReply{
		From:        track.InstanceID(m.GetFrom()),
		Incarnation: track.Incarnation(m.GetIncarnation()),
		Interval:    time.Duration(m.GetIntervalNs()),
		Payloads:    convert(m.GetPayloads(), decodePayload),
		Entries: convert(m.GetEntries(), func(e *wirepb.EntryRef) track.EntryRef {
			return track.EntryRef{
				ID: track.InstanceID(e.GetId()), Incarnation: track.Incarnation(e.GetIncarnation()), Address: e.GetAddress(),
			}
		}),
	}
	if m.GetSelf() != nil {
		self := decodeHeartbeat(m.GetSelf())
		r.AgentState = &self
	}
	return r
}

// EncodeDigestQuery returns the gRPC message for a digest query.
func EncodeDigestQuery(q track.DigestQuery) *wirepb.DigestRequest {
	return &wirepb.DigestRequest{From: encodeInstance(q.From), Known: q.CandidatesHash, Limit: int32(q.Limit)}
}

func decodeDigestQuery(m *wirepb.DigestRequest) track.DigestQuery {
	return track.DigestQuery{From: decodeInstance(m.GetFrom()), CandidatesHash: m.GetKnown(), Limit: int(m.GetLimit())}
}

// EncodeDigest returns the gRPC message for a digest.
func EncodeDigest(d track.Digest) *wirepb.DigestReply {
	return &wirepb.DigestReply{
		From:           string(d.From),
		Zone:           string(d.Zone),
		CandidatesHash: d.CandidatesHash,
		Targets: convert(d.Targets, func(t track.TargetDigest) *wirepb.TargetDigest {
			return &wirepb.TargetDigest{
				Target: t.Target, Ready: int32(t.Ready), Running: int32(t.Running),
				Queued: int32(t.Queued), Capacity: int32(t.Capacity),
			}
		}),
		Candidates: convert(d.Candidates, func(c track.Candidate) *wirepb.DigestCandidate {
			return &wirepb.DigestCandidate{
				Agent: string(c.Agent), Incarnation: uint64(c.Incarnation), Address: c.Address, Target: c.Target,
			}
		}),
		Payloads: convert(d.Payloads, encodePayload),
	}
}

func decodeDigest(m *wirepb.DigestReply) track.Digest {
	return track.Digest{
		From:           track.InstanceID(m.GetFrom()),
		Zone:           track.AvailabilityZone(m.GetZone()),
		CandidatesHash: m.GetCandidatesHash(),
		Targets: convert(m.GetTargets(), func(t *wirepb.TargetDigest) track.TargetDigest {
			return track.TargetDigest{
				Target: t.GetTarget(), Ready: int(t.GetReady()), Running: int(t.GetRunning()),
				Queued: int(t.GetQueued()), Capacity: int(t.GetCapacity()),
			}
		}),
		Candidates: convert(m.GetCandidates(), func(c *wirepb.DigestCandidate) track.Candidate {
			return track.Candidate{
				Agent: track.InstanceID(c.GetAgent()), Incarnation: track.Incarnation(c.GetIncarnation()),
				Address: c.GetAddress(), Target: c.GetTarget(),
			}
		}),
		Payloads: convert(m.GetPayloads(), decodePayload),
	}
}

func encodeInstance(i track.Instance) *wirepb.PeerInstance {
	return &wirepb.PeerInstance{
		Id: string(i.ID), Role: string(i.Role), Region: string(i.Region), Zone: string(i.Zone),
		Address: i.Address, Serves: i.Serves, Group: i.Group, Ranks: int32(i.Ranks), State: string(i.State),
	}
}

func decodeInstance(m *wirepb.PeerInstance) track.Instance {
	return track.Instance{
		ID: track.InstanceID(m.GetId()), Role: track.Role(m.GetRole()), Region: track.Region(m.GetRegion()),
		Zone: track.AvailabilityZone(m.GetZone()), Address: m.GetAddress(), Serves: m.GetServes(),
		Group: m.GetGroup(), Ranks: int(m.GetRanks()), State: track.InstanceState(m.GetState()),
	}
}

func encodeLoad(l track.Load) *wirepb.PeerLoad {
	return &wirepb.PeerLoad{
		Running: int32(l.Running), Queued: int32(l.Queued), Capacity: int32(l.Capacity),
		TokensInFlight: int64(l.TokensInFlight), StepTimeNs: int64(l.StepTime), CachedPrefixes: l.CachedPrefixes,
		StampNs: int64(l.Stamp),
	}
}

func decodeLoad(m *wirepb.PeerLoad) track.Load {
	return track.Load{
		Running: int(m.GetRunning()), Queued: int(m.GetQueued()), Capacity: int(m.GetCapacity()),
		TokensInFlight: int(m.GetTokensInFlight()), StepTime: time.Duration(m.GetStepTimeNs()),
		CachedPrefixes: m.GetCachedPrefixes(), Stamp: track.Stamp(m.GetStampNs()),
	}
}

func encodePayload(p track.Payload) *wirepb.TopicPayload {
	return &wirepb.TopicPayload{Topic: string(p.Topic), Data: p.Data}
}

func decodePayload(m *wirepb.TopicPayload) track.Payload {
	return track.Payload{Topic: track.Topic(m.GetTopic()), Data: m.GetData()}
}

// convert applies a function to each element of a list. It returns nil for an empty
// list.
func convert[A, B any](list []A, convertElement func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, len(list))
	for i, a := range list {
		out[i] = convertElement(a)
	}
	return out
}
