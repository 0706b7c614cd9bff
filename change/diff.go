package change

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"filberttrack.example/track"
)

// Difference is an object that differs between two versions. From and To are
// its values in them; null if the object does not exist there.
type Difference struct {
	Key
	From json.RawMessage
	To   json.RawMessage
}

// Diff returns the objects that differ between two versions, sorted by key. The
// error has the kind Forgotten if the history does not cover a version.
func (s *State) Diff(from, to uint64) ([]Difference, error) {
	old, err := s.valuesAt(from)
	if err != nil {
		return nil, err
	}
	newer, err := s.valuesAt(to)
	if err != nil {
		return nil, err
	}
	keys := maps.Clone(old)
	maps.Copy(keys, newer)
	var differences []Difference
	for _, key := range slices.SortedFunc(maps.Keys(keys), Key.Compare) {
		d := Difference{Key: key, From: s.valueAt(old, key), To: s.valueAt(newer, key)}
		if !bytes.Equal(d.From, d.To) {
			differences = append(differences, d)
		}
	}
	return differences, nil
}

// RollbackEdits returns the edits that restore all objects to the given
// version. The error has the kind Forgotten if the history does not cover it.
func (s *State) RollbackEdits(version uint64) ([]Edit, error) {
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

// LoadEdits returns the edits that create or replace all objects of a configuration.
// Objects that the configuration does not contain are kept. The error has the
// kind Invalid.
func (s *State) LoadEdits(cfg *track.Config) ([]Edit, error) {
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
	// Profiles come first. If the edits are split into several changes, none of
	// them then refers to a profile that a later one creates.
	slices.SortStableFunc(edits, func(a, b Edit) int { return loadOrder[a.Kind] - loadOrder[b.Kind] })
	return edits, nil
}

var loadOrder = map[ObjectKind]int{ProfileKind: 0, ModelKind: 1, ServiceKind: 2, AccountKind: 3}

// valuesAt returns the values that objects had at a version, for those that have
// changed since then.
func (s *State) valuesAt(version uint64) (map[Key]json.RawMessage, error) {
	if version > s.version {
		return nil, track.Fail("find version", Forgotten,
			fmt.Errorf("version %d has not been reached; the newest is %d", version, s.version))
	}
	if oldest := s.oldestVersion(); version < oldest {
		return nil, track.Fail("find version", Forgotten, fmt.Errorf("the history reaches back only to version %d", oldest))
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

func (s *State) valueAt(changed map[Key]json.RawMessage, key Key) json.RawMessage {
	value, ok := changed[key]
	if !ok {
		value = s.items[key].Value
	}
	if isNull(value) {
		return json.RawMessage("null")
	}
	return value
}
