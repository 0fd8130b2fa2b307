package bench

import (
	"fmt"
	"image/color"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // draws PNG

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 13 * vg.Centimeter
	// plotBuckets is the number of time intervals for which the chart shows
	// percentiles.
	plotBuckets = 40
	// minPlottedMillis is the lowest latency on the chart; lower values are drawn
	// there.
	minPlottedMillis = 0.01
)

// rankColors holds colors that remain distinguishable with color blindness.
var rankColors = [config.RankCount]color.RGBA{
	{R: 0xD5, G: 0x5E, B: 0x00, A: 0xFF},
	{R: 0x00, G: 0x72, B: 0xB2, A: 0xFF},
	{R: 0x55, G: 0x55, B: 0x55, A: 0xFF},
}

var floodColor = color.RGBA{R: 0xF6, G: 0xE3, B: 0xA8, A: 0xFF}

// Plot writes a PNG chart to the file. The chart shows the median and the 99th
// percentile of the latencies over time, by rank, and shades the floods.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: answer time by rank, from the intended arrival", r.Service)
	p.X.Label.Text = "seconds since the start of the load"
	p.Y.Label.Text = "answer time in ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Min, p.X.Max = 0, r.Seconds
	p.Legend.Top, p.Legend.Left = false, false
	p.Legend.XOffs, p.Legend.YOffs = -vg.Points(6), vg.Points(6)
	p.Legend.TextStyle.Font.Size, p.Legend.Padding = vg.Points(9), vg.Points(3)

	lines := r.lines()
	p.Y.Min, p.Y.Max = yRange(lines)
	if err := r.shadeFloods(p); err != nil {
		return err
	}
	grid := plotter.NewGrid()
	grid.Horizontal.Color, grid.Vertical.Color = color.Gray{Y: 0xDD}, color.Gray{Y: 0xEE}
	p.Add(grid)
	for _, l := range lines {
		p.Add(l.line)
		p.Legend.Add(l.name, l.line)
	}
	return p.Save(plotWidth, plotHeight, file)
}

// shadeFloods shades the time of each flood.
func (r *Report) shadeFloods(p *plot.Plot) error {
	for _, f := range r.Floods {
		from, to := f.From.Seconds(), min(f.To.Seconds(), r.Seconds)
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: p.Y.Min}, {X: to, Y: p.Y.Min}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		area.Color, area.LineStyle.Width = floodColor, 0
		p.Add(area)
		p.Legend.Add(fmt.Sprintf("flood: %s x%v", f.Class, f.Factor), area)
	}
	return nil
}

// plotLine holds one line of the chart and its name in the legend.
type plotLine struct {
	name string
	line *plotter.Line
}

// lines returns the p99 and median lines of each rank that has answers.
func (r *Report) lines() (lines []plotLine) {
	const median, p99 = 50, 99
	for rank := range config.RankCount {
		for _, q := range []int{p99, median} {
			points := r.points(rank, q)
			if len(points) == 0 {
				continue
			}
			line := &plotter.Line{XYs: points, LineStyle: draw.LineStyle{Color: rankColors[rank], Width: vg.Points(1.8)}}
			name := rank.String() + ", p99"
			if q == median {
				line.Width, line.Dashes = vg.Points(1), []vg.Length{vg.Points(4), vg.Points(3)}
				name = rank.String() + ", median"
			}
			lines = append(lines, plotLine{name, line})
		}
	}
	return lines
}

// yRange returns powers of ten that enclose the lines, with an extra power of ten
// at the bottom for the legend.
func yRange(lines []plotLine) (low, high float64) {
	low, high = math.Inf(1), minPlottedMillis
	for _, l := range lines {
		for _, p := range l.line.XYs {
			low, high = min(low, p.Y), max(high, p.Y)
		}
	}
	if math.IsInf(low, 1) {
		return minPlottedMillis, 1
	}
	return math.Pow(10, math.Floor(math.Log10(low))-1), math.Pow(10, math.Ceil(math.Log10(high)))
}

// points returns a percentile of the latencies of a rank, in milliseconds, for each
// time interval. An interval without an answer has no point.
func (r *Report) points(rank config.Rank, percent int) plotter.XYs {
	step := seconds(r.Seconds) / plotBuckets
	var buckets [plotBuckets][]time.Duration
	for _, rec := range r.history.Records {
		if rec.Op == ledger.OpHeartbeat || rec.Rank != rank || !rec.Outcome.OK() {
			continue
		}
		i := min(int(rec.Intended/step), plotBuckets-1)
		buckets[i] = append(buckets[i], rec.End-rec.Intended)
	}
	var points plotter.XYs
	for i, latencies := range buckets {
		if len(latencies) == 0 {
			continue
		}
		slices.Sort(latencies)
		latency := latencies[min(len(latencies)*percent/100, len(latencies)-1)]
		middle := (time.Duration(i)*step + step/2).Seconds()
		points = append(points, plotter.XY{X: middle, Y: max(latency.Seconds()*1000, minPlottedMillis)})
	}
	return points
}
