// Package lookup indexes a configuration for the hot path of an entry.
package lookup

import "filberttrack.example/track"

// Index is an immutable index of one configuration. It implements
// track.Directory.
type Index struct {
	config   track.Config
	profiles map[string]track.Profile
	models   map[string]track.Model
	services map[string]track.Service
	accounts map[string]track.ClientAccount
}

// New returns the index of the configuration.
func New(config track.Config) *Index {
	x := &Index{
		config:   config,
		profiles: make(map[string]track.Profile, len(config.Profiles)),
		models:   make(map[string]track.Model, len(config.Models)),
		services: make(map[string]track.Service, len(config.Services)),
		accounts: make(map[string]track.ClientAccount, len(config.Accounts)),
	}
	for _, p := range config.Profiles {
		x.profiles[p.Name] = p
	}
	for _, m := range config.Models {
		x.models[m.Name] = m
	}
	for _, s := range config.Services {
		x.services[s.Name] = s
	}
	for _, a := range config.Accounts {
		x.accounts[a.TokenSHA256] = a
	}
	return x
}

// Config returns the indexed configuration. It must not be changed.
func (x *Index) Config() track.Config { return x.config }

// Version implements track.Directory.
func (x *Index) Version() uint64 { return x.config.Version }

// Account implements track.Directory.
func (x *Index) Account(tokenSHA256 string) (track.ClientAccount, bool) {
	a, ok := x.accounts[tokenSHA256]
	return a, ok
}

// Profile implements track.Directory.
func (x *Index) Profile(name string) (track.Profile, bool) {
	p, ok := x.profiles[name]
	return p, ok
}

// Model implements track.Directory.
func (x *Index) Model(name string) (track.Model, bool) {
	m, ok := x.models[name]
	return m, ok
}

// Service implements track.Directory.
func (x *Index) Service(name string) (track.Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Models implements track.Directory.
func (x *Index) Models() []track.Model { return x.config.Models }
