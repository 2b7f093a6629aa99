package modeler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// TestRoute guards against a request that gets the wrong route: one with a shorter prefix, of another host, or with a prefix that ends inside
// a path segment.
func TestRoute(t *testing.T) {
	routes := []modeler.Route{
		{Name: "a", Host: "h1", Prefix: "/a/"}, {Name: "ab", Host: "h1", Prefix: "/a/b/"},
		{Name: "root", Host: "h2", Prefix: "/"}, {Name: "a2", Host: "h2", Prefix: "/a/"},
	}
	c := modeler.NewConfiguration(1, routes, nil, nil, modeler.Limits{})
	tests := []struct{ host, path, want string }{
		{"h1", "/a/x", "a"}, {"h1", "/a/", "a"}, {"h1", "/a/b/", "ab"}, {"h1", "/a/b/c/d", "ab"}, {"h1", "/a/bc", "a"},
		{"h1", "/a", ""}, {"h1", "/b/", ""}, {"h1", "", ""}, {"h3", "/a/", ""}, {"h2", "/b/c", "root"}, {"h2", "/a/b/", "a2"}, {"h2", "/", "root"},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			route, ok := c.Route(tt.host, tt.path)
			assert.Equal(t, route.Name, tt.want)
			assert.Equal(t, ok, tt.want != "")
		})
	}
}

// TestPick guards against services that receive a fraction of the requests that does not match their weight.
func TestPick(t *testing.T) {
	route := modeler.Route{Backends: []modeler.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	tests := []struct {
		random float64
		want   modeler.ServiceID
	}{{0, "a"}, {0.89, "a"}, {0.9, "b"}, {0.999999, "b"}, {1, "b"}}
	for _, tt := range tests {
		assert.Equal(t, route.Pick(tt.random), tt.want, "%v", tt.random)
	}
}

// TestPrefillTime guards against a prefill time in the wrong unit. The figures are those of the production engines.
func TestPrefillTime(t *testing.T) {
	profile := modeler.EngineProfile{PrefillRate: 154_000, PerMillionPairs: 162 * time.Microsecond, Chunk: 2048, Step: 1310 * time.Microsecond}
	tests := []struct {
		prompt modeler.Tokens
		want   time.Duration
	}{{0, 0}, {5_000, 37 * time.Millisecond}, {45_000, 485 * time.Millisecond}, {182_000, 3981 * time.Millisecond}}
	for _, tt := range tests {
		got := profile.PrefillTime(tt.prompt)
		assert.Assert(t, (got-tt.want).Abs() < 2*time.Millisecond, "%d tokens: %v, want %v", tt.prompt, got, tt.want)
	}
}

// TestHealth guards against a back-off that has no upper bound or does not end after a response, and a failure rate that does not decay.
func TestHealth(t *testing.T) {
	now := time.Unix(1000, 0)
	var h modeler.Health
	backoffs := []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second}
	for _, want := range backoffs {
		h = h.WithNoResponse(now)
		assert.Equal(t, h.AvoidUntil.Sub(now), want)
	}
	rate := h.FailureRate(now)
	assert.Assert(t, rate > 0.4)
	assert.Assert(t, h.FailureRate(now.Add(3*time.Second)) < rate*0.51)
	h = h.WithSuccess(now)
	assert.Assert(t, h.AvoidUntil.IsZero() && h.Failures == 0)
	assert.Assert(t, h.FailureRate(now) < rate)
}

// TestAssignments guards against prefill time that remains in PrefillEnd after the request has ended, and against stale index entries.
func TestAssignments(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := []modeler.Endpoint{{ID: "e1"}, {ID: "e2"}}
	assignment := func(id modeler.RequestID) modeler.Assignment {
		return modeler.Assignment{
			Request: modeler.Request{ID: id, Node: "n"},
			Plan:    modeler.Plan{Endpoint: engines[0], Helpers: engines[1:], PartPrefill: time.Second},
		}
	}
	w := modeler.NewWorld(modeler.Node{ID: "n"})
	w.Assign(assignment("a"))
	w.Assign(assignment("b"))
	for _, e := range engines {
		w.PrefillEnd.Put(e.ID, now.Add(2*time.Second))
	}
	w.Unassign("a")
	end, _ := w.PrefillEnd.Get("e2")
	assert.Equal(t, end, now.Add(time.Second))
	w.Assign(assignment("b").WithFirstEvent(now))
	assert.Equal(t, w.ByEndpoint.Len("e2"), 0, "helper is still assigned after the first event")
	assert.Assert(t, !w.HasPrefill("e1"))
	w.Unassign("b")
	w.Unassign("b")
	assert.Equal(t, w.ByEndpoint.Len("e1")+w.ByNode.Len("n")+w.Assignments.Len(), 0)
}
