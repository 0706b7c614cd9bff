// Package vacate tracks the availability zones that the operator has evacuated. A record in the
// platform's log names each of them, by its key, until the operator deletes it.
package vacate

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"unicode"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// Zones is a set of availability zones.
type Zones map[track.AvailabilityZone]bool

// Tracker holds the evacuated zones. It is safe for concurrent use.
type Tracker struct {
	prefix string
	logger *zap.Logger

	mu sync.Mutex
	// onChange is called with mu held.
	onChange func(Zones)
	zones    Zones
	// odd holds the keys that have been logged because they name no zone.
	odd map[string]bool
}

// New returns a tracker without evacuated zones. The key of a record that evacuates a zone is the prefix
// and the zone's name; with an empty prefix there are no such records. The tracker calls onChange with
// each new set of zones, one call at a time. The callee must not change the set.
func New(prefix string, onChange func(Zones), logger *zap.Logger) *Tracker {
	return &Tracker{prefix: prefix, onChange: onChange, logger: logger}
}

// Apply takes the newest record of each key of the topic. A zone without a record, or whose record has no
// value, isn't evacuated. The value itself doesn't matter. Records with other keys are ignored, and those
// whose key has the prefix but names no zone are logged once.
func (t *Tracker) Apply(records []track.KeyedRecord) {
	if t.prefix == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	zones, odd := make(Zones), make(map[string]bool)
	for _, r := range records {
		name, found := strings.CutPrefix(r.Key, t.prefix)
		switch {
		case !found || len(r.Value) == 0:
		case namesZone(name):
			zones[track.AvailabilityZone(name)] = true
		default:
			odd[r.Key] = true
			if !t.odd[r.Key] {
				t.logger.Warn("ignored a record that evacuates no zone", zap.String("Key", r.Key))
			}
		}
	}
	t.odd = odd
	if maps.Equal(zones, t.zones) {
		return
	}
	t.logDifference(zones, t.zones, "zone evacuated")
	t.logDifference(t.zones, zones, "zone taken back")
	t.zones = zones
	t.onChange(zones)
}

// logDifference logs a message for each zone that is in the first set and not in the second.
func (t *Tracker) logDifference(zones, without Zones, message string) {
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if !without[zone] {
			t.logger.Info(message, zap.String("Zone", string(zone)))
		}
	}
}

// namesZone reports whether the text can be the name of a zone.
func namesZone(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool {
		return c == '/' || c == unicode.ReplacementChar || !unicode.IsGraphic(c) || unicode.IsSpace(c)
	})
}
