package main

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// key identifies a series and the line fitted to it.
type key struct{ series, variable, unit string }

// line is a straight line fitted to the results of a series.
type line struct {
	key
	intercept, slope float64
	// largestSize is the largest measured size, and largestValue the value measured there.
	largestSize, largestValue float64
	// sizes is the number of different sizes.
	sizes int
}

// value returns the line's value at a size, but at least zero, because a line with a negative intercept is negative at small sizes.
func (l line) value(size float64) float64 { return max(l.intercept+l.slope*size, 0) }

// fitAll fits a line to every series and returns the lines in the order of the input. Of several runs at the same size it uses the minimum,
// because other work on the machine only adds time. It omits series of two sizes.
func fitAll(results []result) []line {
	points := map[key]map[float64]float64{}
	var order []key
	for _, r := range results {
		k := key{r.series, r.variable, r.unit}
		if points[k] == nil {
			points[k] = map[float64]float64{}
			order = append(order, k)
		}
		if v, ok := points[k][r.size]; !ok || r.value < v {
			points[k][r.size] = r.value
		}
	}
	var lines []line
	for _, k := range order {
		if l := fit(points[k]); l.sizes >= 3 || l.sizes == 1 {
			l.key = k
			lines = append(lines, l)
		}
	}
	return lines
}

// fit returns the least squares fit of the relative error, so that the smallest size weighs as much as the largest. A series of one size
// becomes a constant.
func fit(points map[float64]float64) line {
	var l line
	var n, sx, sy, sxx, sxy float64
	for x, y := range points {
		weight := 1 / max(y*y, 1)
		n, sx, sy, sxx, sxy = n+weight, sx+weight*x, sy+weight*y, sxx+weight*x*x, sxy+weight*x*y
		if x >= l.largestSize {
			l.largestSize, l.largestValue = x, y
		}
	}
	l.sizes = len(points)
	if d := n*sxx - sx*sx; l.sizes > 1 && d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	l.intercept = (sy - l.slope*sx) / n
	return l
}

// omittedUnits lists units that are redundant or that no budget needs.
var omittedUnits = map[string]bool{"allocs/op": true}

func writeLines(out io.Writer, lines []line) error {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.Debug)
	_, _ = fmt.Fprintln(w, "| Series\t Unit\t Intercept\t Slope\t per\t Largest size\t Measured there\t")
	_, _ = fmt.Fprintln(w, "|---\t---\t--:\t--:\t---\t--:\t--:\t")
	for _, l := range lines {
		if omittedUnits[l.unit] || (l.slope == 0 && l.intercept == 0) {
			continue
		}
		_, _ = fmt.Fprintf(w, "| %s\t %s\t %s\t %s\t %s\t %s\t %s\t\n", l.series, l.unit, formatNumber(l.intercept), formatNumber(l.slope), l.variable, formatNumber(l.largestSize), formatNumber(l.largestValue))
	}
	return w.Flush()
}

// formatNumber formats a number with three significant digits, and whole numbers from 1,000 on.
func formatNumber(v float64) string {
	if v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
