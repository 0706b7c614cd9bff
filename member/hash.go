package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
)

// weight returns the rendezvous weight of a candidate for a chooser.
func weight(chooser, candidate track.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(chooser))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(candidate))
	return d.Sum64()
}

// rendezvous sorts candidates by descending weight for the chooser, so that
// choosers spread evenly and a lost candidate moves only its own choosers.
func rendezvous[T any](chooser track.InstanceID, candidates []T, id func(T) track.InstanceID) {
	slices.SortFunc(candidates, func(a, b T) int {
		return cmp.Or(
			cmp.Compare(weight(chooser, id(b)), weight(chooser, id(a))),
			cmp.Compare(id(a), id(b)),
		)
	})
}

// rosterHash identifies a set of entries, in whatever order.
func rosterHash(entries []track.EntryRef) uint64 {
	var sum uint64
	for _, e := range entries {
		sum ^= hashOf(e.Incarnation, string(e.ID), e.Address)
	}
	return sum
}

// candidatesHash identifies a set of candidates, in whatever order. It is
// never 0, the hash of a set that was never received.
func candidatesHash(candidates []track.Candidate) uint64 {
	sum := uint64(1)
	for _, c := range candidates {
		sum += hashOf(c.Incarnation, string(c.Agent), c.Address, c.Target)
	}
	return max(sum, 1)
}

func hashOf(incarnation track.Incarnation, parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(incarnation)))
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
