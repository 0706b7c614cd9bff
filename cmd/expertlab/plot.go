package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"filberttrack.example/track/bench/skew"
)

// maxLinePoints is the maximum number of points of a line. Each point shows the largest skew of
// the windows that it covers.
const maxLinePoints = 720

// lineColors maps placement strategies to the colors of their lines.
var lineColors = map[string]color.Color{
	"static":      color.RGBA{R: 0xb0, G: 0x40, B: 0x30, A: 0xff},
	"full repack": color.RGBA{R: 0xd0, G: 0x90, B: 0x20, A: 0xff},
	"policy":      color.RGBA{R: 0x20, G: 0x60, B: 0xb0, A: 0xff},
}

// writePlot writes an SVG plot of the skew over the "lunch" trace of the first deployment's
// largest group.
func writePlot(path string, cases []*benchCase) error {
	p := plot.New()
	p.Title.Text = "Step-time skew over a day with jumps at 12:00 and 13:30, 64 ranks"
	p.X.Label.Text = "hour"
	p.Y.Label.Text = "slowest rank over mean (largest in each two minutes)"
	p.Y.Min = 1
	p.Legend.Top = true
	for _, c := range cases {
		if c.deployment.Name != "detak" || c.kind != skew.Lunch || c.shape.Ranks != 64 {
			continue
		}
		line, err := plotter.NewLine(points(c.result.Skews))
		if err != nil {
			return fmt.Errorf("plot %s: %w", c, err)
		}
		line.Color = lineColors[c.strategy]
		p.Add(line)
		p.Legend.Add(c.strategy, line)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, path)
}

// points returns the points of a line: the time in hours, and the largest skew of each range of
// windows.
func points(skews []float64) plotter.XYs {
	windowsPerPoint := (len(skews) + maxLinePoints - 1) / maxLinePoints
	var line plotter.XYs
	for i, s := range skews {
		if i%windowsPerPoint == 0 {
			line = append(line, plotter.XY{X: float64(i) * skew.Window.Hours()})
		}
		last := &line[len(line)-1]
		last.Y = max(last.Y, s)
	}
	return line
}
