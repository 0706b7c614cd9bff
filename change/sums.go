package change

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

type digest = [sha256.Size]byte

// stateDigests caches the digests of the parts of a state, so that the checksum
// is cheap to compute after a change to one object.
type stateDigests struct {
	// keys is sorted and has one element for each item.
	keys    []Key
	items   map[Key]digest
	history []digest
}

func newStateDigests() stateDigests {
	return stateDigests{items: make(map[Key]digest)}
}

func (s *stateDigests) clone() stateDigests {
	return stateDigests{keys: slices.Clone(s.keys), items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

func (s *stateDigests) putItem(item Item) {
	if i, found := slices.BinarySearchFunc(s.keys, item.Key, Key.Compare); !found {
		s.keys = slices.Insert(s.keys, i, item.Key)
	}
	s.items[item.Key] = digestOf(item)
}

func (s *stateDigests) removeItem(key Key) {
	if i, found := slices.BinarySearchFunc(s.keys, key, Key.Compare); found {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
	delete(s.items, key)
}

func (s *stateDigests) addDecision(d Decision) {
	s.history = append(s.history, digestOf(d))
}

func (s *stateDigests) dropOldestDecision() {
	s.history = s.history[1:]
}

func digestOf[T any](value T) digest {
	// Encoding items and decisions can't fail: their JSON has been checked and
	// their times are within the range of RFC 3339.
	data, _ := json.Marshal(value)
	return sha256.Sum256(data)
}

// Checksum returns the hexadecimal SHA-256 over the digests of all parts of the
// state, in their canonical order. Equal states have equal checksums.
func (s *State) Checksum() string {
	h := sha256.New()
	fmt.Fprintln(h, s.version, s.seq, s.droppedSeq, len(s.digests.keys), len(s.digests.history))
	for _, key := range s.digests.keys {
		d := s.digests.items[key]
		h.Write(d[:])
	}
	for _, d := range s.digests.history {
		h.Write(d[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}
