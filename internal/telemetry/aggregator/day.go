// Package aggregator summarizes the logs of all nodes over a day: for each time step, the results of requests next to the events in the fleet.
package aggregator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/telemetry/logger"
	"damaskpick.example/damaskpick/internal/telemetry/parser"
)

const (
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
	// maxSteps is the number of rows with which a table fits on a screen and a chart stays readable. A step that the caller sets may
	// give up to ten times as many.
	maxSteps = 60
)

// ErrNoRequests is returned for logs that contain no end of a request.
var ErrNoRequests = errors.New("no line says how a request ended")

// Day is a table with a row for each time step and a column for each measure. It must not be modified.
type Day struct {
	Start time.Time
	Step  time.Duration
	// Rows hold the values of all measures in the order of Measures.
	Rows [][]float64
}

// Measure is a column of a day.
type Measure struct {
	// Name is the title of the column. Times are in milliseconds.
	Name string
	// compute returns the value for the lines of one step.
	compute func(lines []parser.Line) float64
}

// Longest prompts of the length classes, in tokens. An engine processes the longest short prompt in about 0.1 s and the longest medium prompt
// in about 1 s.
const (
	maxShortPrompt  = 16_000
	maxMediumPrompt = 100_000
)

// Measures are the columns of each day.
var Measures = []Measure{
	{"DELIVERED", countLines(endedWith("Delivered"))},
	{"LATE", countLines(func(l parser.Line) bool {
		return l.Message == string(modeler.LogEventRequestEnded) && l.Get("Late") == "true"
	})},
	{"REFUSED", countLines(endedWith("Refused"))},
	{"UNKNOWN", countLines(endedWith("Unknown", "TimedOut"))},
	{"BROKEN", countLines(endedWith("Interrupted"))},
	{"LEFT", countLines(endedWith("Left"))},
	{"STOPPED", countLines(endedWith("Stopped"))},
	{"SERVICE P95", firstEventP95(0, 0)},
	{"SHORT P95", firstEventP95(1, maxShortPrompt)},
	{"MEDIUM P95", firstEventP95(maxShortPrompt+1, maxMediumPrompt)},
	{"LONG P95", firstEventP95(maxMediumPrompt+1, 1<<62)},
	{"REPEATS", countLines(hasMessage(modeler.LogEventAttemptRepeated))},
	{"JUDGED", countLines(hasMessage(modeler.LogEventEndpointJudged))},
	{"COORDINATOR", countLines(hasMessage(modeler.LogEventCoordinatorChanged))},
	{"STORE LOST", countLines(hasMessage(modeler.LogEventStoreLost))},
	{"DROPPED", func(lines []parser.Line) float64 {
		sum := 0.0
		for _, l := range lines {
			if l.Message == logger.LinesDropped {
				sum += l.Number("Count")
			}
		}
		return sum
	}},
}

func hasMessage(name modeler.LogEventName) func(parser.Line) bool {
	return func(l parser.Line) bool { return l.Message == string(name) }
}

func endedWith(statuses ...string) func(parser.Line) bool {
	return func(l parser.Line) bool {
		return l.Message == string(modeler.LogEventRequestEnded) && slices.Contains(statuses, l.Get("Status"))
	}
}

func countLines(matches func(parser.Line) bool) func([]parser.Line) float64 {
	return func(lines []parser.Line) float64 {
		sum := 0.0
		for _, l := range lines {
			if matches(l) {
				sum++
			}
		}
		return sum
	}
}

// firstEventP95 computes the 95th percentile of the time to the first event, in milliseconds, over the requests whose prompts have minPrompt
// to maxPrompt tokens, or 0 if there are none. Nodes log all late requests but only a bounded number of others, so the value is an upper bound
// when lines were dropped.
func firstEventP95(minPrompt, maxPrompt float64) func([]parser.Line) float64 {
	const quantile = 0.95
	return func(lines []parser.Line) float64 {
		var times []float64
		for _, l := range lines {
			prompt := l.Number("Prompt")
			if l.Message == string(modeler.LogEventRequestEnded) && prompt >= minPrompt && prompt <= maxPrompt && l.Number("First") > 0 {
				times = append(times, l.Number("First"))
			}
		}
		if len(times) == 0 {
			return 0
		}
		slices.Sort(times)
		return times[min(int(quantile*float64(len(times))), len(times)-1)]
	}
}

// Read summarizes logs, or returns ErrNoRequests. If step is zero or would give 10*maxSteps rows or more, Read uses a step of whole seconds
// that gives about maxSteps rows.
func Read(in io.Reader, step time.Duration) (Day, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var lines []parser.Line
	requests := false
	for scanner.Scan() {
		if l, ok := parser.Parse(scanner.Text()); ok {
			lines = append(lines, l)
			requests = requests || l.Message == string(modeler.LogEventRequestEnded)
		}
	}
	if err := scanner.Err(); err != nil {
		return Day{}, fmt.Errorf("read log: %w", err)
	}
	if !requests {
		return Day{}, ErrNoRequests
	}
	slices.SortStableFunc(lines, func(a, b parser.Line) int { return a.At.Compare(b.At) })
	return newDay(lines, step), nil
}

// newDay computes all measures for the lines of each step. lines must be sorted by time.
func newDay(lines []parser.Line, step time.Duration) Day {
	length := lines[len(lines)-1].At.Sub(lines[0].At)
	if step <= 0 || length/step >= 10*maxSteps {
		step = max((length / maxSteps).Round(time.Second), time.Second)
	}
	day := Day{Start: lines[0].At.Truncate(step), Step: step}
	for end := day.Start.Add(step); len(lines) > 0; end = end.Add(step) {
		n := slices.IndexFunc(lines, func(l parser.Line) bool { return !l.At.Before(end) })
		if n < 0 {
			n = len(lines)
		}
		row := make([]float64, 0, len(Measures))
		for _, m := range Measures {
			row = append(row, m.compute(lines[:n]))
		}
		day.Rows = append(day.Rows, row)
		lines = lines[n:]
	}
	return day
}

// startOf returns the start time of a row.
func (d Day) startOf(row int) time.Time { return d.Start.Add(time.Duration(row) * d.Step) }
