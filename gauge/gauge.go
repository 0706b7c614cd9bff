// Package gauge measures the CPU time and the heap of this process and fits measured costs
// as a linear function of a size.
package gauge

import (
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is a cost measured at a size. The caller chooses the units.
type Point struct {
	Size float64
	Cost float64
}

// Line is a cost as a linear function of a size.
type Line struct {
	// Intercept is the cost at size 0.
	Intercept float64
	// Slope is the additional cost of each unit of size.
	Slope float64
	// R2 is the coefficient of determination of the fit, 1 for a perfect fit.
	R2 float64
}

// Fit returns the least-squares line through the points. At least two of them must have
// different sizes.
func Fit(points []Point) Line {
	sizes := make([]float64, len(points))
	costs := make([]float64, len(points))
	for i, p := range points {
		sizes[i], costs[i] = p.Size, p.Cost
	}
	base, slope := stat.LinearRegression(sizes, costs, nil, false)
	return Line{Intercept: base, Slope: slope, R2: stat.RSquared(sizes, costs, nil, base, slope)}
}

// At returns the fitted cost at a size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

// CPUTime returns the CPU time that this process has used, user and system time
// together.
func CPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// HeapBytes runs the garbage collector and returns the bytes of live heap objects and of
// stacks in use.
func HeapBytes() uint64 {
	// The second collection frees objects that finalizers and pools kept alive in the first.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
