package gauge_test

import (
	"math"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/gauge"
)

func TestFitFindsTheLine(t *testing.T) {
	line := gauge.Fit([]gauge.Point{{10, 25}, {20, 45}, {40, 85}})
	assert.Assert(t, math.Abs(line.Base-5) < 1e-9)
	assert.Assert(t, math.Abs(line.Slope-2) < 1e-9)
	assert.Assert(t, math.Abs(line.R2-1) < 1e-9)
	assert.Assert(t, math.Abs(line.At(100)-205) < 1e-9)
	bent := gauge.Fit([]gauge.Point{{1, 1}, {2, 8}, {3, 1}})
	assert.Assert(t, bent.R2 < 0.5)
}

func TestHeapBytesCountsLiveObjects(t *testing.T) {
	before := gauge.HeapBytes()
	block := make([]byte, 32<<20)
	grown := gauge.HeapBytes() - before
	runtime.KeepAlive(block)
	assert.Assert(t, grown > 31<<20 && grown < 34<<20, "%d", grown)
}
