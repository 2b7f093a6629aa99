package summarizer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/bench/generator"
	"damaskpick.example/damaskpick/internal/bench/requester"
	"damaskpick.example/damaskpick/internal/control/modeler"
)

// TestSummarize guards against statistics that count a cut or refused request as completed, or mix length classes.
func TestSummarize(t *testing.T) {
	short := generator.Arrival{Prompt: 1_000, At: 500 * time.Millisecond}
	huge := generator.Arrival{Prompt: 200_000, At: 1500 * time.Millisecond}
	cases := []struct {
		name   string
		sample requester.Sample
		want   Class
	}{
		{"completed", requester.Sample{Arrival: short, Outcome: requester.Completed, Tokens: 1, FirstToken: time.Second}, Class{Completed: 1}},
		{"refused", requester.Sample{Arrival: short, Outcome: requester.Refused, Code: "Overloaded"}, Class{Refused: map[string]int{"Overloaded": 1}}},
		{"cut", requester.Sample{Arrival: huge, Outcome: requester.Cut, Code: "NoEndMark", Tokens: 2}, Class{Cut: map[string]int{"NoEndMark": 1}}},
		{"failed", requester.Sample{Arrival: huge, Outcome: requester.Failed, Code: "NoAnswer"}, Class{Failed: map[string]int{"NoAnswer": 1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Summarize("run", []requester.Sample{c.sample}, 2*time.Second)
			got := s.Of(c.sample.Arrival.Class())
			assert.Equal(t, got.Requests, 1)
			assert.Equal(t, got.Completed, c.want.Completed)
			assert.Equal(t, total(got.Refused), total(c.want.Refused))
			assert.Equal(t, total(got.Cut), total(c.want.Cut))
			assert.Equal(t, total(got.Failed), total(c.want.Failed))
			assert.Equal(t, got.FirstToken.P95, c.sample.FirstToken)
			assert.Equal(t, s.Of(modeler.Medium).Requests, 0)
		})
	}
}
