package summarizer

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WritePlots plots the p95 first token time of short requests over the seconds of the runs. The extension of path selects the file format,
// such as .svg or .png.
func WritePlots(path string, runs []Summary) error {
	p := plot.New()
	p.Title.Text = "Short requests through the run"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "first token p95 (s)"
	p.Legend.Top = true
	for i, run := range runs {
		points := make(plotter.XYs, len(run.Seconds))
		for j, second := range run.Seconds {
			points[j] = plotter.XY{X: float64(j), Y: second.FirstTokenP95.Seconds()}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", run.Name, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(run.Name, line)
	}
	if err := p.Save(8*vg.Inch, 4*vg.Inch, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
