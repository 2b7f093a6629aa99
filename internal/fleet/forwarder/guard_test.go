package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
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

// endRecorder is a control that records the ids of the attempts that ended.
type endRecorder struct {
	*control
	ended chan modeler.RequestID
}

func (c endRecorder) Post(event modeler.Event) {
	if ended, ok := event.(modeler.AttemptEnded); ok {
		c.ended <- ended.ID
	}
}

// searchingSink is a sink whose second write returns only once the guard has found a replacement. It then calls after.
type searchingSink struct {
	sink
	writes int
	found  func()
	after  func()
}

func (s *searchingSink) Write(data []byte) (int, error) {
	if s.writes++; s.writes == 2 {
		s.found()
		s.after()
	}
	return s.sink.Write(data)
}

// TestUnusedReplacement guards against a placement that the guard found and that is neither used nor released: it would take up the engine in the
// control state until the node stops.
func TestUnusedReplacement(t *testing.T) {
	tests := []struct {
		name         string
		disconnected bool
		status       forwarder.Status
	}{
		{"the stream ends after all", false, forwarder.Delivered},
		{"the caller has disconnected", true, forwarder.Left},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 100)
			// The comment and the end of the stream arrive together, so that both are read before the guard closes the connection.
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Response-Signature", "e1")
				_, _ = fmt.Fprint(w, platformtest.Event(1))
				_ = http.NewResponseController(w).Flush()
				_, _ = fmt.Fprint(w, ": waiting\n\n")
				if tt.disconnected {
					_ = http.NewResponseController(w).Flush()
					<-r.Context().Done()
				}
			}))
			t.Cleanup(engine.Close)
			f.control.endpoints[0].Address = engine.Listener.Addr().String()
			ended := make(chan modeler.RequestID, 10)
			f.forward.Control = endRecorder{f.control, ended}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &searchingSink{found: func() { waitFor(t, func() bool { return f.forward.Budget.Retries() == 1 }) }, after: func() {
				if tt.disconnected {
					cancel()
				}
			}}
			c := call(modeler.Stream, "/stream/1")
			c.Route.Timeout = 6 * time.Second
			assert.Equal(t, f.forward.Serve(ctx, c, s).Status, tt.status)
			close(ended)
			open := map[modeler.RequestID]bool{}
			for _, request := range f.control.requests {
				open[request.ID] = true
			}
			assert.Equal(t, len(open), 2)
			for id := range ended {
				delete(open, id)
			}
			assert.Equal(t, len(open), 0, "%v", open)
		})
	}
}
