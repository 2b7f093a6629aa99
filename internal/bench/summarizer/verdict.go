package summarizer

import (
	"fmt"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Bounds of the performance target.
const (
	// FirstTokenBound and GapBound are the bounds for short prompts at p95.
	FirstTokenBound = 620 * time.Millisecond
	GapBound        = 36 * time.Millisecond
	// SlowdownBound is the maximum ratio of the p95 first token time of short prompts in a run with long prompts to that without them.
	SlowdownBound = 1.3
)

// baselineName is the name of the run without long prompts to which slowdowns are relative.
const baselineName = "ShortAlone"

// Verdicts compares the short requests of each run with the bounds and returns one line per run.
func Verdicts(runs []Summary) []string {
	var baseline time.Duration
	for _, run := range runs {
		if run.Name == baselineName {
			baseline = run.Of(modeler.Short).FirstToken.P95
		}
	}
	lines := make([]string, 0, len(runs))
	for _, run := range runs {
		short := run.Of(modeler.Short)
		line := fmt.Sprintf("Run=%s FirstTokenP95=%s %s GapP95=%s %s Lost=%d %s", run.Name,
			rounded(short.FirstToken.P95), verdict(short.FirstToken.P95 <= FirstTokenBound),
			rounded(short.Gap.P95), verdict(short.Gap.P95 <= GapBound), run.lost(), verdict(run.lost() == 0))
		if baseline > 0 && run.Name != baselineName {
			slowdown := float64(short.FirstToken.P95) / float64(baseline)
			line += fmt.Sprintf(" Slowdown=%.2f %s", slowdown, verdict(slowdown <= SlowdownBound))
		}
		lines = append(lines, line)
	}
	return lines
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "MISSED"
}

// lost returns the number of requests that were cut or failed. Refused requests don't count.
func (s Summary) lost() int {
	sum := 0
	for _, c := range s.Classes {
		sum += total(c.Cut) + total(c.Failed)
	}
	return sum
}
