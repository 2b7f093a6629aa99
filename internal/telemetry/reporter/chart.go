package reporter

import (
	"cmp"
	"errors"
	"fmt"
	"image/color"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// maxChartRows is the number of rows with which a chart stays readable. The objectives with the highest burn rates are drawn.
const maxChartRows = 24

// maxChartBurnRate truncates bars, so that one very high burn rate does not make all other bars too short to read.
const maxChartBurnRate = 20

// WriteChart draws the burn rates as bars, in the format "svg" or "png". The line at 1 marks the rate that uses up the budget exactly.
func WriteChart(w io.Writer, report Report, format string) error {
	if format != "svg" && format != "png" {
		return fmt.Errorf("chart format %q is neither svg nor png", format)
	}
	rows := highestBurnRows(report.Rows)
	if len(rows) == 0 {
		return errors.New("the report has no events to draw")
	}
	p := plot.New()
	p.Title.Text = "Burn rate at " + report.At.UTC().Format("2006-01-02 15:04:05Z")
	p.X.Label.Text = "Burn rate (1 uses up the budget)"
	p.X.Min = 0
	p.Legend.Top = true
	names, width := rowNames(rows), vg.Points(4)
	for i := range rows[0].Windows {
		values := make(plotter.Values, len(rows))
		for j, row := range rows {
			values[j] = min(row.Windows[i].BurnRate, maxChartBurnRate)
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return fmt.Errorf("draw chart: %w", err)
		}
		bars.Horizontal = true
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = width * vg.Length(float64(i)-float64(len(rows[0].Windows)-1)/2)
		p.Add(bars)
		p.Legend.Add(windowName(rows[0].Windows[i].Length.Std()), bars)
	}
	limit, err := plotter.NewLine(plotter.XYs{{X: 1, Y: -0.5}, {X: 1, Y: float64(len(rows)) - 0.5}})
	if err != nil {
		return fmt.Errorf("draw chart: %w", err)
	}
	limit.Color = color.Gray{Y: 0x60}
	p.Add(limit)
	p.NominalY(names...)
	canvas, err := p.WriterTo(18*vg.Centimeter, vg.Length(len(rows))*vg.Centimeter+4*vg.Centimeter, format)
	if err != nil {
		return fmt.Errorf("draw chart: %w", err)
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}

// highestBurnRows returns the rows with the highest burn rate in any window, the highest last, because a chart starts at the bottom. Rows whose
// windows differ from the first row's are left out.
func highestBurnRows(all []Row) []Row {
	rows := slices.DeleteFunc(slices.Clone(all), func(r Row) bool {
		return len(r.Windows) == 0 || len(r.Windows) != len(all[0].Windows)
	})
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(highestBurnRate(a), highestBurnRate(b)) })
	return rows[max(0, len(rows)-maxChartRows):]
}

func highestBurnRate(row Row) float64 {
	highest := 0.0
	for _, window := range row.Windows {
		highest = max(highest, window.BurnRate)
	}
	return highest
}

func rowNames(rows []Row) []string {
	names := make([]string, 0, len(rows))
	for _, row := range rows {
		names = append(names, fmt.Sprintf("%s %s %s", row.Member, row.Class, row.Objective))
	}
	return names
}
