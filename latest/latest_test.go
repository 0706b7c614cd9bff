package latest_test

import (
	"errors"
	"strconv"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/latest"
)

// decode decodes a configuration that consists of its version alone.
func decode(data []byte) (track.RouteConfig, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return track.RouteConfig{}, errors.New("unreadable")
	}
	return track.RouteConfig{Version: version}, nil
}

// TestOlderConfigurationIsIgnored offers random versions, where 0 stands for a
// configuration that can't be decoded. The current version must never decrease.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var versions []uint64
		h := latest.New(decode, func(table *hosts.Table) { versions = append(versions, table.Version()) }, zap.NewNop())
		highest := uint64(0)
		for _, offer := range rapid.SliceOf(rapid.OneOf(rapid.Uint64Range(1, 50), rapid.Just(uint64(0)))).Draw(t, "offers") {
			if offer == 0 {
				h.Update([]byte("broken"))
				continue
			}
			h.Update([]byte(strconv.FormatUint(offer, 10)))
			highest = max(highest, offer)
			assert.Equal(t, h.Table().Version(), highest)
		}
		for i := range versions {
			assert.Assert(t, i == 0 || versions[i] > versions[i-1])
		}
	})
}

func TestReadyWithFirstConfiguration(t *testing.T) {
	h := latest.New(decode, func(*hosts.Table) {}, zap.NewNop())
	h.Update([]byte("broken"))
	select {
	case <-h.Ready():
		t.Fatal("ready without a configuration")
	default:
	}
	assert.Assert(t, h.Table() == nil)
	h.Update([]byte("3"))
	<-h.Ready()
}
