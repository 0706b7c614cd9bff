package edge

import (
	"errors"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// Of several versions that were read together, only the newest one that can be decoded takes effect.
func TestNewestOfSeveralVersions(t *testing.T) {
	var decoded []string
	holder := newHolder(func(data []byte) (track.RouteConfig, error) {
		decoded = append(decoded, string(data))
		version, err := strconv.ParseUint(string(data), 10, 64)
		if err != nil {
			return track.RouteConfig{}, errors.New("unreadable")
		}
		return track.RouteConfig{Version: version}, nil
	})
	record := func(key, value string) track.KeyedRecord { return track.KeyedRecord{Key: key, Value: []byte(value)} }
	applyConfig(holder, "config")([]track.KeyedRecord{
		record("config", "1"), record("config", "2"), record("other", "9"), record("config", "x"),
	})
	assert.Equal(t, holder.Table().Version(), uint64(2))
	assert.DeepEqual(t, decoded, []string{"x", "2"})
}
