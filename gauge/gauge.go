// Package gauge fits measured costs to sizes and reads the processor time and
// the memory of this process.
package gauge

import (
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is a cost measured at a size.
type Point struct {
	Size float64
	Cost float64
}

// Line is a cost as a linear function of a size.
type Line struct {
	Base  float64
	Slope float64
	// R2 is the coefficient of determination of the fit, 1 for a perfect one.
	R2 float64
}

// Fit returns the line of least squares through the points. It needs two points
// of different sizes.
func Fit(points []Point) Line {
	sizes := make([]float64, len(points))
	costs := make([]float64, len(points))
	for i, p := range points {
		sizes[i], costs[i] = p.Size, p.Cost
	}
	base, slope := stat.LinearRegression(sizes, costs, nil, false)
	return Line{Base: base, Slope: slope, R2: stat.RSquared(sizes, costs, nil, base, slope)}
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}

// ProcessorTime returns the user and system time that this process has used.
func ProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// HeapBytes returns the bytes of live objects on the heap after a collection.
func HeapBytes() uint64 {
	// The second collection frees what finalizers and pools kept in the first.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
