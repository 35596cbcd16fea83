// Package plotter draws acknowledged writes over time, so that the pauses around changes of primary can be seen.
package plotter

import (
	"fmt"
	"image/color"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	bucket = 100 * time.Millisecond
	width  = 26 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// gapColor is a transparent red.
var gapColor = color.NRGBA{R: 200, A: 50}

// Gap is a time without acknowledged writes to a database.
type Gap struct {
	Database   string
	Start, End time.Duration
}

// Drawing is what to draw.
type Drawing struct {
	Title  string
	Writes map[string][]time.Duration // ends of acknowledged writes by database, in order
	Gaps   []Gap
}

// Write draws into a file, whose name decides the format.
func Write(file string, d Drawing) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = d.Title, "seconds"
	p.Y.Label.Text = fmt.Sprintf("writes acknowledged in %d ms", bucket.Milliseconds())
	p.Legend.Top = true
	highest := 0.0
	for n, name := range slices.Sorted(maps.Keys(d.Writes)) {
		points := rates(d.Writes[name])
		l, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("line of %s: %w", name, err)
		}
		for _, xy := range points {
			highest = max(highest, xy.Y)
		}
		l.Color = plotutil.Color(n)
		p.Add(l)
		p.Legend.Add(name, l)
	}
	for _, g := range d.Gaps {
		if err := addGap(p, g, highest); err != nil {
			return err
		}
	}
	return p.Save(width, height, file)
}

// addGap marks a gap over the whole height.
func addGap(p *plot.Plot, g Gap, highest float64) error {
	a, b := g.Start.Seconds(), g.End.Seconds()
	box, err := plotter.NewPolygon(plotter.XYs{{X: a}, {X: a, Y: highest}, {X: b, Y: highest}, {X: b}})
	if err != nil {
		return fmt.Errorf("gap of %s: %w", g.Database, err)
	}
	box.Color, box.LineStyle.Width = gapColor, 0
	p.Add(box)
	text, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    plotter.XYs{{X: a, Y: highest}},
		Labels: []string{fmt.Sprintf("%s %d ms", g.Database, (g.End - g.Start).Milliseconds())},
	})
	if err != nil {
		return fmt.Errorf("label of the gap of %s: %w", g.Database, err)
	}
	p.Add(text)
	return nil
}

// rates counts times in buckets.
func rates(times []time.Duration) plotter.XYs {
	if len(times) == 0 {
		return plotter.XYs{{}}
	}
	xy := make(plotter.XYs, times[len(times)-1]/bucket+1)
	for n := range xy {
		xy[n].X = (time.Duration(n) * bucket).Seconds()
	}
	for _, t := range times {
		xy[t/bucket].Y++
	}
	return xy
}
