package config

import (
	"time"

	"filberttrack.example/track"
)

// inForceWithin is the time within which an accepted change is in force on all instances.
const inForceWithin = 14 * time.Second

// emptyIndex is used while no configuration is known.
var emptyIndex = NewIndex(&track.Config{}, nil)

// directory implements track.Directory. Each call uses the configuration in force
// at that moment.
type directory Store

// Directory returns the view of the configuration that an entry uses to handle
// requests.
func (s *Store) Directory() track.Directory { return (*directory)(s) }

func (d *directory) currentIndex() *Index {
	if idx := d.current.Load(); idx != nil {
		return idx
	}
	return emptyIndex
}

// Version implements track.Directory.
func (d *directory) Version() uint64 { return d.currentIndex().Version() }

// Confirmed implements track.Directory.
func (d *directory) Confirmed() bool {
	age := (*Store)(d).Status().Age
	return age >= 0 && age <= inForceWithin
}

// Account implements track.Directory.
func (d *directory) Account(tokenSHA256 string) (track.ClientAccount, bool) {
	return d.currentIndex().Account(tokenSHA256)
}

// Profile implements track.Directory.
func (d *directory) Profile(name string) (track.Profile, bool) { return d.currentIndex().Profile(name) }

// Model implements track.Directory.
func (d *directory) Model(name string) (track.Model, bool) { return d.currentIndex().Model(name) }

// Service implements track.Directory.
func (d *directory) Service(name string) (track.Service, bool) { return d.currentIndex().Service(name) }

// Models implements track.Directory.
func (d *directory) Models() []track.Model { return d.currentIndex().Models() }
