package change

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"filberttrack.example/track"
)

// Difference is an object that differs between two versions; a missing object
// has the value null.
type Difference struct {
	Key
	From json.RawMessage
	To   json.RawMessage
}

// Diff returns the objects that differ between two versions, in order.
func (s *State) Diff(from, to uint64) ([]Difference, error) {
	old, err := s.undone(from)
	if err != nil {
		return nil, err
	}
	fresh, err := s.undone(to)
	if err != nil {
		return nil, err
	}
	keys := maps.Clone(old)
	maps.Copy(keys, fresh)
	var differences []Difference
	for _, key := range slices.SortedFunc(maps.Keys(keys), Key.Compare) {
		d := Difference{Key: key, From: s.valueIn(old, key), To: s.valueIn(fresh, key)}
		if !bytes.Equal(d.From, d.To) {
			differences = append(differences, d)
		}
	}
	return differences, nil
}

// Rollback returns the edits that bring back all objects as they were at the
// given version.
func (s *State) Rollback(version uint64) ([]Edit, error) {
	differences, err := s.Diff(s.version, version)
	if err != nil {
		return nil, err
	}
	edits := make([]Edit, len(differences))
	for i, d := range differences {
		edits[i] = Edit{Key: d.Key, Replaces: s.items[d.Key].Version, Value: d.To}
	}
	return edits, nil
}

// Load returns the edits that bring the state to the objects of a configuration.
// Objects that the configuration does not name are kept.
func (s *State) Load(cfg *track.Config) ([]Edit, error) {
	var edits []Edit
	for _, kind := range Kinds() {
		values, err := collections[kind].values(cfg)
		if err != nil {
			return nil, track.Fail("load "+string(kind), Invalid, err)
		}
		for _, name := range slices.Sorted(maps.Keys(values)) {
			item, exists := s.items[Key{kind, name}]
			if exists && bytes.Equal(item.Value, values[name]) {
				continue
			}
			edits = append(edits, Edit{Key: Key{kind, name}, Replaces: item.Version, Value: values[name]})
		}
	}
	// Profiles go first, so that a change cut in parts never names a profile
	// that a later part brings.
	slices.SortStableFunc(edits, func(a, b Edit) int { return loadOrder[a.Kind] - loadOrder[b.Kind] })
	return edits, nil
}

var loadOrder = map[ObjectKind]int{ProfileKind: 0, ModelKind: 1, ServiceKind: 2, AccountKind: 3}

// undone returns the values that objects had at a version, for those that were
// changed since.
func (s *State) undone(version uint64) (map[Key]json.RawMessage, error) {
	if version > s.version {
		return nil, track.Fail("find version", Forgotten, fmt.Errorf("version %d has not been reached; the newest is %d", version, s.version))
	}
	if oldest := s.oldestVersion(); version < oldest {
		return nil, track.Fail("find version", Forgotten, fmt.Errorf("the history reaches back to version %d", oldest))
	}
	values := make(map[Key]json.RawMessage)
	for _, d := range slices.Backward(s.history) {
		if !d.Verdict.Accepted || d.Verdict.Version <= version {
			continue
		}
		for _, item := range d.Before {
			values[item.Key] = item.Value
		}
	}
	return values, nil
}

func (s *State) oldestVersion() uint64 {
	if len(s.history) == 0 {
		return s.version
	}
	first := s.history[0].Verdict
	if first.Accepted {
		return first.Version - 1
	}
	return first.Version
}

func (s *State) valueIn(changed map[Key]json.RawMessage, key Key) json.RawMessage {
	value, ok := changed[key]
	if !ok {
		value = s.items[key].Value
	}
	if isNull(value) {
		return json.RawMessage("null")
	}
	return value
}
