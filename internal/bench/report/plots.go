package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// figure is one plot of the page.
type figure struct {
	Title, Caption string
	SVG            template.HTML
}

// runs lists the runs in drawing order with their colors.
var runs = []struct {
	name   string
	colour color.Color
}{
	{RunAlone, color.RGBA{R: 0x57, G: 0x60, B: 0x6a, A: 0xff}},
	{RunNaive, color.RGBA{R: 0xd4, G: 0x7a, B: 0x00, A: 0xff}},
	{RunRingstream, color.RGBA{R: 0x09, G: 0x69, B: 0xda, A: 0xff}},
}

var (
	batchColour = color.RGBA{R: 0x1a, G: 0x7f, B: 0x37, A: 0xff}
	idealColour = color.RGBA{R: 0x82, G: 0x50, B: 0xdf, A: 0xff}
	markColour  = color.RGBA{R: 0xcf, G: 0x22, B: 0x2e, A: 0xff}
)

// figures draws the plots of a series. Plots without data are left out.
func figures(series Series) ([]figure, error) {
	var all []figure
	for _, one := range []struct {
		title, caption string
		draw           func(Series) *plot.Plot
	}{
		{"First token over time", "95th percentile of each second of arrivals, milliseconds, logarithmic. Red lines mark what happened to the fleet.", firstTokenPlot},
		{"Batch against idle capacity", "Places on the engines: taken by online, taken in all, and how many there are.", slotsPlot},
		{"Batch items finished", "Items finished by the engines, against an ideal schedule on the places that online left.", itemsPlot},
		{"First token, distribution", "Part of requests whose first token came within a time.", func(s Series) *plot.Plot {
			return distributionPlot(s, "first token (ms)", func(p Point) float64 { return p.TTFT })
		}},
		{"Between tokens, distribution", "Part of requests whose mean time between tokens is within a time.", func(s Series) *plot.Plot {
			return distributionPlot(s, "between tokens (ms)", func(p Point) float64 { return p.TPOT })
		}},
		{"Table convergence", "Time from an edit's acceptance until each node showed it.", convergencePlot},
	} {
		drawn := one.draw(series)
		if drawn == nil {
			continue
		}
		svg, err := render(drawn)
		if err != nil {
			return nil, fmt.Errorf("report: %s: %w", one.title, err)
		}
		all = append(all, figure{Title: one.title, Caption: one.caption, SVG: svg})
	}
	return all, nil
}

func newPlot(x, y string) *plot.Plot {
	made := plot.New()
	made.X.Label.Text, made.Y.Label.Text = x, y
	made.Legend.Top = true
	made.Legend.Padding = vg.Points(3)
	made.Add(plotter.NewGrid())
	for _, style := range []*draw.TextStyle{
		&made.X.Label.TextStyle, &made.Y.Label.TextStyle, &made.X.Tick.Label, &made.Y.Tick.Label, &made.Legend.TextStyle,
	} {
		style.Font.Variant = "Sans"
	}
	return made
}

// secondTicks places labels only at whole seconds.
var secondTicks = plot.TickerFunc(func(low, high float64) []plot.Tick {
	const labels = 12
	every := max(1, math.Ceil((high-low)/labels))
	var ticks []plot.Tick
	for second := math.Ceil(low/every) * every; second <= high; second += every {
		ticks = append(ticks, plot.Tick{Value: second, Label: fmt.Sprintf("%g", second)})
	}
	return ticks
})

func render(drawn *plot.Plot) (template.HTML, error) {
	const width, height = 24 * vg.Centimeter, 9 * vg.Centimeter
	canvas := vgsvg.New(width, height)
	drawn.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", err
	}
	svg := text.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		svg = svg[start:] // an XML declaration is not allowed inside HTML
	}
	return template.HTML(svg), nil //nolint:gosec // made by the plot library from numbers and our labels
}

// addCurve adds a curve to a plot. Curves with fewer than two points are left out.
func addCurve(to *plot.Plot, name string, colour color.Color, points plotter.XYs, dashed bool) {
	if len(points) < 2 {
		return
	}
	curve, err := plotter.NewLine(points)
	if err != nil {
		return // curves with a point that is not a number are left out
	}
	curve.Color = colour
	curve.Width = vg.Points(1.6)
	if dashed {
		curve.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}
	to.Add(curve)
	to.Legend.Add(name, curve)
}

// addMarks draws a labeled line for each mark of the series, with the label at the given height.
func addMarks(to *plot.Plot, series Series, low, high, label float64) {
	to.X.Tick.Marker = secondTicks
	for _, mark := range series.Marks {
		curve, err := plotter.NewLine(plotter.XYs{{X: mark.At, Y: low}, {X: mark.At, Y: high}})
		if err != nil {
			continue
		}
		curve.Color = markColour
		curve.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: mark.At, Y: label}}, Labels: []string{" " + mark.Label}})
		if err != nil {
			continue
		}
		labels.TextStyle[0].Color = markColour
		labels.TextStyle[0].Font.Variant = "Sans"
		to.Add(curve, labels)
	}
}

func firstTokenPlot(series Series) *plot.Plot {
	drawn := newPlot("seconds", "first token p95 (ms)")
	low, high := math.Inf(1), 0.0
	for _, run := range runs {
		points := percentileBySecond(series.Online[run.name])
		for _, point := range points {
			low, high = min(low, point.Y), max(high, point.Y)
		}
		addCurve(drawn, run.name, run.colour, points, false)
	}
	if high == 0 {
		return nil
	}
	setLogScale(&drawn.Y)
	drawn.Y.Min, drawn.Y.Max = low/1.5, high*1.5
	addMarks(drawn, series, drawn.Y.Min, drawn.Y.Max, drawn.Y.Min)
	return drawn
}

