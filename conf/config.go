package conf

import (
	"cmp"
	"slices"

	"filberttrack.example/track"
)

// Config returns the profiles, models, services and client accounts of the file,
// each list sorted by name.
func (s Settings) Config() track.Config {
	return track.Config{
		Profiles: sortedByName(s.Profile, func(p track.Profile) string { return p.Name }),
		Models:   sortedByName(s.Model, func(m track.Model) string { return m.Name }),
		Services: sortedByName(s.Service, func(v track.Service) string { return v.Name }),
		Accounts: sortedByName(s.Account, func(a track.ClientAccount) string { return a.Name }),
	}
}

func sortedByName[T any](items []T, name func(T) string) []T {
	items = slices.Clone(items)
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return items
}
