package plat

import (
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

func TestLimitPage(t *testing.T) {
	half := track.Record{Data: make([]byte, MaxPageBytes/2)}
	large := track.Record{Data: make([]byte, 2*MaxPageBytes)}
	tests := []struct {
		records []track.Record
		want    int
	}{
		{nil, 0},
		{[]track.Record{half, half}, 2},
		{[]track.Record{half, half, {Data: []byte{1}}}, 2},
		{[]track.Record{large, half}, 1},
		{[]track.Record{half, large}, 1},
	}
	for i, tt := range tests {
		assert.Equal(t, len(limitPage(tt.records)), tt.want, "case %d", i)
	}
}
