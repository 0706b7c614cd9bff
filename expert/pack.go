package expert

import "math"

// stepsPerDoubling is the number of steps of a packed number for each doubling of
// the count. Packed counts are within 5% of the true ones, an error well below the
// random variation of the counts of a few requests.
const stepsPerDoubling = 8

// PackCounts encodes each count as one byte on a logarithmic scale, for links with low
// bandwidth.
func PackCounts(counts []float64) []byte {
	packed := make([]byte, len(counts))
	for i, n := range counts {
		packed[i] = byte(min(math.Round(stepsPerDoubling*math.Log2(1+max(n, 0))), math.MaxUint8))
	}
	return packed
}

// UnpackCounts returns the approximate counts that PackCounts encoded.
func UnpackCounts(packed []byte) []float64 {
	counts := make([]float64, len(packed))
	for i, b := range packed {
		counts[i] = math.Exp2(float64(b)/stepsPerDoubling) - 1
	}
	return counts
}
