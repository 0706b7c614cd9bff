package config

import "filberttrack.example/track"

// Index is an immutable configuration with indexes for fast look-ups while
// handling a request.
type Index struct {
	config   *track.Config
	profiles map[string]*track.Profile
	models   map[string]*track.Model
	services map[string]*track.Service
	accounts map[string]*track.ClientAccount
	tokens   map[string]*track.ClientAccount
}

// NewIndex returns the index of a configuration. It shares the parts of the
// previous index for kinds of objects that have not changed; previous may be nil.
func NewIndex(cfg *track.Config, previous *Index) *Index {
	if previous == nil {
		previous = &Index{config: &track.Config{}}
	}
	old := previous.config
	idx := &Index{config: cfg}
	idx.profiles = buildIndex(cfg.Profiles, old.Profiles, previous.profiles,
		func(p *track.Profile) string { return p.Name })
	idx.models = buildIndex(cfg.Models, old.Models, previous.models,
		func(m *track.Model) string { return m.Name })
	idx.services = buildIndex(cfg.Services, old.Services, previous.services,
		func(s *track.Service) string { return s.Name })
	idx.accounts = buildIndex(cfg.Accounts, old.Accounts, previous.accounts,
		func(a *track.ClientAccount) string { return a.Name })
	idx.tokens = buildIndex(cfg.Accounts, old.Accounts, previous.tokens,
		func(a *track.ClientAccount) string { return a.TokenSHA256 })
	return idx
}

// buildIndex returns the objects by key, or the previous map if that was built
// from the same slice.
func buildIndex[K comparable, T any](objects, old []T, previous map[K]*T, key func(*T) K) map[K]*T {
	unchanged := len(objects) == len(old) && (len(objects) == 0 || &objects[0] == &old[0])
	if unchanged && previous != nil {
		return previous
	}
	m := make(map[K]*T, len(objects))
	for i := range objects {
		m[key(&objects[i])] = &objects[i]
	}
	return m
}

// Config returns the whole configuration. The caller must not modify it.
func (idx *Index) Config() *track.Config { return idx.config }

// Version returns the version of the configuration, which is the number of
// accepted changes that led to it.
func (idx *Index) Version() uint64 { return idx.config.Version }

// Confirmed implements track.Directory. It returns true: an index doesn't know of newer configurations.
func (idx *Index) Confirmed() bool { return true }

// Profile returns the profile of the given name.
func (idx *Index) Profile(name string) (track.Profile, bool) { return lookUp(idx.profiles, name) }

// Model returns the model of the given name.
func (idx *Index) Model(name string) (track.Model, bool) { return lookUp(idx.models, name) }

// Service returns the service of the given name.
func (idx *Index) Service(name string) (track.Service, bool) { return lookUp(idx.services, name) }

// AccountByName returns the client account of the given name.
func (idx *Index) AccountByName(name string) (track.ClientAccount, bool) {
	return lookUp(idx.accounts, name)
}

// Account returns the client account that owns the bearer token with the given
// hexadecimal SHA-256. Since the look-up is by hash, its duration reveals nothing
// about other tokens.
func (idx *Index) Account(tokenSHA256 string) (track.ClientAccount, bool) {
	return lookUp(idx.tokens, tokenSHA256)
}

// Models returns all models, sorted by name. The caller must not modify them.
func (idx *Index) Models() []track.Model { return idx.config.Models }

func lookUp[K comparable, T any](index map[K]*T, key K) (T, bool) {
	if object, ok := index[key]; ok {
		return *object, true
	}
	var none T
	return none, false
}
