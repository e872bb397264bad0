package driver

import (
	"fmt"
	"image/color"
	"io"
	"math"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size and resolution of a plot.
const (
	plotWidth   = 30 * vg.Centimeter
	plotHeight  = 24 * vg.Centimeter
	legendWidth = 6.2 * vg.Centimeter
	plotDPI     = 110
	margin      = 0.4 * vg.Centimeter
	lineWidth   = 2 * vg.Length(1)
)

// fontVariant is the font of all texts in a plot.
const fontVariant = "Sans"

// Colours of a plot. They also differ in brightness.
var (
	stallColour  = color.RGBA{R: 0xc4, G: 0x3a, B: 0x2b, A: 0xff}
	queueColour  = color.RGBA{R: 0xe6, G: 0xa2, B: 0x2c, A: 0xff}
	fillColour   = color.RGBA{R: 0x1f, G: 0x5f, B: 0x8b, A: 0xff}
	loadColour   = color.RGBA{R: 0xd4, G: 0xd4, B: 0xd4, A: 0xff}
	medianColour = color.RGBA{R: 0x9e, G: 0xca, B: 0xe1, A: 0xff}
	tailColour   = color.RGBA{R: 0x2c, G: 0x6f, B: 0xa6, A: 0xff}
	rushColour   = color.RGBA{R: 0xe0, G: 0x7b, B: 0x39, A: 0xff}
	bandColour   = color.RGBA{R: 0xfc, G: 0xee, B: 0xe2, A: 0xff}
	gridColour   = color.RGBA{R: 0xdd, G: 0xdd, B: 0xdd, A: 0xff}
)

// WritePlot writes the report as a PNG image: waiting times and batch fill over time, and
// latency by workspace.
func (r *Report) WritePlot(w io.Writer) error {
	panels := []func() (*plot.Plot, error){r.waitsPanel, r.fillPanel, r.latencyPanel}
	plots := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		p, err := panel()
		if err != nil {
			return errors.Annotate(err, "plot")
		}
		plots[i] = []*plot.Plot{p}
	}
	canvas := vgimg.PngCanvas{Canvas: vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(plotDPI))}
	canvasArea := draw.New(canvas)
	tiles := draw.Tiles{
		Rows: len(panels), Cols: 1, PadX: margin, PadY: 2 * margin,
		PadTop: margin, PadBottom: margin, PadLeft: margin, PadRight: margin,
	}
	for i, row := range plot.Align(plots, tiles, draw.Crop(canvasArea, 0, -legendWidth, 0, 0)) {
		// The legend is drawn beside the panel, where it does not cover the lines.
		p := plots[i][0]
		legend := p.Legend
		p.Legend = plot.NewLegend()
		p.Draw(row[0])
		legendArea := canvasArea
		legendArea.Min = vg.Point{X: canvasArea.Max.X - legendWidth, Y: row[0].Min.Y}
		legendArea.Max = vg.Point{X: canvasArea.Max.X - margin, Y: row[0].Max.Y - 2*margin}
		legend.Draw(legendArea)
	}
	_, err := canvas.WriteTo(w)
	return errors.Annotate(err, "plot")
}

// newPanel returns an empty panel.
func newPanel(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = vg.Points(6)
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Y.Tick.Marker = evenTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.Padding = vg.Points(2)
	p.Legend.ThumbnailWidth = vg.Points(22)
	for _, s := range []*draw.TextStyle{
		&p.Title.TextStyle, &p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label, &p.Legend.TextStyle,
	} {
		s.Font.Variant = fontVariant
	}
	p.Title.TextStyle.Font.Size = vg.Points(13)
	return p
}

// addGrid draws the grid over the elements added before.
func addGrid(p *plot.Plot) {
	g := plotter.NewGrid()
	g.Vertical.Color, g.Horizontal.Color = gridColour, gridColour
	p.Add(g)
}

// evenTicks places labelled ticks at multiples of 1, 2 or 5 times a power of ten, about
// seven per axis.
type evenTicks struct{}

// Ticks returns the ticks of an axis.
func (evenTicks) Ticks(low, high float64) []plot.Tick {
	const count = 7
	if high <= low {
		return nil
	}
	step := math.Pow(10, math.Floor(math.Log10((high-low)/count)))
	for _, factor := range []float64{2, 2.5, 2} { // 2, 5, 10
		if (high-low)/step <= count {
			break
		}
		step *= factor
	}
	var ticks []plot.Tick
	for i := math.Ceil(low / step); i*step <= high*(1+1e-9); i++ {
		ticks = append(ticks, plot.Tick{Value: i * step, Label: fmt.Sprintf("%.6g", i*step)})
	}
	return ticks
}

