package change

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"filberttrack.example/track"
)

// ObjectKind names a kind of object of the configuration.
type ObjectKind string

// The kinds of object.
const (
	ProfileKind ObjectKind = "Profile"
	ModelKind   ObjectKind = "Model"
	ServiceKind ObjectKind = "Service"
	AccountKind ObjectKind = "Account"
)

// collection gives the same view of all kinds of object.
type collection interface {
	// canonical checks one object and returns its canonical JSON.
	canonical(name string, value json.RawMessage) (json.RawMessage, error)
	// own replaces the slice of the kind by a copy.
	own(cfg *track.Config)
	// put inserts or replaces an object; the value is canonical.
	put(cfg *track.Config, value json.RawMessage) error
	remove(cfg *track.Config, name string)
	// values returns the canonical JSON of all objects by name.
	values(cfg *track.Config) (map[string]json.RawMessage, error)
}

var collections = map[ObjectKind]collection{
	ProfileKind: &table[track.Profile]{
		slice: func(c *track.Config) *[]track.Profile { return &c.Profiles },
		name:  func(p *track.Profile) string { return p.Name },
		check: checkProfile,
	},
	ModelKind: &table[track.Model]{
		slice: func(c *track.Config) *[]track.Model { return &c.Models },
		name:  func(m *track.Model) string { return m.Name },
		check: func(m *track.Model) error { return checkReplicas(m.Replicas) },
	},
	ServiceKind: &table[track.Service]{
		slice: func(c *track.Config) *[]track.Service { return &c.Services },
		name:  func(s *track.Service) string { return s.Name },
		check: func(s *track.Service) error { return checkReplicas(s.Replicas) },
	},
	AccountKind: &table[track.ClientAccount]{
		slice: func(c *track.Config) *[]track.ClientAccount { return &c.Accounts },
		name:  func(a *track.ClientAccount) string { return a.Name },
		check: checkAccount,
	},
}

// Kinds returns all kinds of object in their order.
func Kinds() []ObjectKind {
	return []ObjectKind{AccountKind, ModelKind, ProfileKind, ServiceKind}
}

// table implements collection for the objects of type T.
type table[T any] struct {
	slice func(*track.Config) *[]T
	name  func(*T) string
	check func(*T) error
}

func (t *table[T]) canonical(name string, value json.RawMessage) (json.RawMessage, error) {
	if len(value) > MaxValueBytes {
		return nil, fmt.Errorf("the object has %d bytes, more than %d", len(value), MaxValueBytes)
	}
	object, err := decodeStrict[T](value)
	if err != nil {
		return nil, err
	}
	if got := t.name(&object); got != name {
		return nil, fmt.Errorf("the object is named %q", got)
	}
	if err := checkName(name); err != nil {
		return nil, err
	}
	if err := t.check(&object); err != nil {
		return nil, err
	}
	return json.Marshal(object)
}

func (t *table[T]) own(cfg *track.Config) {
	objects := t.slice(cfg)
	*objects = slices.Clone(*objects)
}

func (t *table[T]) put(cfg *track.Config, value json.RawMessage) error {
	object, err := decodeStrict[T](value)
	if err != nil {
		return err
	}
	objects := t.slice(cfg)
	i, found := t.find(*objects, t.name(&object))
	if found {
		(*objects)[i] = object
		return nil
	}
	*objects = slices.Insert(*objects, i, object)
	return nil
}

func (t *table[T]) remove(cfg *track.Config, name string) {
	objects := t.slice(cfg)
	if i, found := t.find(*objects, name); found {
		*objects = slices.Delete(*objects, i, i+1)
	}
}

func (t *table[T]) values(cfg *track.Config) (map[string]json.RawMessage, error) {
	values := make(map[string]json.RawMessage)
	for _, object := range *t.slice(cfg) {
		name := t.name(&object)
		if _, twice := values[name]; twice {
			return nil, fmt.Errorf("%q is given twice", name)
		}
		raw, err := json.Marshal(object)
		if err != nil {
			return nil, err
		}
		if values[name], err = t.canonical(name, raw); err != nil {
			return nil, fmt.Errorf("%q: %w", name, err)
		}
	}
	return values, nil
}

func (t *table[T]) find(objects []T, name string) (int, bool) {
	return slices.BinarySearchFunc(objects, name, func(object T, name string) int {
		return strings.Compare(t.name(&object), name)
	})
}

// decodeStrict decodes one JSON value and refuses unknown fields and trailing
// data.
func decodeStrict[T any](data []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return value, errors.New("trailing data")
	}
	return value, nil
}

// Encode returns the JSON of an object for an Edit.
func Encode[T any](object T) (json.RawMessage, error) {
	raw, err := json.Marshal(object)
	if err != nil {
		return nil, track.Fail("encode object", Invalid, err)
	}
	return raw, nil
}
