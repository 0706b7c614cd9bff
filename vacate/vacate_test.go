package vacate_test

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/vacate"
)

func record(key, value string) track.KeyedRecord {
	return track.KeyedRecord{Key: key, Value: []byte(value)}
}

// Guards against records that evacuate a zone that they don't name, hide those of other zones, or fill the log.
func TestEvacuatedZonesAreThoseWithARecord(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	var got []vacate.Zones
	tracker := vacate.New("evacuate/", func(z vacate.Zones) { got = append(got, z) }, zap.New(core))
	odd := []track.KeyedRecord{
		record("config", "{}"), record("evacuate", "{}"), record("evacuate/", "{}"), record("evacuate/a/b", "{}"),
		record("evacuate/rivera ", "{}"), record("evacuate/\x00", "{}"), record("evacuate/\xff", "{}"), record("other/rivera", "{}"),
	}
	apply := func(records ...track.KeyedRecord) { tracker.Apply(append(records, odd...)) }

	apply()
	assert.Equal(t, len(got), 0)
	apply(record("evacuate/rivera", "{}"))
	apply(record("evacuate/rivera", "odd value"))
	apply(record("evacuate/rivera", "{}"), record("evacuate/artigas", "0"))
	apply(record("evacuate/rivera", ""), record("evacuate/artigas", "0"))
	apply()
	assert.DeepEqual(t, got, []vacate.Zones{{"rivera": true}, {"rivera": true, "artigas": true}, {"artigas": true}, {}})

	var lines []string
	for _, l := range logs.FilterField(zap.String("Zone", "rivera")).All() {
		lines = append(lines, l.Message)
	}
	assert.DeepEqual(t, lines, []string{"zone evacuated", "zone taken back"})
	assert.Equal(t, logs.FilterMessage("ignored a record that evacuates no zone").Len(), 5, "each odd key is logged once")
}

// Guards against an entry without a prefix that takes the configuration's key for a zone.
func TestEmptyPrefixEvacuatesNothing(t *testing.T) {
	tracker := vacate.New("", func(z vacate.Zones) { t.Fatalf("evacuated %v", z) }, zap.NewNop())
	tracker.Apply([]track.KeyedRecord{record("config", "{}")})
}
