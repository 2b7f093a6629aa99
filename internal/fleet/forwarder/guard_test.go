package forwarder_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// TestSilentStreamGoesOn guards against a stream whose engine fell silent that is given up, although its caller waits and another engine is
// free: its objective is long, so that the time-out comes before two and a half objectives have passed.
func TestSilentStreamGoesOn(t *testing.T) {
	b := newBed(t, 100)
	b.first.SetFault(platformtest.EndpointFault{Silent: true})
	c := call(modeler.Stream, "/stream/1")
	c.Route.Target, c.Route.Timeout = 1200*time.Millisecond, 6*time.Second
	s := &sink{}
	result := b.forward.Serve(t.Context(), c, s)
	assert.Equal(t, result.Status, forwarder.Delivered)
	assert.Equal(t, s.body.String(), events(6))
	assert.DeepEqual(t, b.control.outcomes, []modeler.Outcome{modeler.Silent, modeler.Answered})
}

// TestPausedStreamKeepsItsEngine guards against a stream that loses its engine, which is slow, for a place that does not exist: on an
// unseen site dozens of streams of loaded engines ended so.
func TestPausedStreamKeepsItsEngine(t *testing.T) {
	tests := []struct {
		name  string
		stall time.Duration
		place bool
		runs  [2]int
	}{
		{"no place", 1700 * time.Millisecond, false, [2]int{1, 0}},
		{"a place", 3 * time.Second, true, [2]int{1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, 100)
			b.first.SetFault(platformtest.EndpointFault{StallAfter: 2, Stall: tt.stall})
			if !tt.place {
				b.control.endpoints = b.control.endpoints[:1]
			}
			c := call(modeler.Stream, "/stream/1")
			c.Route.Timeout = 6 * time.Second
			s := &sink{}
			result := b.forward.Serve(t.Context(), c, s)
			assert.Equal(t, result.Status, forwarder.Delivered)
			assert.Equal(t, s.body.String(), events(6))
			assert.DeepEqual(t, [2]int{len(b.first.Runs()), len(b.second.Runs())}, tt.runs)
			assert.Assert(t, result.Pause >= 1400*time.Millisecond && result.Pause < 2*time.Second, "%v", result.Pause)
		})
	}
}
