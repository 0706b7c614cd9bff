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

// sums keeps the digests of the parts of a state, so that the checksum of a
// state costs little after a change of one object.
type sums struct {
	// keys is sorted and has an element for each item.
	keys    []Key
	items   map[Key]digest
	history []digest
}

func newSums() sums {
	return sums{items: make(map[Key]digest)}
}

func (s *sums) clone() sums {
	return sums{keys: slices.Clone(s.keys), items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

func (s *sums) put(item Item) {
	if i, found := slices.BinarySearchFunc(s.keys, item.Key, Key.Compare); !found {
		s.keys = slices.Insert(s.keys, i, item.Key)
	}
	s.items[item.Key] = digestOf(item)
}

func (s *sums) remove(key Key) {
	if i, found := slices.BinarySearchFunc(s.keys, key, Key.Compare); found {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
	delete(s.items, key)
}

func (s *sums) remember(d Decided) {
	s.history = append(s.history, digestOf(d))
}

func (s *sums) forget() {
	s.history = s.history[1:]
}

func digestOf[T any](value T) digest {
	// Items and decisions always encode: their JSON was checked and their times
	// are within RFC 3339.
	data, _ := json.Marshal(value)
	return sha256.Sum256(data)
}

// Checksum returns the hexadecimal SHA-256 over the digests of all parts of the
// state, in their canonical order. Equal states have equal checksums.
func (s *State) Checksum() string {
	h := sha256.New()
	fmt.Fprintln(h, s.version, s.seq, s.floor, len(s.sums.keys), len(s.sums.history))
	for _, key := range s.sums.keys {
		d := s.sums.items[key]
		h.Write(d[:])
	}
	for _, d := range s.sums.history {
		h.Write(d[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}
