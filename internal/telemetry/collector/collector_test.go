package collector

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/telemetry/reporter"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// TestObjectives guards against errors of callers that use up the error budget, and against failures of the service that do not.
func TestObjectives(t *testing.T) {
	none, met, missed := reporter.Count{}, reporter.Count{Good: 1, Total: 1}, reporter.Count{Total: 1}
	for _, c := range []struct {
		name               string
		summary            forwarder.Summary
		firstToken, answer reporter.Count
	}{
		{"complete in time", forwarder.Summary{FirstToken: 600 * time.Millisecond}, met, met},
		{"late first token", forwarder.Summary{FirstToken: 700 * time.Millisecond}, missed, met},
		{"long prompt in time", forwarder.Summary{Class: modeler.Long, FirstToken: 8 * time.Second}, met, met},
		{"failed after the first token", forwarder.Summary{FirstToken: time.Millisecond, Code: modeler.CodeEndpointFailed}, met, missed},
		{"overloaded", forwarder.Summary{Code: modeler.CodeOverloaded}, missed, missed},
		{"over its share", forwarder.Summary{Code: modeler.CodeShareExhausted}, none, none},
		{"unknown model", forwarder.Summary{Code: modeler.CodeUnknownModel}, none, none},
		{"caller left at once", forwarder.Summary{Code: forwarder.CodeCallerGone, Duration: time.Millisecond}, none, none},
		{"caller left after waiting", forwarder.Summary{Code: forwarder.CodeCallerGone, Duration: time.Second}, missed, none},
		{"empty answer", forwarder.Summary{Duration: time.Millisecond}, met, met},
		{"call", forwarder.Summary{Kind: modeler.Service}, none, met},
		{"call with unknown outcome", forwarder.Summary{Kind: modeler.Service, Code: modeler.CodeOutcomeUnknown}, none, missed},
	} {
		t.Run(c.name, func(t *testing.T) {
			collector := New(Options{})
			collector.Ended(c.summary)
			got := map[string]reporter.Count{}
			for _, counted := range collector.Counts() {
				got[counted.Objective] = counted.Count
			}
			assert.Equal(t, got[FirstToken], c.firstToken)
			assert.Equal(t, got[Answer], c.answer)
		})
	}
}

// TestMetrics guards against changed metric names, which dashboards would no longer find, against labels with values of single requests, and
// against memory use that grows with the number of members.
func TestMetrics(t *testing.T) {
	collector := New(Options{MaxMembers: 2, Snapshot: func() *modeler.Snapshot { return &modeler.Snapshot{Queued: 3, Fenced: true} }})
	collector.FirstToken(modeler.Short, time.Second)
	collector.TokenGap(modeler.Huge, 36*time.Millisecond)
	collector.Refused("InvalidJSON")
	for i := range 100 {
		collector.Ended(forwarder.Summary{
			Request: modeler.RequestID(fmt.Sprint("request-", i)), Member: modeler.MemberID(fmt.Sprintf("m\"%d", i)),
			FirstToken: time.Millisecond, Delivered: 2, Attempts: 1,
		})
	}
	recorder := httptest.NewRecorder()
	collector.ServeHTTP(recorder, nil)
	text := recorder.Body.String()
	for _, c := range []struct {
		line    string
		present bool
	}{
		{`damaskpick_first_token_seconds_count{class="Short"} 1`, true},
		{`damaskpick_token_gap_seconds_bucket{class="Huge",le="0.036"} 1`, true},
		{`damaskpick_requests_total{class="Short",outcome="Complete",code=""} 100`, true},
		{`damaskpick_invalid_requests_total{code="InvalidJSON"} 1`, true},
		{`damaskpick_objective_good_total{member="m\"1",class="Short",objective="Answer"} 1`, true},
		{`damaskpick_objective_events_total{member="_other",class="Short",objective="Answer"} 98`, true},
		{`damaskpick_delivered_tokens_total 200`, true},
		{`damaskpick_requests_queued 3`, true},
		{`damaskpick_node_fenced 1`, true},
		{`process_resident_memory_bytes`, true},
		{`request-1`, false},
		{`m\"2`, false},
	} {
		assert.Equal(t, strings.Contains(text, c.line), c.present, c.line)
	}
}

// BenchmarkTokenGap measures the cost of recording one token.
func BenchmarkTokenGap(b *testing.B) {
	collector := New(Options{})
	for b.Loop() {
		collector.TokenGap(modeler.Short, 30*time.Millisecond)
	}
}
