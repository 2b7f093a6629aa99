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

// TestPace guards against an engine that counts as slow because it is only loaded, against one that is found slow too late, and against one that
// is avoided long after it has recovered.
func TestPace(t *testing.T) {
	now := time.Unix(1000, 0)
	type sample struct{ value, share float64 }
	tests := []struct {
		name    string
		samples []sample
		after   time.Duration
		// least and most bound the pace.
		least, most float64
	}{
		{"unknown", nil, 0, 1, 1},
		{"in time", []sample{{1.1, 1}}, 0, 1, 1},
		{"only loaded", []sample{{2, 1}, {2.5, 1}}, 0, 1, 1},
		{"slow", []sample{{6, 1}}, 0, 4, 6},
		{"a third of the blame", []sample{{6, 1.0 / 3}}, 0, 1.4, 2},
		{"slow again", []sample{{6, 1}, {6, 1}}, 0, 5, 6},
		{"fast after slow", []sample{{6, 1}, {1, 1}}, 0, 1, 1.6},
		{"a sample that is not as slow", []sample{{10, 1}, {4, 1}}, 0, 6, 10},
		{"endless", []sample{{1e9, 1}}, 0, 8, 16},
		{"recovers unseen", []sample{{6, 1}}, 9 * time.Second, 1, 1.25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var h modeler.Health
			for _, s := range tt.samples {
				h = h.WithPace(now, s.value, s.share)
			}
			pace := h.Pace(now.Add(tt.after))
			assert.Assert(t, pace >= tt.least && pace <= tt.most, "%v", pace)
		})
	}
}

// TestTakeChangedEndpoints guards against loads that stay as they were after an assignment has changed.
func TestTakeChangedEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	a := modeler.Assignment{
		Request: modeler.Request{ID: "r", Node: "n"},
		Plan:    modeler.Plan{Endpoint: modeler.Endpoint{ID: "e1"}, Helpers: []modeler.Endpoint{{ID: "e2"}}, PartPrefill: time.Second},
	}
	tests := []struct {
		name   string
		change func(w *modeler.World)
		want   []modeler.EndpointID
		// frees is set if the change frees capacity.
		frees bool
	}{
		{"nothing", func(*modeler.World) {}, nil, false},
		{"assigned", func(w *modeler.World) {
			w.Assign(modeler.Assignment{Request: modeler.Request{ID: "new"}, Plan: a.Plan})
		}, []modeler.EndpointID{"e1", "e2"}, false},
		{"first event", func(w *modeler.World) { w.Assign(a.WithFirstEvent(now)) }, []modeler.EndpointID{"e1", "e2"}, true},
		{"ended", func(w *modeler.World) { w.Unassign("r") }, []modeler.EndpointID{"e1", "e2"}, true},
		{"prefill", func(w *modeler.World) { w.PrefillEnd.Put("e3", now) }, []modeler.EndpointID{"e3"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := modeler.NewWorld(modeler.Node{ID: "n"})
			w.Assign(a)
			w.TakeChangedEndpoints(func(modeler.EndpointID) {})
			releases := w.Releases
			tt.change(w)
			changed := map[modeler.EndpointID]bool{}
			w.TakeChangedEndpoints(func(id modeler.EndpointID) { changed[id] = true })
			assert.Equal(t, len(changed), len(tt.want))
			for _, id := range tt.want {
				assert.Assert(t, changed[id], "%s", id)
			}
			assert.Equal(t, w.Releases != releases, tt.frees)
		})
	}
}
