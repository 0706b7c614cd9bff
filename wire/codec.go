package wire

import (
	"net/http"
	"slices"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// The functions of this file convert between the types of track and the messages of the
// gRPC protocol.

// headerToProto returns the fields sorted by name.
func headerToProto(h http.Header) []*wirepb.HeaderField {
	if len(h) == 0 {
		return nil
	}
	fields := make([]*wirepb.HeaderField, 0, len(h))
	for name, values := range h {
		fields = append(fields, &wirepb.HeaderField{Name: name, Values: values})
	}
	slices.SortFunc(fields, func(a, b *wirepb.HeaderField) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return fields
}

func headerFromProto(fields []*wirepb.HeaderField) http.Header {
	if len(fields) == 0 {
		return nil
	}
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

func attemptIDToProto(id track.AttemptID) *wirepb.AttemptRef {
	return &wirepb.AttemptRef{Request: string(id.Request), Number: id.Number}
}

func attemptIDFromProto(ref *wirepb.AttemptRef) track.AttemptID {
	return track.AttemptID{Request: track.RequestID(ref.GetRequest()), Number: ref.GetNumber()}
}

func attemptRefToProto(ref track.AttemptRef) *wirepb.AttemptRef {
	m := attemptIDToProto(ref.ID)
	m.Agent = string(ref.Agent)
	m.Incarnation = uint64(ref.Incarnation)
	m.StampNs = int64(ref.Stamp)
	m.Keyed = ref.HasClaim
	return m
}

func attemptRefFromProto(m *wirepb.AttemptRef) track.AttemptRef {
	return track.AttemptRef{
		ID:          attemptIDFromProto(m),
		Agent:       track.InstanceID(m.GetAgent()),
		Incarnation: track.Incarnation(m.GetIncarnation()),
		Stamp:       track.Stamp(m.GetStampNs()),
		HasClaim:    m.GetKeyed(),
	}
}

func claimToProto(c *track.Claim) *wirepb.Claim {
	if c == nil {
		return nil
	}
	return &wirepb.Claim{
		Account:        c.Account,
		Service:        c.Service,
		IdempotencyKey: c.IdempotencyKey,
		BodySha256:     c.BodySHA256,
		Offset:         c.Offset,
	}
}

func claimFromProto(c *wirepb.Claim) *track.Claim {
	if c == nil {
		return nil
	}
	return &track.Claim{
		Account:        c.GetAccount(),
		Service:        c.GetService(),
		IdempotencyKey: c.GetIdempotencyKey(),
		BodySHA256:     c.GetBodySha256(),
		Offset:         c.GetOffset(),
	}
}

func dispatchToProto(d track.Dispatch) *wirepb.Dispatch {
	return &wirepb.Dispatch{
		Attempt:     attemptIDToProto(d.ID),
		Agent:       string(d.Agent),
		Incarnation: uint64(d.Incarnation),
		StampNs:     int64(d.Stamp),
		Kind:        int32(d.Kind),
		Target:      d.Target,
		Method:      d.Method,
		Path:        d.Path,
		Query:       d.Query,
		Header:      headerToProto(d.Header),
		Body:        d.Body,
		TimeoutNs:   int64(d.Timeout),
		Priority:    int32(d.Priority),
		Claim:       claimToProto(d.Claim),
		Fingerprint: d.Fingerprint,
		Isolated:    d.Isolated,
	}
}

func dispatchFromProto(d *wirepb.Dispatch) track.Dispatch {
	return track.Dispatch{
		ID:          attemptIDFromProto(d.GetAttempt()),
		Agent:       track.InstanceID(d.GetAgent()),
		Incarnation: track.Incarnation(d.GetIncarnation()),
		Stamp:       track.Stamp(d.GetStampNs()),
		Kind:        track.CallKind(d.GetKind()),
		Target:      d.GetTarget(),
		Method:      d.GetMethod(),
		Path:        d.GetPath(),
		Query:       d.GetQuery(),
		Header:      headerFromProto(d.GetHeader()),
		Body:        d.GetBody(),
		Timeout:     time.Duration(d.GetTimeoutNs()),
		Priority:    track.Priority(d.GetPriority()),
		Claim:       claimFromProto(d.GetClaim()),
		Fingerprint: d.GetFingerprint(),
		Isolated:    d.GetIsolated(),
	}
}

func frameToProto(f track.Frame) *wirepb.Frame {
	return &wirepb.Frame{
		Attempt: attemptIDToProto(f.ID),
		Seq:     f.Seq,
		Kind:    int32(f.Kind),
		Status:  int32(f.Status),
		Header:  headerToProto(f.Header),
		Data:    f.Data,
		Outcome: int32(f.Outcome),
		Refusal: string(f.Refusal),
		Crashed: f.Crashed,
		Fault:   f.Fault,
	}
}

func frameFromProto(f *wirepb.Frame) track.Frame {
	return track.Frame{
		ID:      attemptIDFromProto(f.GetAttempt()),
		Seq:     f.GetSeq(),
		Kind:    track.FrameKind(f.GetKind()),
		Status:  int(f.GetStatus()),
		Header:  headerFromProto(f.GetHeader()),
		Data:    f.GetData(),
		Outcome: track.Outcome(f.GetOutcome()),
		Refusal: track.Refusal(f.GetRefusal()),
		Crashed: f.GetCrashed(),
		Fault:   f.GetFault(),
	}
}
