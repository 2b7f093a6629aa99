package aggregator

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// panel is one plot of a chart.
type panel struct {
	title, unit string
	// measures are the names of the plotted measures.
	measures []string
}

// panels are drawn below each other with a common time axis.
var panels = []panel{
	{"Time to first event, 95th percentile", "ms", []string{"SHORT P95", "MEDIUM P95", "LONG P95"}},
	{"Late, refused and failed requests", "requests per step", []string{"LATE", "REFUSED", "UNKNOWN", "BROKEN"}},
	{"Fleet events", "events per step", []string{"REPEATS", "JUDGED", "COORDINATOR", "STORE LOST"}},
}

// Size of a chart and of its panels.
const (
	chartWidth  = 24 * vg.Centimeter
	panelHeight = 8 * vg.Centimeter
)

// WriteChart draws a day in the format "svg" or "png".
func WriteChart(out io.Writer, day Day, format string) error {
	canvas, err := draw.NewFormattedCanvas(chartWidth, panelHeight*vg.Length(len(panels)), format)
	if err != nil {
		return fmt.Errorf("draw chart: %w", err)
	}
	plots := make([][]*plot.Plot, 0, len(panels))
	for _, p := range panels {
		drawn, err := p.plot(day)
		if err != nil {
			return fmt.Errorf("draw chart: %w", err)
		}
		plots = append(plots, []*plot.Plot{drawn})
	}
	for i, cells := range plot.Align(plots, draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Centimeter}, draw.New(canvas)) {
		plots[i][0].Draw(cells[0])
	}
	if _, err := canvas.WriteTo(out); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}

func (p panel) plot(day Day) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = p.title
	drawn.X.Label.Text = "seconds from " + day.Start.UTC().Format("2006-01-02 15:04:05Z")
	drawn.Y.Label.Text = p.unit
	drawn.Y.Min = 0
	drawn.Legend.Top = true
	for i, name := range p.measures {
		column := columnOf(name)
		points := make(plotter.XYs, 0, len(day.Rows))
		for j, row := range day.Rows {
			points = append(points, plotter.XY{X: day.startOf(j).Sub(day.Start).Seconds(), Y: row[column]})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		drawn.Add(line)
		drawn.Legend.Add(name, line)
	}
	return drawn, nil
}

func columnOf(name string) int {
	for i, m := range Measures {
		if m.Name == name {
			return i
		}
	}
	panic("unknown measure " + name)
}
