package proxy

import (
	"slices"

	"filberttrack.example/track"
)

// homeZones returns a function that reports whether the request may run in a zone; nil if it may run in
// all. If both the route and the account have home regions, the zone must be in a region of both. A zone whose
// region is unknown is in no home region.
func (x *exchange) homeZones() func(track.AvailabilityZone) bool {
	lists := slices.DeleteFunc([][]string{x.route.HomeRegions, x.account.HomeRegions},
		func(regions []string) bool { return len(regions) == 0 })
	if len(lists) == 0 {
		return nil
	}
	return func(zone track.AvailabilityZone) bool {
		region := x.proxy.options.ZoneRegions[zone]
		return region != "" && !slices.ContainsFunc(lists, func(regions []string) bool { return !slices.Contains(regions, region) })
	}
}
