package config

import "filberttrack.example/track"

// nothing is in force while no configuration is known.
var nothing = NewLive(&track.Config{}, nil)

// directory answers from the configuration in force at the time of the question.
type directory Store

// Directory returns the view of the store that an entry uses for requests.
func (s *Store) Directory() track.Directory { return (*directory)(s) }

func (d *directory) now() *Live {
	if l := d.live.Load(); l != nil {
		return l
	}
	return nothing
}

// Version implements track.Directory.
func (d *directory) Version() uint64 { return d.now().Version() }

// Account implements track.Directory.
func (d *directory) Account(tokenSHA256 string) (track.ClientAccount, bool) {
	return d.now().Account(tokenSHA256)
}

// Profile implements track.Directory.
func (d *directory) Profile(name string) (track.Profile, bool) { return d.now().Profile(name) }

// Model implements track.Directory.
func (d *directory) Model(name string) (track.Model, bool) { return d.now().Model(name) }

// Service implements track.Directory.
func (d *directory) Service(name string) (track.Service, bool) { return d.now().Service(name) }

// Models implements track.Directory.
func (d *directory) Models() []track.Model { return d.now().Models() }
