package experiment

import (
	"encoding/xml"
	"fmt"
	"math"
	"strings"
)

// Sizes of a plot in pixels.
const (
	plotWidth  = 720
	plotHeight = 360
	plotLeft   = 70
	plotRight  = 20
	plotTop    = 40
	plotBottom = 70
	plotTicks  = 5
	pointSize  = 3
)

var plotColours = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b", "#17becf", "#7f7f7f"}

// Point is a point of a series.
type Point struct{ X, Y float64 }

// Series is a named sequence of points.
type Series struct {
	Name   string
	Points []Point
	Line   bool // joined by a line
}

// Plot is a diagram with linear axes that start at zero.
type Plot struct {
	Title, XLabel, YLabel string
	Series                []Series
	Bound                 *float64 // horizontal line of a target
}

// SVG draws the plot.
func (p Plot) SVG() string {
	var b strings.Builder
	maxX, maxY := p.extent()
	x := func(v float64) float64 { return plotLeft + v/maxX*(plotWidth-plotLeft-plotRight) }
	y := func(v float64) float64 { return plotHeight - plotBottom - v/maxY*(plotHeight-plotTop-plotBottom) }
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="11">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, plotHeight)
	text := func(px, py float64, anchor, s string) {
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" text-anchor="%s">%s</text>`+"\n", px, py, anchor, escape(s))
	}
	line := func(x1, y1, x2, y2 float64, colour, dash string) {
		fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="%s" stroke-dasharray="%s"/>`+"\n", x1, y1, x2, y2, colour, dash)
	}
	text(plotWidth/2, plotTop/2, "middle", p.Title)
	text(plotWidth/2, plotHeight-plotBottom+35, "middle", p.XLabel)
	text(plotLeft, plotTop-6, "middle", p.YLabel)
	for i := range plotTicks + 1 {
		vx, vy := maxX*float64(i)/plotTicks, maxY*float64(i)/plotTicks
		line(plotLeft, y(vy), plotWidth-plotRight, y(vy), "#dddddd", "none")
		text(plotLeft-6, y(vy)+4, "end", fmt.Sprintf("%.3g", vy))
		text(x(vx), plotHeight-plotBottom+16, "middle", fmt.Sprintf("%.3g", vx))
	}
	line(plotLeft, y(0), plotWidth-plotRight, y(0), "black", "none")
	line(plotLeft, y(0), plotLeft, y(maxY), "black", "none")
	if p.Bound != nil {
		line(plotLeft, y(*p.Bound), plotWidth-plotRight, y(*p.Bound), "black", "6 4")
	}
	for i, s := range p.Series {
		colour := plotColours[i%len(plotColours)]
		drawSeries(&b, s, colour, x, y)
		column := (plotWidth - plotLeft - plotRight) / float64(len(p.Series))
		px, py := plotLeft+float64(i)*column, float64(plotHeight-12)
		fmt.Fprintf(&b, `<rect x="%.1f" y="%.1f" width="10" height="10" fill="%s"/>`+"\n", px, py-9, colour)
		text(px+14, py, "start", s.Name)
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func drawSeries(b *strings.Builder, s Series, colour string, x, y func(float64) float64) {
	if s.Line {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.1f,%.1f", x(p.X), y(p.Y)))
		}
		fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="%s"/>`+"\n", strings.Join(points, " "), colour)
		return
	}
	for _, p := range s.Points {
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="%d" fill="%s"/>`+"\n", x(p.X), y(p.Y), pointSize, colour)
	}
}

// extent returns the ends of the axes, which are above zero.
func (p Plot) extent() (x, y float64) {
	for _, s := range p.Series {
		for _, q := range s.Points {
			x, y = math.Max(x, q.X), math.Max(y, q.Y)
		}
	}
	if p.Bound != nil {
		y = math.Max(y, *p.Bound)
	}
	if x <= 0 {
		x = 1
	}
	if y <= 0 {
		y = 1
	}
	return x, y * 1.05
}

func escape(s string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(s)) // a strings.Builder does not fail
	return b.String()
}
