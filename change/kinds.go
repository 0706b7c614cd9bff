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

// ObjectKind is the kind of a configuration object.
type ObjectKind string

// Kinds of configuration objects.
const (
	ProfileKind ObjectKind = "Profile"
	ModelKind   ObjectKind = "Model"
	ServiceKind ObjectKind = "Service"
	AccountKind ObjectKind = "Account"
)

// collection gives access to the objects of one kind in a configuration.
type collection interface {
	// canonical validates an object and returns its canonical JSON.
	canonical(name string, value json.RawMessage) (json.RawMessage, error)
	// cloneObjects replaces the slice of objects with a copy, which may be
	// modified.
	cloneObjects(cfg *track.Config)
	// put inserts or replaces an object, given as canonical JSON.
	put(cfg *track.Config, value json.RawMessage) error
	remove(cfg *track.Config, name string)
	// values validates all objects and returns their canonical JSON by name.
	values(cfg *track.Config) (map[string]json.RawMessage, error)
}

var collections = map[ObjectKind]collection{
	ProfileKind: &sliceCollection[track.Profile]{
		slice: func(c *track.Config) *[]track.Profile { return &c.Profiles },
		name:  func(p *track.Profile) string { return p.Name },
		check: checkProfile,
	},
	ModelKind: &sliceCollection[track.Model]{
		slice: func(c *track.Config) *[]track.Model { return &c.Models },
		name:  func(m *track.Model) string { return m.Name },
		check: func(m *track.Model) error { return checkReplicas(m.Replicas) },
	},
	ServiceKind: &sliceCollection[track.Service]{
		slice: func(c *track.Config) *[]track.Service { return &c.Services },
		name:  func(s *track.Service) string { return s.Name },
		check: func(s *track.Service) error { return checkReplicas(s.Replicas) },
	},
	AccountKind: &sliceCollection[track.ClientAccount]{
		slice: func(c *track.Config) *[]track.ClientAccount { return &c.Accounts },
		name:  func(a *track.ClientAccount) string { return a.Name },
		check: checkAccount,
	},
}

// Kinds returns all kinds of objects in alphabetical order.
func Kinds() []ObjectKind {
	return []ObjectKind{AccountKind, ModelKind, ProfileKind, ServiceKind}
}

// sliceCollection implements collection for the objects of type T.
type sliceCollection[T any] struct {
	slice func(*track.Config) *[]T
	name  func(*T) string
	check func(*T) error
}

func (t *sliceCollection[T]) canonical(name string, value json.RawMessage) (json.RawMessage, error) {
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

func (t *sliceCollection[T]) cloneObjects(cfg *track.Config) {
	objects := t.slice(cfg)
	*objects = slices.Clone(*objects)
}

func (t *sliceCollection[T]) put(cfg *track.Config, value json.RawMessage) error {
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

func (t *sliceCollection[T]) remove(cfg *track.Config, name string) {
	objects := t.slice(cfg)
	if i, found := t.find(*objects, name); found {
		*objects = slices.Delete(*objects, i, i+1)
	}
}

func (t *sliceCollection[T]) values(cfg *track.Config) (map[string]json.RawMessage, error) {
	values := make(map[string]json.RawMessage)
	for _, object := range *t.slice(cfg) {
		name := t.name(&object)
		if _, duplicate := values[name]; duplicate {
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

func (t *sliceCollection[T]) find(objects []T, name string) (int, bool) {
	return slices.BinarySearchFunc(objects, name, func(object T, name string) int {
		return strings.Compare(t.name(&object), name)
	})
}

// decodeStrict decodes one JSON value. Unknown fields and trailing data are
// errors.
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

// EncodeObject returns the JSON of an object for the Value of an Edit. The error has
// the kind Invalid.
func EncodeObject[T any](object T) (json.RawMessage, error) {
	raw, err := json.Marshal(object)
	if err != nil {
		return nil, track.Fail("encode object", Invalid, err)
	}
	return raw, nil
}
