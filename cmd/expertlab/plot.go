package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"filberttrack.example/track/bench/skew"
)

// pointsPerLine bounds the points of a line; each shows the largest of its
// windows.
const pointsPerLine = 720

var lineColors = map[string]color.Color{
	"static":      color.RGBA{R: 0xb0, G: 0x40, B: 0x30, A: 0xff},
	"full repack": color.RGBA{R: 0xd0, G: 0x90, B: 0x20, A: 0xff},
	"policy":      color.RGBA{R: 0x20, G: 0x60, B: 0xb0, A: 0xff},
}

// draw plots the skew over the lunch day of the first deployment's largest group.
func draw(path string, cases []*labCase) error {
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
		line.Color = lineColors[c.placer]
		p.Add(line)
		p.Legend.Add(c.placer, line)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, path)
}

func points(skews []float64) plotter.XYs {
	each := (len(skews) + pointsPerLine - 1) / pointsPerLine
	var out plotter.XYs
	for i, s := range skews {
		if i%each == 0 {
			out = append(out, plotter.XY{X: float64(i) * skew.Window.Hours()})
		}
		last := &out[len(out)-1]
		last.Y = max(last.Y, s)
	}
	return out
}
