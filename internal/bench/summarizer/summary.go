// Package summarizer computes the statistics of load runs from their samples and writes them as tables and plots.
package summarizer

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"damaskpick.example/damaskpick/internal/bench/requester"
	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Summary is the result of a run.
type Summary struct {
	Name string
	// Classes has one entry for each length class that occurred, shortest first.
	Classes []Class
	// TokensPerSecond is the number of delivered tokens divided by the planned duration.
	TokensPerSecond float64
	// MaxLate is the maximum delay of the load tool itself in sending a request.
	MaxLate time.Duration
	// Seconds has one entry for each second of the run.
	Seconds []Second
}

// Class summarizes the requests of one length class.
type Class struct {
	Class     string
	Requests  int
	Completed int
	// Refused, Cut and Failed are numbers of requests by code.
	Refused    map[string]int
	Cut        map[string]int
	Failed     map[string]int
	FirstToken Percentiles
	Gap        Percentiles
}

// Percentiles of a duration; all are zero without samples.
type Percentiles struct{ P50, P95, P99 time.Duration }

// Second summarizes the requests that arrived in one second.
type Second struct {
	Requests, Completed, Refused, Lost int
	// FirstTokenP95 is computed over short requests only.
	FirstTokenP95 time.Duration
}

// Summarize computes the statistics of a run.
func Summarize(name string, samples []requester.Sample, duration time.Duration) Summary {
	s := Summary{Name: name, Seconds: make([]Second, int(duration/time.Second)+1)}
	tokens := 0
	for _, sample := range samples {
		tokens += sample.Tokens
		s.MaxLate = max(s.MaxLate, sample.Late)
	}
	s.TokensPerSecond = float64(tokens) / duration.Seconds()
	for class := modeler.Short; class <= modeler.Huge; class++ {
		classSamples := slices.DeleteFunc(slices.Clone(samples), func(x requester.Sample) bool { return x.Arrival.Class() != class })
		if len(classSamples) > 0 {
			s.Classes = append(s.Classes, summarizeClass(class, classSamples))
		}
	}
	s.fillSeconds(samples)
	return s
}

func summarizeClass(class modeler.LengthClass, samples []requester.Sample) Class {
	c := Class{
		Class: class.String(), Requests: len(samples),
		Refused: map[string]int{}, Cut: map[string]int{}, Failed: map[string]int{},
	}
	var first, gaps []time.Duration
	for _, s := range samples {
		switch s.Outcome {
		case requester.Completed:
			c.Completed++
		case requester.Refused:
			c.Refused[s.Code]++
		case requester.Cut:
			c.Cut[s.Code]++
		case requester.Failed:
			c.Failed[s.Code]++
		}
		if s.Tokens > 0 {
			first = append(first, s.FirstToken)
			gaps = append(gaps, s.Gaps...)
		}
	}
	c.FirstToken, c.Gap = percentiles(first), percentiles(gaps)
	return c
}

func percentiles(values []time.Duration) Percentiles {
	slices.Sort(values)
	return Percentiles{P50: quantile(values, 0.5), P95: quantile(values, 0.95), P99: quantile(values, 0.99)}
}

// quantile returns the q-quantile of sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (s *Summary) fillSeconds(samples []requester.Sample) {
	first := make([][]time.Duration, len(s.Seconds))
	for _, sample := range samples {
		i := min(int(sample.Arrival.At/time.Second), len(s.Seconds)-1)
		second := &s.Seconds[i]
		second.Requests++
		switch sample.Outcome {
		case requester.Completed:
			second.Completed++
		case requester.Refused:
			second.Refused++
		default:
			second.Lost++
		}
		if sample.Tokens > 0 && sample.Arrival.Class() == modeler.Short {
			first[i] = append(first[i], sample.FirstToken)
		}
	}
	for i := range first {
		s.Seconds[i].FirstTokenP95 = percentiles(first[i]).P95
	}
}

// Of returns the statistics of a class, or the zero value when the class did not occur.
func (s Summary) Of(class modeler.LengthClass) Class {
	for _, c := range s.Classes {
		if c.Class == class.String() {
			return c
		}
	}
	return Class{}
}

// WriteTable writes a text table with one row for each length class of each run.
func WriteTable(w io.Writer, runs []Summary) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Run\tClass\tRequests\tCompleted\tRefused\tCut\tFailed\tFirst p50\tp95\tp99\tGap p95\t")
	for _, run := range runs {
		for _, c := range run.Classes {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", run.Name, c.Class, c.Requests, c.Completed,
				total(c.Refused), total(c.Cut), total(c.Failed), rounded(c.FirstToken.P50), rounded(c.FirstToken.P95),
				rounded(c.FirstToken.P99), rounded(c.Gap.P95))
		}
	}
	return table.Flush()
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
