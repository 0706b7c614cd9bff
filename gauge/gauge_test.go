package gauge_test

import (
	"math"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/gauge"
)

func TestFit(t *testing.T) {
	line := gauge.Fit([]gauge.Point{{10, 25}, {20, 45}, {40, 85}})
	assert.Assert(t, math.Abs(line.Intercept-5) < 1e-9)
	assert.Assert(t, math.Abs(line.Slope-2) < 1e-9)
	assert.Assert(t, math.Abs(line.R2-1) < 1e-9)
	assert.Assert(t, math.Abs(line.At(100)-205) < 1e-9)
	nonlinear := gauge.Fit([]gauge.Point{{1, 1}, {2, 8}, {3, 1}})
	assert.Assert(t, nonlinear.R2 < 0.5)
}

func TestHeapBytesCountsLiveObjects(t *testing.T) {
	before := gauge.HeapBytes()
	buffer := make([]byte, 32<<20)
	growth := gauge.HeapBytes() - before
	runtime.KeepAlive(buffer)
	assert.Assert(t, growth > 31<<20 && growth < 34<<20, "%d", growth)
}
