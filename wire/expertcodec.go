package wire

import (
	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

func ballotToWire(b track.Ballot) *wirepb.Ballot {
	return &wirepb.Ballot{Number: b.Number, Driver: string(b.Driver), Incarnation: uint64(b.Incarnation)}
}

func ballotFromWire(b *wirepb.Ballot) track.Ballot {
	return track.Ballot{
		Number:      b.GetNumber(),
		Driver:      track.InstanceID(b.GetDriver()),
		Incarnation: track.Incarnation(b.GetIncarnation()),
	}
}

func rankToWire(r track.RankID) *wirepb.RankRef {
	return &wirepb.RankRef{Agent: string(r.Agent), Rank: int32(r.Rank)}
}

func rankFromWire(r *wirepb.RankRef) track.RankID {
	return track.RankID{Agent: track.InstanceID(r.GetAgent()), Rank: int(r.GetRank())}
}

func mapToWire(m *track.ExpertMap) *wirepb.ExpertMap {
	if m == nil {
		return nil
	}
	out := &wirepb.ExpertMap{
		Version: ballotToWire(m.Version), Experts: int32(m.Experts), Slots: int32(m.Slots), Layers: int32(len(m.Layers)),
	}
	for _, layer := range m.Layers {
		out.Held = append(out.Held, layer...)
	}
	return out
}

func mapFromWire(m *wirepb.ExpertMap) *track.ExpertMap {
	if m == nil {
		return nil
	}
	out := &track.ExpertMap{
		Version: ballotFromWire(m.GetVersion()), Experts: int(m.GetExperts()), Slots: int(m.GetSlots()),
	}
	out.Layers = split(m.GetHeld(), int(m.GetLayers()))
	return out
}

// split cuts the values into a number of layers of the same length.
func split[T any](values []T, layers int) [][]T {
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

func changeToWire(c *track.MapChange) *wirepb.MapChange {
	if c == nil {
		return nil
	}
	out := &wirepb.MapChange{Version: ballotToWire(c.Version), Base: ballotToWire(c.Base)}
	for _, s := range c.Slots {
		out.Slots = append(out.Slots, &wirepb.SlotChange{Layer: s.Layer, Slot: s.Slot, Expert: s.Expert})
	}
	return out
}

func changeFromWire(c *wirepb.MapChange) *track.MapChange {
	if c == nil {
		return nil
	}
	out := &track.MapChange{Version: ballotFromWire(c.GetVersion()), Base: ballotFromWire(c.GetBase())}
	for _, s := range c.GetSlots() {
		out.Slots = append(out.Slots, track.SlotChange{Layer: s.GetLayer(), Slot: s.GetSlot(), Expert: s.GetExpert()})
	}
	return out
}

func switchToWire(s *track.MapSwitch) *wirepb.MapSwitch {
	if s == nil {
		return nil
	}
	return &wirepb.MapSwitch{Version: ballotToWire(s.Version), Step: s.Step}
}

func switchFromWire(s *wirepb.MapSwitch) *track.MapSwitch {
	if s == nil {
		return nil
	}
	return &track.MapSwitch{Version: ballotFromWire(s.GetVersion()), Step: s.GetStep()}
}

func stateToWire(s *track.RankState) *wirepb.RankState {
	if s == nil {
		return nil
	}
	return &wirepb.RankState{
		Boot:     s.StartID,
		Blank:    s.NoMap,
		Step:     s.Step,
		Map:      mapToWire(&s.Map),
		Prepared: mapToWire(s.Prepared),
		Armed:    switchToWire(s.Armed),
		Arming:   s.ArmID,
		Decided:  s.Committed,
		Fence:    s.FencingToken,
	}
}

func stateFromWire(s *wirepb.RankState) *track.RankState {
	if s == nil {
		return nil
	}
	out := &track.RankState{
		StartID:      s.GetBoot(),
		NoMap:        s.GetBlank(),
		Step:         s.GetStep(),
		Prepared:     mapFromWire(s.GetPrepared()),
		Armed:        switchFromWire(s.GetArmed()),
		ArmID:        s.GetArming(),
		Committed:    s.GetDecided(),
		FencingToken: s.GetFence(),
	}
	if m := mapFromWire(s.GetMap()); m != nil {
		out.Map = *m
	}
	return out
}

func orderToWire(o track.MapOrder) *wirepb.MapOrder {
	return &wirepb.MapOrder{
		Kind:        string(o.Kind),
		Ballot:      ballotToWire(o.Ballot),
		To:          rankToWire(o.To),
		Incarnation: uint64(o.Incarnation),
		Switch:      switchToWire(&o.Switch),
		Maps:        o.WithLayers,
		Change:      changeToWire(o.Change),
		State:       stateToWire(o.State),
	}
}

func orderFromWire(o *wirepb.MapOrder) track.MapOrder {
	out := track.MapOrder{
		Kind:        track.MapOrderKind(o.GetKind()),
		Ballot:      ballotFromWire(o.GetBallot()),
		To:          rankFromWire(o.GetTo()),
		Incarnation: track.Incarnation(o.GetIncarnation()),
		WithLayers:  o.GetMaps(),
		Change:      changeFromWire(o.GetChange()),
		State:       stateFromWire(o.GetState()),
	}
	if s := switchFromWire(o.GetSwitch()); s != nil {
		out.Switch = *s
	}
	return out
}

func mapReplyToWire(r track.MapReply) *wirepb.MapReply {
	return &wirepb.MapReply{
		Kind:        string(r.Kind),
		Ballot:      ballotToWire(r.Ballot),
		From:        rankToWire(r.From),
		Incarnation: uint64(r.Incarnation),
		Refusal:     string(r.Refusal),
		Fault:       r.RefusalDetail,
		Promised:    ballotToWire(r.Promised),
		State:       stateToWire(&r.State),
	}
}

func mapReplyFromWire(r *wirepb.MapReply) track.MapReply {
	out := track.MapReply{
		Kind:          track.MapOrderKind(r.GetKind()),
		Ballot:        ballotFromWire(r.GetBallot()),
		From:          rankFromWire(r.GetFrom()),
		Incarnation:   track.Incarnation(r.GetIncarnation()),
		Refusal:       track.MapRefusal(r.GetRefusal()),
		RefusalDetail: r.GetFault(),
		Promised:      ballotFromWire(r.GetPromised()),
	}
	if s := stateFromWire(r.GetState()); s != nil {
		out.State = *s
	}
	return out
}

func countsToWire(c track.ExpertCounts) *wirepb.ExpertCounts {
	out := &wirepb.ExpertCounts{Window: c.Window, Layers: int32(len(c.Tokens))}
	for _, layer := range c.Tokens {
		for _, tokens := range layer {
			out.Tokens = append(out.Tokens, float32(tokens))
		}
	}
	return out
}

func countsFromWire(c *wirepb.ExpertCounts) track.ExpertCounts {
	tokens := make([]float64, len(c.GetTokens()))
	for i, n := range c.GetTokens() {
		tokens[i] = float64(n)
	}
	return track.ExpertCounts{Window: c.GetWindow(), Tokens: split(tokens, int(c.GetLayers()))}
}
