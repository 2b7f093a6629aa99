package forwarder_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/forwarder"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/platform/platformtest"
)

// TestResumeWaits guards against a stream that is given up because no engine was free at once, and against a question without end for a place
// that cannot be given.
func TestResumeWaits(t *testing.T) {
	tests := []struct {
		name     string
		refusals int
		reason   modeler.RefusalReason
		status   forwarder.Status
		asked    int
	}{
		{"free later", 2, modeler.ReasonOverloaded, forwarder.Delivered, 4},
		{"none in service at first", 1, modeler.ReasonNoEndpoint, forwarder.Delivered, 3},
		{"quarantined", 1, modeler.ReasonQuarantined, forwarder.Interrupted, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, 100)
			b.first.SetFault(platformtest.EndpointFault{CutAfter: 2})
			b.control.refusals, b.control.refusal = tt.refusals, modeler.Decision{Reason: tt.reason}
			began := time.Now()
			c := call(modeler.Stream, "/stream/1")
			result := b.forward.Serve(t.Context(), c, &sink{})
			assert.Equal(t, result.Status, tt.status)
			assert.Equal(t, len(b.control.requests), tt.asked)
			assert.Equal(t, b.control.requests[0].Arrived, c.Arrived)
			rest := b.control.requests[1]
			assert.Assert(t, !rest.Arrived.Before(began) && rest.Due.Sub(rest.Arrived) == c.Route.Target, "the rest is due from the loss on")
		})
	}
}

// closedAddress returns an address where nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

// TestUnreachableIsFree guards against a budget that is used up by attempts that reached no endpoint.
func TestUnreachableIsFree(t *testing.T) {
	// One repeat for one request: 0.8 x 0.2 + 0.5 x 2 with one node.
	const oneRepeat = 2
	b := newBed(t, oneRepeat)
	b.control.endpoints = slices.Insert(b.control.endpoints, 1, modeler.Endpoint{ID: "gone", Address: closedAddress(t)})
	b.first.SetFault(platformtest.EndpointFault{CutAfter: 2})
	s := &sink{}
	result := b.forward.Serve(t.Context(), call(modeler.Stream, "/stream/1"), s)
	assert.Equal(t, result.Status, forwarder.Delivered)
	assert.Equal(t, s.body.String(), events(6))
	assert.DeepEqual(t, b.control.outcomes, []modeler.Outcome{modeler.Broken, modeler.Unreachable, modeler.Answered})
}

// late places a request after its caller has left.
type late struct{ *control }

func (l late) Place(ctx context.Context, request modeler.Request) (modeler.Decision, error) {
	timer := time.NewTimer(time.Until(request.Deadline) + 50*time.Millisecond)
	defer timer.Stop()
	<-timer.C
	return l.control.Place(ctx, request)
}

// TestLatePlace guards against a request that is sent for a caller which has left: the coordinator of a very large fleet answered too late.
func TestLatePlace(t *testing.T) {
	b := newBed(t, 100)
	b.forward.Control = late{b.control}
	c := call(modeler.Stream, "/stream/1")
	c.Route.Timeout = 6 * time.Second
	result := b.forward.Serve(t.Context(), c, &sink{})
	assert.Equal(t, result.Status, forwarder.Refused)
	assert.Equal(t, len(b.first.Runs()), 0)
	assert.DeepEqual(t, b.control.outcomes, []modeler.Outcome{modeler.Abandoned})
}

// TestManyUnreachable guards against a request that is refused because several endpoints in a row are dark, though others run.
func TestManyUnreachable(t *testing.T) {
	b := newBed(t, 0)
	gone := closedAddress(t)
	for _, id := range []modeler.EndpointID{"g1", "g2", "g3", "g4", "g5"} {
		b.control.endpoints = slices.Insert(b.control.endpoints, 0, modeler.Endpoint{ID: id, Address: gone})
	}
	result := b.forward.Serve(t.Context(), call(modeler.Unsafe, "/book/1"), &sink{})
	assert.Equal(t, result.Status, forwarder.Delivered)
	assert.Equal(t, result.Attempts, 6)
	assert.Equal(t, len(b.first.Runs()), 1)
}