// line is a figure plotted over time.
type line struct {
	name  string
	style draw.LineStyle
	// fill is the colour of the area below the line, which is then drawn as steps; nil for
	// none.
	fill  color.Color
	value func(*Point) *float64
}

// pointSeconds returns the length of a point, in seconds.
func (r *Report) pointSeconds() float64 {
	if len(r.Series) < 2 {
		return 1
	}
	return r.Series[1].Seconds - r.Series[0].Seconds
}

// segments returns the known values of a figure, split where it is unknown.
func (r *Report) segments(value func(*Point) *float64) []plotter.XYs {
	var found []plotter.XYs
	open := false
	for i := range r.Series {
		v := value(&r.Series[i])
		if v == nil {
			open = false
			continue
		}
		if !open {
			found = append(found, nil)
			open = true
		}
		last := len(found) - 1
		found[last] = append(found[last], plotter.XY{X: r.Series[i].Seconds + r.pointSeconds()/2, Y: *v})
	}
	return found
}

// addLines draws figures over time and adds them to the legend. The panel has the given
// height, or that of the highest value if height is 0.
func (r *Report) addLines(p *plot.Plot, height float64, lines []line) error {
	p.X.Tick.Marker = evenTicks{}
	highest := 0.0
	segments := make([][]plotter.XYs, len(lines))
	for i := range lines {
		segments[i] = r.segments(lines[i].value)
		for _, points := range segments[i] {
			for _, xy := range points {
				highest = math.Max(highest, xy.Y)
			}
		}
	}
	if height == 0 {
		height = math.Max(highest*1.1, 0.1)
	}
	band, shift, err := r.rushAndShift(p, height)
	if err != nil {
		return err
	}
	addGrid(p)
	for i := range lines {
		if err := addLine(p, &lines[i], segments[i]); err != nil {
			return err
		}
	}
	if band != nil {
		p.Legend.Add("rush of "+r.Parameters.RushWorkspace, band)
	}
	if shift != nil {
		p.Add(shift)
		p.Legend.Add("popularity shifts", shift)
	}
	if at := r.Parameters.WarmUpSeconds; at > 0 {
		warm, err := verticalLine(at, height)
		if err != nil {
			return err
		}
		warm.Dashes = []vg.Length{vg.Points(1), vg.Points(3)}
		p.Add(warm)
		p.Legend.Add("measured from here", warm)
	}
	p.Y.Max = height
	p.X.Min, p.X.Max = 0, r.Parameters.DurationSeconds
	if n := len(r.Series); n > 0 {
		p.X.Max = math.Max(p.X.Max, r.Series[n-1].Seconds+r.pointSeconds())
	}
	return nil
}

func addLine(p *plot.Plot, l *line, segments []plotter.XYs) error {
	name := l.name
	if len(segments) == 0 {
		name += " (" + notObserved + ")"
	}
	sample := &plotter.Line{LineStyle: l.style, FillColor: l.fill}
	for _, points := range segments {
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		drawn.LineStyle = l.style
		if l.fill != nil {
			drawn.FillColor = l.fill
			drawn.StepStyle = plotter.MidStep
		}
		p.Add(drawn)
	}
	p.Legend.Add(name, sample)
	return nil
}

// rushAndShift returns the band of the rush, which it adds to the panel as the background,
// and the line of the shift. Either is nil if the run has none.
func (r *Report) rushAndShift(p *plot.Plot, height float64) (*plotter.Polygon, *plotter.Line, error) {
	end := r.Parameters.DurationSeconds
	var band *plotter.Polygon
	var shift *plotter.Line
	var err error
	if r.Parameters.RushWorkspace != "" {
		from, to := r.Parameters.RushFrom*end, r.Parameters.RushTo*end
		band, err = plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: height}, {X: from, Y: height}})
		if err != nil {
			return nil, nil, errors.Trace(err)
		}
		band.Color = bandColour
		band.Width = 0
		p.Add(band)
	}
	if at := r.Parameters.ShiftAt * end; at > 0 {
		if shift, err = verticalLine(at, height); err != nil {
			return nil, nil, err
		}
	}
	return band, shift, nil
}

// verticalLine returns a dashed line over the height of a panel.
func verticalLine(at, height float64) (*plotter.Line, error) {
	l, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: height}})
	if err != nil {
		return nil, errors.Trace(err)
	}
	l.LineStyle = draw.LineStyle{Color: color.Black, Width: lineWidth / 2, Dashes: []vg.Length{vg.Points(6), vg.Points(4)}}
	return l, nil
}
