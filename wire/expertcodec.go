package wire

import (
	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// The functions of this file convert between the types of track and the messages of the
// gRPC protocol for rank groups.

func ballotToProto(b track.Ballot) *wirepb.Ballot {
	return &wirepb.Ballot{Number: b.Number, Driver: string(b.Driver), Incarnation: uint64(b.Incarnation)}
}

func ballotFromProto(b *wirepb.Ballot) track.Ballot {
	return track.Ballot{
		Number:      b.GetNumber(),
		Driver:      track.InstanceID(b.GetDriver()),
		Incarnation: track.Incarnation(b.GetIncarnation()),
	}
}

func rankIDToProto(r track.RankID) *wirepb.RankRef {
	return &wirepb.RankRef{Agent: string(r.Agent), Rank: int32(r.Rank)}
}

func rankIDFromProto(r *wirepb.RankRef) track.RankID {
	return track.RankID{Agent: track.InstanceID(r.GetAgent()), Rank: int(r.GetRank())}
}

func expertMapToProto(m *track.ExpertMap) *wirepb.ExpertMap {
	if m == nil {
		return nil
	}
	out := &wirepb.ExpertMap{
		Version: ballotToProto(m.Version), Experts: int32(m.Experts), Slots: int32(m.Slots), Layers: int32(len(m.Layers)),
	}
	for _, layer := range m.Layers {
		out.Held = append(out.Held, layer...)
	}
	return out
}

func expertMapFromProto(m *wirepb.ExpertMap) *track.ExpertMap {
	if m == nil {
		return nil
	}
	out := &track.ExpertMap{
		Version: ballotFromProto(m.GetVersion()), Experts: int(m.GetExperts()), Slots: int(m.GetSlots()),
	}
	out.Layers = splitLayers(m.GetHeld(), int(m.GetLayers()))
	return out
}

// splitLayers splits the values into the given number of layers of equal length. It
// returns nil if that is impossible.
func splitLayers[T any](values []T, layers int) [][]T {
	if layers <= 0 || len(values) == 0 || len(values)%layers != 0 {
		return nil
	}
	n := len(values) / layers
	out := make([][]T, layers)
	for i := range out {
		out[i] = values[i*n : (i+1)*n]
	}
	return out
}

func mapChangeToProto(c *track.MapChange) *wirepb.MapChange {
	if c == nil {
		return nil
	}
	out := &wirepb.MapChange{Version: ballotToProto(c.Version), Base: ballotToProto(c.Base)}
	for _, s := range c.Slots {
		out.Slots = append(out.Slots, &wirepb.SlotChange{Layer: s.Layer, Slot: s.Slot, Expert: s.Expert})
	}
	return out
}

func mapChangeFromProto(c *wirepb.MapChange) *track.MapChange {
	if c == nil {
		return nil
	}
	out := &track.MapChange{Version: ballotFromProto(c.GetVersion()), Base: ballotFromProto(c.GetBase())}
	for _, s := range c.GetSlots() {
		out.Slots = append(out.Slots, track.SlotChange{Layer: s.GetLayer(), Slot: s.GetSlot(), Expert: s.GetExpert()})
	}
	return out
}

func mapSwitchToProto(s *track.MapSwitch) *wirepb.MapSwitch {
	if s == nil {
		return nil
	}
	return &wirepb.MapSwitch{Version: ballotToProto(s.Version), Step: s.Step}
}

func mapSwitchFromProto(s *wirepb.MapSwitch) *track.MapSwitch {
	if s == nil {
		return nil
	}
	return &track.MapSwitch{Version: ballotFromProto(s.GetVersion()), Step: s.GetStep()}
}

func rankStateToProto(s *track.RankState) *wirepb.RankState {
	if s == nil {
		return nil
	}
	return &wirepb.RankState{
		Boot:     s.StartID,
		Blank:    s.NoMap,
		Step:     s.Step,
		Map:      expertMapToProto(&s.Map),
		Prepared: expertMapToProto(s.Prepared),
		Armed:    mapSwitchToProto(s.Armed),
		Arming:   s.ArmID,
		Decided:  s.Committed,
		Fence:    s.FencingToken,
	}
}

func rankStateFromProto(s *wirepb.RankState) *track.RankState {
	if s == nil {
		return nil
	}
	out := &track.RankState{
		StartID:      s.GetBoot(),
		NoMap:        s.GetBlank(),
		Step:         s.GetStep(),
		Prepared:     expertMapFromProto(s.GetPrepared()),
		Armed:        mapSwitchFromProto(s.GetArmed()),
		ArmID:        s.GetArming(),
		Committed:    s.GetDecided(),
		FencingToken: s.GetFence(),
	}
	if m := expertMapFromProto(s.GetMap()); m != nil {
		out.Map = *m
	}
	return out
}

func mapOrderToProto(o track.MapOrder) *wirepb.MapOrder {
	return &wirepb.MapOrder{
		Kind:        string(o.Kind),
		Ballot:      ballotToProto(o.Ballot),
		To:          rankIDToProto(o.To),
		Incarnation: uint64(o.Incarnation),
		Switch:      mapSwitchToProto(&o.Switch),
		Maps:        o.WithLayers,
		Change:      mapChangeToProto(o.Change),
		State:       rankStateToProto(o.State),
	}
}

func mapOrderFromProto(o *wirepb.MapOrder) track.MapOrder {
	out := track.MapOrder{
		Kind:        track.MapOrderKind(o.GetKind()),
		Ballot:      ballotFromProto(o.GetBallot()),
		To:          rankIDFromProto(o.GetTo()),
		Incarnation: track.Incarnation(o.GetIncarnation()),
		WithLayers:  o.GetMaps(),
		Change:      mapChangeFromProto(o.GetChange()),
		State:       rankStateFromProto(o.GetState()),
	}
	if s := mapSwitchFromProto(o.GetSwitch()); s != nil {
		out.Switch = *s
	}
	return out
}

func mapReplyToProto(r track.MapReply) *wirepb.MapReply {
	return &wirepb.MapReply{
		Kind:        string(r.Kind),
		Ballot:      ballotToProto(r.Ballot),
		From:        rankIDToProto(r.From),
		Incarnation: uint64(r.Incarnation),
		Refusal:     string(r.Refusal),
		Fault:       r.RefusalDetail,
		Promised:    ballotToProto(r.Promised),
		State:       rankStateToProto(&r.State),
	}
}

func mapReplyFromProto(r *wirepb.MapReply) track.MapReply {
	out := track.MapReply{
		Kind:          track.MapOrderKind(r.GetKind()),
		Ballot:        ballotFromProto(r.GetBallot()),
		From:          rankIDFromProto(r.GetFrom()),
		Incarnation:   track.Incarnation(r.GetIncarnation()),
		Refusal:       track.MapRefusal(r.GetRefusal()),
		RefusalDetail: r.GetFault(),
		Promised:      ballotFromProto(r.GetPromised()),
	}
	if s := rankStateFromProto(r.GetState()); s != nil {
		out.State = *s
	}
	return out
}

func expertCountsToProto(c track.ExpertCounts) *wirepb.ExpertCounts {
	out := &wirepb.ExpertCounts{Window: c.Window, Layers: int32(len(c.Tokens))}
	for _, layer := range c.Tokens {
		for _, tokens := range layer {
			out.Tokens = append(out.Tokens, float32(tokens))
		}
	}
	return out
}

func expertCountsFromProto(c *wirepb.ExpertCounts) track.ExpertCounts {
	tokens := make([]float64, len(c.GetTokens()))
	for i, n := range c.GetTokens() {
		tokens[i] = float64(n)
	}
	return track.ExpertCounts{Window: c.GetWindow(), Tokens: splitLayers(tokens, int(c.GetLayers()))}
}
