package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
)

// rendezvousWeight returns the rendezvous hash of a candidate for a key.
func rendezvousWeight(key, candidate track.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(key))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(candidate))
	return d.Sum64()
}

// sortByRendezvousHash sorts candidates by descending rendezvous weight for the key.
// Keys are thus spread evenly over the candidates, and the loss of a candidate
// affects only the keys that it was first for.
func sortByRendezvousHash[T any](key track.InstanceID, candidates []T, id func(T) track.InstanceID) {
	slices.SortFunc(candidates, func(a, b T) int {
		return cmp.Or(
			cmp.Compare(rendezvousWeight(key, id(b)), rendezvousWeight(key, id(a))),
			cmp.Compare(id(a), id(b)),
		)
	})
}

// hashEntries returns a hash of a set of entries that doesn't depend on their order.
func hashEntries(entries []track.EntryRef) uint64 {
	var sum uint64
	for _, e := range entries {
		sum ^= hashInstance(e.Incarnation, string(e.ID), e.Address)
	}
	return sum
}

// hashCandidates returns a hash of a set of candidates that doesn't depend on their
// order. It is never 0, which stands for a set that was never received.
func hashCandidates(candidates []track.Candidate) uint64 {
	sum := uint64(1)
	for _, c := range candidates {
		sum += hashInstance(c.Incarnation, string(c.Agent), c.Address, c.Target)
	}
	return max(sum, 1)
}

func hashInstance(incarnation track.Incarnation, parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(incarnation)))
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
