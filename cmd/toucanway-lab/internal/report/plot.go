package report

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"toucanway/cmd/toucanway-lab/internal/load"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// barWidth is the width of a bar in points.
	barWidth = 12
)

// Series is the data of a line or of the bars with one colour. Bars ignore X.
type Series struct {
	Name string
	X, Y []float64
}

func seriesColour(i int) color.Color {
	palette := [...]color.RGBA{
		{R: 0x4c, G: 0x72, B: 0xb0, A: 0xff}, {R: 0xdd, G: 0x84, B: 0x52, A: 0xff},
		{R: 0x55, G: 0xa8, B: 0x68, A: 0xff}, {R: 0xc4, G: 0x4e, B: 0x52, A: 0xff},
	}
	return palette[i%len(palette)]
}

// Bars writes a PNG of groups of bars, one bar of each series in each group.
func Bars(w io.Writer, title, unit string, groups []string, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range series {
		if len(s.Y) != len(groups) {
			return fmt.Errorf("series %q has %d values for %d groups", s.Name, len(s.Y), len(groups))
		}
		bars, err := plotter.NewBarChart(plotter.Values(s.Y), vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("series %q: %w", s.Name, err)
		}
		bars.Color = seriesColour(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(series)-1)/2))
		p.Add(bars)
		p.Legend.Add(s.Name, bars)
	}
	p.NominalX(groups...)
	return writePNG(w, p)
}

// Lines writes a PNG of lines over a common horizontal axis.
func Lines(w io.Writer, title, xUnit, yUnit string, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xUnit
	p.Y.Label.Text = yUnit
	p.Legend.Top = true
	for i, s := range series {
		if len(s.X) != len(s.Y) {
			return fmt.Errorf("series %q has %d and %d coordinates", s.Name, len(s.X), len(s.Y))
		}
		points := make(plotter.XYs, len(s.X))
		for j := range points {
			points[j] = plotter.XY{X: s.X[j], Y: s.Y[j]}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("series %q: %w", s.Name, err)
		}
		line.Color = seriesColour(i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return writePNG(w, p)
}

// LatencyBars writes a PNG of bars of a latency in ms, baseline and change side by side, for each label that both have.
func (c *Comparison) LatencyBars(w io.Writer, name string, value func(load.Summary) float64) error {
	baseline, change := Series{Name: c.Baseline.Name}, Series{Name: c.Change.Name}
	var groups []string
	for _, b := range c.Baseline.Summaries {
		for _, a := range c.Change.Summaries {
			if a.Label == b.Label {
				groups = append(groups, b.Label)
				baseline.Y, change.Y = append(baseline.Y, value(b)), append(change.Y, value(a))
			}
		}
	}
	return Bars(w, c.Title+": "+name, "ms", groups, []Series{baseline, change})
}

func writePNG(w io.Writer, p *plot.Plot) error {
	png, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return err
	}
	_, err = png.WriteTo(w)
	return err
}
