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

// decode reads a configuration that is its version.
func decode(data []byte) (track.RouteConfig, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return track.RouteConfig{}, errors.New("unreadable")
	}
	return track.RouteConfig{Version: version}, nil
}

func TestNeverOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var seen []uint64
		h := latest.New(decode, func(table *hosts.Table) { seen = append(seen, table.Version()) }, zap.NewNop())
		highest := uint64(0)
		for _, offer := range rapid.SliceOf(rapid.OneOf(rapid.Uint64Range(1, 50), rapid.Just(uint64(0)))).Draw(t, "offers") {
			if offer == 0 {
				h.Offer([]byte("broken"))
				continue
			}
			h.Offer([]byte(strconv.FormatUint(offer, 10)))
			highest = max(highest, offer)
			assert.Equal(t, h.Table().Version(), highest)
		}
		for i := range seen {
			assert.Assert(t, i == 0 || seen[i] > seen[i-1])
		}
	})
}

func TestReadyWithTheFirstOne(t *testing.T) {
	h := latest.New(decode, func(*hosts.Table) {}, zap.NewNop())
	h.Offer([]byte("broken"))
	select {
	case <-h.Ready():
		t.Fatal("ready without a configuration")
	default:
	}
	assert.Assert(t, h.Table() == nil)
	h.Offer([]byte("3"))
	<-h.Ready()
}
