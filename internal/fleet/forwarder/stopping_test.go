package forwarder_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// TestCancelled guards against an endpoint that keeps working for a request that has ended, and against a request that its own node cut off
// and that is reported as one whose caller disconnected.
func TestCancelled(t *testing.T) {
	tests := []struct {
		name  string
		cause error
		want  forwarder.Status
	}{
		{"caller disconnects", nil, forwarder.Left},
		{"node stops", forwarder.ErrStopping, forwarder.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 100)
			f.first.SetFault(platformtest.EndpointFault{Silent: true})
			ctx, cancel := context.WithCancelCause(t.Context())
			done := make(chan forwarder.Result, 1)
			go func() { done <- f.forward.Serve(ctx, call(modeler.Unsafe, "/book/1"), &sink{}) }()
			waitFor(t, func() bool { return len(f.first.Runs()) == 1 })
			cancel(tt.cause)
			assert.Equal(t, (<-done).Status, tt.want)
			waitFor(t, func() bool { return !f.first.Runs()[0].DisconnectedAt.IsZero() })
		})
	}
}

// TestStopping guards against a stopping node that leaves a caller without an answer, promises that a request has not run although it may have,
// or completes a stream that it has cut off.
func TestStopping(t *testing.T) {
	tests := []struct {
		name         string
		kind         modeler.Kind
		path         string
		fault        platformtest.EndpointFault
		secondSilent bool
		// runs is the number of runs after which the node stops.
		runs int
		want forwarder.Status
		body string
	}{
		{"call that runs", modeler.Unsafe, "/book/1", platformtest.EndpointFault{Silent: true}, false, 1, forwarder.Unknown, ""},
		{"stream without an event", modeler.Stream, "/stream/1", platformtest.EndpointFault{Silent: true}, false, 1, forwarder.Unknown, ""},
		{
			"stream that has begun", modeler.Stream, "/stream/1", platformtest.EndpointFault{StallAfter: 2, Stall: time.Minute}, false, 1, forwarder.Stopped,
			events(2),
		},
		{"failure that was kept", modeler.Safe, "/stock/1", platformtest.EndpointFault{Status: 500}, true, 2, forwarder.Delivered, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 100)
			f.first.SetFault(tt.fault)
			f.second.SetFault(platformtest.EndpointFault{Silent: tt.secondSilent})
			ctx, cancel := context.WithCancelCause(t.Context())
			s := &sink{}
			done := make(chan forwarder.Result, 1)
			go func() { done <- f.forward.Serve(ctx, call(tt.kind, tt.path), s) }()
			waitFor(t, func() bool {
				return len(f.first.Runs())+len(f.second.Runs()) == tt.runs && s.written.Load() == int64(len(tt.body))
			})
			cancel(forwarder.ErrStopping)
			assert.Equal(t, (<-done).Status, tt.want)
			assert.Equal(t, s.body.String(), tt.body)
		})
	}
}

// TestStoppingUnplaced guards against a stopping node that leaves the caller of a request that was never placed without an answer.
func TestStoppingUnplaced(t *testing.T) {
	f := newFixture(t, 100)
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(forwarder.ErrStopping)
	result := f.forward.Serve(ctx, call(modeler.Unsafe, "/book/1"), &sink{})
	assert.Equal(t, result.Status, forwarder.Refused)
	assert.Equal(t, result.Reason, modeler.ReasonLeaving)
	assert.Equal(t, len(f.first.Runs()), 0)
}
