package forwarder_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// TestSilentStreamIsRetried guards against ending a stream whose engine is silent although its caller still waits and another engine is free.
// The route's target time is so long that the guard aborts the connection before targetFactor times that time has passed.
func TestSilentStreamIsRetried(t *testing.T) {
	f := newFixture(t, 100)
	f.first.SetFault(platformtest.EndpointFault{Silent: true})
	c := call(modeler.Stream, "/stream/1")
	c.Route.Target, c.Route.Timeout = 1200*time.Millisecond, 6*time.Second
	s := &sink{}
	result := f.forward.Serve(t.Context(), c, s)
	assert.Equal(t, result.Status, forwarder.Delivered)
	assert.Equal(t, s.body.String(), events(6))
	assert.DeepEqual(t, f.control.outcomes, []modeler.Outcome{modeler.Silent, modeler.Answered})
}

// TestPausedStreamWaitsForPlacement guards against aborting a paused stream on a slow engine before another placement exists: this ended
// dozens of streams when all engines were loaded.
func TestPausedStreamWaitsForPlacement(t *testing.T) {
	tests := []struct {
		name  string
		stall time.Duration
		spare bool
		runs  [2]int
	}{
		{"no other endpoint", 1700 * time.Millisecond, false, [2]int{1, 0}},
		{"another endpoint", 3 * time.Second, true, [2]int{1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 100)
			f.first.SetFault(platformtest.EndpointFault{StallAfter: 2, Stall: tt.stall})
			if !tt.spare {
				f.control.endpoints = f.control.endpoints[:1]
			}
			c := call(modeler.Stream, "/stream/1")
			c.Route.Timeout = 6 * time.Second
			s := &sink{}
			result := f.forward.Serve(t.Context(), c, s)
			assert.Equal(t, result.Status, forwarder.Delivered)
			assert.Equal(t, s.body.String(), events(6))
			assert.DeepEqual(t, [2]int{len(f.first.Runs()), len(f.second.Runs())}, tt.runs)
			assert.Assert(t, result.Pause >= 1400*time.Millisecond && result.Pause < 2*time.Second, "%v", result.Pause)
		})
	}
}
