package wire

import (
	"net/http"
	"slices"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

func headerToWire(h http.Header) []*wirepb.HeaderField {
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

func headerFromWire(fields []*wirepb.HeaderField) http.Header {
	if len(fields) == 0 {
		return nil
	}
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

func attemptToWire(id track.AttemptID) *wirepb.AttemptRef {
	return &wirepb.AttemptRef{Request: string(id.Request), Number: id.Number}
}

func attemptFromWire(ref *wirepb.AttemptRef) track.AttemptID {
	return track.AttemptID{Request: track.RequestID(ref.GetRequest()), Number: ref.GetNumber()}
}

func refToWire(ref track.AttemptRef) *wirepb.AttemptRef {
	m := attemptToWire(ref.ID)
	m.Agent = string(ref.Agent)
	m.Incarnation = uint64(ref.Incarnation)
	m.StampNs = int64(ref.Stamp)
	m.Keyed = ref.Keyed
	return m
}

func refFromWire(m *wirepb.AttemptRef) track.AttemptRef {
	return track.AttemptRef{
		ID:          attemptFromWire(m),
		Agent:       track.InstanceID(m.GetAgent()),
		Incarnation: track.Incarnation(m.GetIncarnation()),
		Stamp:       track.Stamp(m.GetStampNs()),
		Keyed:       m.GetKeyed(),
	}
}

func claimToWire(c *track.Claim) *wirepb.Claim {
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

func claimFromWire(c *wirepb.Claim) *track.Claim {
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

func dispatchToWire(d track.Dispatch) *wirepb.Dispatch {
	return &wirepb.Dispatch{
		Attempt:     attemptToWire(d.ID),
		Agent:       string(d.Agent),
		Incarnation: uint64(d.Incarnation),
		StampNs:     int64(d.Stamp),
		Kind:        int32(d.Kind),
		Target:      d.Target,
		Method:      d.Method,
		Path:        d.Path,
		Query:       d.Query,
		Header:      headerToWire(d.Header),
		Body:        d.Body,
		TimeoutNs:   int64(d.Timeout),
		Priority:    int32(d.Priority),
		Claim:       claimToWire(d.Claim),
		Fingerprint: d.Fingerprint,
		Isolated:    d.Isolated,
	}
}

func dispatchFromWire(d *wirepb.Dispatch) track.Dispatch {
	return track.Dispatch{
		ID:          attemptFromWire(d.GetAttempt()),
		Agent:       track.InstanceID(d.GetAgent()),
		Incarnation: track.Incarnation(d.GetIncarnation()),
		Stamp:       track.Stamp(d.GetStampNs()),
		Kind:        track.CallKind(d.GetKind()),
		Target:      d.GetTarget(),
		Method:      d.GetMethod(),
		Path:        d.GetPath(),
		Query:       d.GetQuery(),
		Header:      headerFromWire(d.GetHeader()),
		Body:        d.GetBody(),
		Timeout:     time.Duration(d.GetTimeoutNs()),
		Priority:    track.Priority(d.GetPriority()),
		Claim:       claimFromWire(d.GetClaim()),
		Fingerprint: d.GetFingerprint(),
		Isolated:    d.GetIsolated(),
	}
}

func frameToWire(f track.Frame) *wirepb.Frame {
	return &wirepb.Frame{
		Attempt: attemptToWire(f.ID),
		Seq:     f.Seq,
		Kind:    int32(f.Kind),
		Status:  int32(f.Status),
		Header:  headerToWire(f.Header),
		Data:    f.Data,
		Outcome: int32(f.Outcome),
		Refusal: string(f.Refusal),
		Crashed: f.Crashed,
		Fault:   f.Fault,
	}
}

func frameFromWire(f *wirepb.Frame) track.Frame {
	return track.Frame{
		ID:      attemptFromWire(f.GetAttempt()),
		Seq:     f.GetSeq(),
		Kind:    track.FrameKind(f.GetKind()),
		Status:  int(f.GetStatus()),
		Header:  headerFromWire(f.GetHeader()),
		Data:    f.GetData(),
		Outcome: track.Outcome(f.GetOutcome()),
		Refusal: track.Refusal(f.GetRefusal()),
		Crashed: f.GetCrashed(),
		Fault:   f.GetFault(),
	}
}
