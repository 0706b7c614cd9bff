package config

import "filberttrack.example/track"

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
