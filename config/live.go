package config

import "filberttrack.example/track"

// Live is the configuration in force on an instance, with indexes for the path
// of a request. It is never modified; a newer one replaces it.
type Live struct {
	config   *track.Config
	profiles map[string]*track.Profile
	models   map[string]*track.Model
	services map[string]*track.Service
	accounts map[string]*track.ClientAccount
	tokens   map[string]*track.ClientAccount
}

// NewLive returns the indexes of a configuration. Those of the previous one are
// kept for the kinds that have not changed; previous may be nil.
func NewLive(cfg *track.Config, previous *Live) *Live {
	if previous == nil {
		previous = &Live{config: &track.Config{}}
	}
	old := previous.config
	l := &Live{config: cfg}
	l.profiles = index(cfg.Profiles, old.Profiles, previous.profiles, func(p *track.Profile) string { return p.Name })
	l.models = index(cfg.Models, old.Models, previous.models, func(m *track.Model) string { return m.Name })
	l.services = index(cfg.Services, old.Services, previous.services, func(s *track.Service) string { return s.Name })
	l.accounts = index(cfg.Accounts, old.Accounts, previous.accounts, func(a *track.ClientAccount) string { return a.Name })
	l.tokens = index(cfg.Accounts, old.Accounts, previous.tokens, func(a *track.ClientAccount) string { return a.TokenSHA256 })
	return l
}

// index returns the objects by key, or the previous index if the slice is the
// one that it was made from.
func index[K comparable, T any](objects, old []T, previous map[K]*T, key func(*T) K) map[K]*T {
	same := len(objects) == len(old) && (len(objects) == 0 || &objects[0] == &old[0])
	if same && previous != nil {
		return previous
	}
	m := make(map[K]*T, len(objects))
	for i := range objects {
		m[key(&objects[i])] = &objects[i]
	}
	return m
}

// Config returns the whole configuration. The caller must not modify it.
func (l *Live) Config() *track.Config { return l.config }

// Version returns the number of accepted changes that led to it.
func (l *Live) Version() uint64 { return l.config.Version }

// Profile returns the profile of the given name.
func (l *Live) Profile(name string) (track.Profile, bool) { return get(l.profiles, name) }

// Model returns the model of the given name.
func (l *Live) Model(name string) (track.Model, bool) { return get(l.models, name) }

// Service returns the service of the given name.
func (l *Live) Service(name string) (track.Service, bool) { return get(l.services, name) }

// AccountByName returns the client account of the given name.
func (l *Live) AccountByName(name string) (track.ClientAccount, bool) { return get(l.accounts, name) }

// Account returns the client account that owns the bearer token with the given
// hexadecimal SHA-256. The search is by hash, so its duration tells nothing
// about other tokens.
func (l *Live) Account(tokenSHA256 string) (track.ClientAccount, bool) {
	return get(l.tokens, tokenSHA256)
}

// Models returns all models, sorted by name. The caller must not modify them.
func (l *Live) Models() []track.Model { return l.config.Models }

func get[K comparable, T any](index map[K]*T, key K) (T, bool) {
	if object, ok := index[key]; ok {
		return *object, true
	}
	var none T
	return none, false
}
