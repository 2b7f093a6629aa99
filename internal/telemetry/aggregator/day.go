// Package aggregator sums up the logs of all nodes over a day: what users got, step by step, beside what the fleet met.
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
	// lineLimit bounds one line of a log.
	lineLimit = 1 << 20
	// maxSteps bounds the rows of a day, so that a table fits a screen and a picture stays readable.
	maxSteps = 60
)

// ErrNoRequests says that the logs hold no end of a request.
var ErrNoRequests = errors.New("no line says how a request ended")

// Day is a table: a row for each step of time and a column for each measure. It must not be changed.
type Day struct {
	Start time.Time
	Step  time.Duration
	// Rows hold the values of all measures in the order of Measures.
	Rows [][]float64
}

// Measure is a column of a day.
type Measure struct {
	// Name heads the column. Times are in milliseconds.
	Name string
	// of works the value out from the lines of one step.
	of func(lines []parser.Line) float64
}

// Length classes of prompts, by their largest number of tokens: the same engine reads the first in some 0.1 s, the second in 1 s.
const (
	shortPrompt  = 16_000
	mediumPrompt = 100_000
)

// Measures are the columns of each day.
var Measures = []Measure{
	{"DELIVERED", count(ended("Delivered"))},
	{"LATE", count(func(l parser.Line) bool {
		return l.Message == string(modeler.NoteRequestEnded) && l.Get("Late") == "true"
	})},
	{"REFUSED", count(ended("Refused"))},
	{"UNKNOWN", count(ended("Unknown", "TimedOut"))},
	{"BROKEN", count(ended("Interrupted"))},
	{"LEFT", count(ended("Left"))},
	{"SERVICE P95", first(0, 0)},
	{"SHORT P95", first(1, shortPrompt)},
	{"MEDIUM P95", first(shortPrompt+1, mediumPrompt)},
	{"LONG P95", first(mediumPrompt+1, 1<<62)},
	{"REPEATS", count(message(modeler.NoteAttemptRepeated))},
	{"JUDGED", count(message(modeler.NoteEndpointJudged))},
	{"COORDINATOR", count(message(modeler.NoteCoordinatorChanged))},
	{"STORE LOST", count(message(modeler.NoteStoreLost))},
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

func message(name modeler.NoteName) func(parser.Line) bool {
	return func(l parser.Line) bool { return l.Message == string(name) }
}

func ended(statuses ...string) func(parser.Line) bool {
	return func(l parser.Line) bool {
		return l.Message == string(modeler.NoteRequestEnded) && slices.Contains(statuses, l.Get("Status"))
	}
}

func count(holds func(parser.Line) bool) func([]parser.Line) float64 {
	return func(lines []parser.Line) float64 {
		sum := 0.0
		for _, l := range lines {
			if holds(l) {
				sum++
			}
		}
		return sum
	}
}

// first returns the time within which 95 in 100 requests of a length class had their first event, or 0 without any. Nodes write all lines of
// late requests and a bounded number of others, so that it is an upper bound once lines were dropped.
func first(least, most float64) func([]parser.Line) float64 {
	const share = 0.95
	return func(lines []parser.Line) float64 {
		var times []float64
		for _, l := range lines {
			prompt := l.Number("Prompt")
			if l.Message == string(modeler.NoteRequestEnded) && prompt >= least && prompt <= most && l.Number("First") > 0 {
				times = append(times, l.Number("First"))
			}
		}
		if len(times) == 0 {
			return 0
		}
		slices.Sort(times)
		return times[min(int(share*float64(len(times))), len(times)-1)]
	}
}

// Read sums up logs. A step of zero is chosen so that the day has about as many rows as fit a screen.
func Read(in io.Reader, step time.Duration) (Day, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineLimit)
	var lines []parser.Line
	requests := false
	for scanner.Scan() {
		if l, ok := parser.Parse(scanner.Text()); ok {
			lines = append(lines, l)
			requests = requests || l.Message == string(modeler.NoteRequestEnded)
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

// newDay runs all measures over the lines of each step. lines are in order.
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
			row = append(row, m.of(lines[:n]))
		}
		day.Rows = append(day.Rows, row)
		lines = lines[n:]
	}
	return day
}

// at is the start of a row.
func (d Day) at(row int) time.Time { return d.Start.Add(time.Duration(row) * d.Step) }
