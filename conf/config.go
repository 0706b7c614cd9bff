package conf

import (
	"cmp"
	"slices"

	"filberttrack.example/track"
)

// Config returns the configuration that the file describes, sorted by name.
func (s Settings) Config() track.Config {
	return track.Config{
		Profiles: sorted(s.Profile, func(p track.Profile) string { return p.Name }),
		Models:   sorted(s.Model, func(m track.Model) string { return m.Name }),
		Services: sorted(s.Service, func(v track.Service) string { return v.Name }),
		Accounts: sorted(s.Account, func(a track.ClientAccount) string { return a.Name }),
	}
}

func sorted[T any](items []T, name func(T) string) []T {
	items = slices.Clone(items)
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return items
}