// percentileBySecond returns the 95th percentile of each second that has requests.
func percentileBySecond(points []Point) plotter.XYs {
	seconds := map[int][]float64{}
	for _, point := range points {
		seconds[int(point.At)] = append(seconds[int(point.At)], point.TTFT)
	}
	var all plotter.XYs
	for second, values := range seconds {
		slices.Sort(values)
		const percentile = 0.95
		value := values[int(float64(len(values)-1)*percentile)]
		all = append(all, plotter.XY{X: float64(second) + 0.5, Y: max(value, 0.1)})
	}
	slices.SortFunc(all, func(a, b plotter.XY) int { return int(math.Copysign(1, a.X-b.X)) })
	return all
}

func setLogScale(axis *plot.Axis) {
	axis.Scale = plot.LogScale{}
	axis.Tick.Marker = plot.TickerFunc(func(low, high float64) []plot.Tick {
		var ticks []plot.Tick
		for decade := math.Pow(10, math.Floor(math.Log10(low))); decade <= high; decade *= 10 {
			for _, factor := range []float64{1, 2, 5} {
				if value := decade * factor; value >= low && value <= high {
					ticks = append(ticks, plot.Tick{Value: value, Label: fmt.Sprintf("%g", value)})
				}
			}
		}
		return ticks
	})
}

func slotsPlot(series Series) *plot.Plot {
	if len(series.Slots) < 2 {
		return nil
	}
	drawn := newPlot("seconds", "places")
	var online, taken, total plotter.XYs
	for _, slots := range series.Slots {
		online = append(online, plotter.XY{X: slots.At, Y: slots.Online})
		taken = append(taken, plotter.XY{X: slots.At, Y: slots.Online + slots.Batch})
		total = append(total, plotter.XY{X: slots.At, Y: slots.Total})
	}
	addCurve(drawn, "all places", runs[0].colour, total, true)
	addCurve(drawn, "online and batch", batchColour, taken, false)
	addCurve(drawn, "online", runs[2].colour, online, false)
	drawn.Y.Min = 0
	drawn.Y.Max = total[0].Y * 1.3
	addMarks(drawn, series, 0, drawn.Y.Max, drawn.Y.Max*0.95)
	return drawn
}

func itemsPlot(series Series) *plot.Plot {
	if len(series.Slots) < 2 || series.Slots[len(series.Slots)-1].Ideal == 0 {
		return nil
	}
	drawn := newPlot("seconds", "items")
	var done, ideal plotter.XYs
	for _, slots := range series.Slots {
		done = append(done, plotter.XY{X: slots.At, Y: float64(slots.Done)})
		ideal = append(ideal, plotter.XY{X: slots.At, Y: float64(slots.Ideal)})
	}
	addCurve(drawn, "ideal", idealColour, ideal, true)
	addCurve(drawn, RunRingstream, batchColour, done, false)
	drawn.Legend.Left = true
	drawn.X.Tick.Marker = secondTicks
	return drawn
}

func distributionPlot(series Series, label string, value func(Point) float64) *plot.Plot {
	drawn := newPlot(label, "part of requests")
	low, high := math.Inf(1), 0.0
	for _, run := range runs {
		var values []float64
		for _, point := range series.Online[run.name] {
			if v := value(point); v > 0 {
				values = append(values, v)
			}
		}
		if len(values) < 2 {
			continue
		}
		slices.Sort(values)
		points := make(plotter.XYs, len(values))
		for i, v := range values {
			points[i] = plotter.XY{X: v, Y: float64(i+1) / float64(len(values))}
		}
		const outliers = 200 // one value in this many may lie left of the plot
		low, high = min(low, values[len(values)/outliers]), max(high, values[len(values)-1])
		addCurve(drawn, run.name, run.colour, points, false)
	}
	if high == 0 {
		return nil
	}
	setLogScale(&drawn.X)
	drawn.X.Min, drawn.X.Max = low/1.05, high*1.05
	drawn.Y.Min, drawn.Y.Max = 0, 1
	drawn.Legend.Top = false
	return drawn
}

func convergencePlot(series Series) *plot.Plot {
	if len(series.Convergence) == 0 {
		return nil
	}
	drawn := newPlot("seconds (when accepted)", "in force after (ms)")
	byNode := map[int]plotter.XYs{}
	highest := 0.0
	for _, one := range series.Convergence {
		byNode[one.Node] = append(byNode[one.Node], plotter.XY{X: one.At, Y: one.Millis})
		highest = max(highest, one.Millis)
	}
	colours := []color.Color{runs[2].colour, batchColour, runs[1].colour, idealColour, runs[0].colour}
	shapes := []draw.GlyphDrawer{draw.CircleGlyph{}, draw.TriangleGlyph{}, draw.SquareGlyph{}, draw.CrossGlyph{}, draw.PlusGlyph{}}
	for node := range len(byNode) {
		scatter, err := plotter.NewScatter(byNode[node])
		if err != nil {
			continue
		}
		scatter.GlyphStyle = draw.GlyphStyle{Color: colours[node%len(colours)], Radius: vg.Points(4), Shape: shapes[node%len(shapes)]}
		drawn.Add(scatter)
		drawn.Legend.Add(fmt.Sprintf("node %d", node), scatter)
	}
	drawn.X.Min, drawn.X.Max = 0, series.Duration
	drawn.X.Tick.Marker = secondTicks
	drawn.Y.Min, drawn.Y.Max = 0, highest*1.3+1
	return drawn
}
