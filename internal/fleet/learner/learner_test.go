package learner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/estimator"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

var start = time.Unix(1_000_000, 0)

func newWorld(self modeler.NodeID) *modeler.World {
	w := modeler.NewWorld(modeler.Node{ID: self})
	w.Coordinator = "a"
	services := []modeler.Service{{ID: "engines", Engine: modeler.EngineProfile{PrefillRate: 1000}}, {ID: "plain"}}
	w.Configuration = modeler.NewConfiguration(1, nil, services, nil, modeler.Limits{})
	for _, id := range []modeler.EndpointID{"p1", "p2"} {
		w.Endpoints.Put(id, modeler.Endpoint{ID: id, Service: "plain", Slots: 4})
	}
	return w
}

func key(service modeler.ServiceID, special uint64) estimator.Key {
	return estimator.Key{Group: modeler.CostGroup(service), Subgroup: 1, Special: special, Owner: 1}
}

// TestLearn guards against attempts that teach a wrong cost: broken, refused or failed ones, ones that waited, and those of a slow endpoint.
func TestLearn(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name    string
		service modeler.ServiceID
		outcome modeler.Outcome
		whole   bool
		alone   bool
		took    time.Duration
		tokens  modeler.Tokens
		// low and high bound the prediction afterwards. Before, it is 100 ms or 100 tokens.
		low, high float64
	}{
		{"whole answer of a call", "plain", modeler.Answered, true, true, ms(300), 0, 110, 300},
		{"a call that waited long", "plain", modeler.Answered, true, false, ms(300), 0, 100, 100},
		{"a call that waited and was short", "plain", modeler.Answered, true, false, ms(10), 0, 10, 95},
		{"caller error", "plain", modeler.Answered, false, true, ms(1), 0, 100, 100},
		{"given up early", "plain", modeler.Abandoned, false, true, ms(10), 0, 100, 100},
		{"given up late", "plain", modeler.Abandoned, false, true, ms(900), 0, 120, 900},
		{"refused", "plain", modeler.Shed, false, true, ms(1), 0, 100, 100},
		{"failed", "plain", modeler.Failed, false, true, ms(1), 0, 100, 100},
		{"whole stream", "engines", modeler.Answered, true, false, ms(10), 300, 110, 300},
		{"stream that broke off", "engines", modeler.Broken, false, false, ms(10), 30, 100, 100},
		{"stream that broke off late", "engines", modeler.Broken, false, false, ms(10), 900, 120, 900},
		{"stream without an event", "engines", modeler.Silent, false, false, time.Second, 0, 100, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, s := newWorld("a"), New(true)
			s.Run(&modeler.Tick{Now: start}, w)
			k := key(tt.service, 1)
			for _, costs := range []*modeler.CostEstimator{w.CallTimes, w.AnswerLengths} {
				for range 8 {
					costs.Learn(k, estimator.Observation{At: start, Value: 100})
				}
			}
			w.Assign(modeler.Assignment{
				Request: modeler.Request{ID: "r", Node: "a", Service: tt.service, Cost: k}, Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "p1", Service: tt.service}},
				Placed: start, Alone: tt.alone,
			})
			now := start.Add(tt.took)
			s.Run(&modeler.Tick{Now: now, Events: []modeler.Event{modeler.AttemptEnded{ID: "r", Outcome: tt.outcome, Succeeded: tt.whole, Tokens: tt.tokens}}}, w)
			costs := w.CallTimes
			if tt.service == "engines" {
				costs = w.AnswerLengths
			}
			got := costs.Predict(k, now, 0)
			assert.Assert(t, got >= tt.low-1e-6 && got <= tt.high+1e-6, "%v", got)
		})
	}
}

// TestSlowEndpoint guards against calls that count as costly because one endpoint is slow, and against a slow endpoint that does not show.
func TestSlowEndpoint(t *testing.T) {
	w, s := newWorld("a"), New(true)
	k := key("plain", 1)
	now := start
	for i := range 60 {
		endpoint, took := modeler.EndpointID("p1"), 100*time.Millisecond
		if i%2 == 1 {
			endpoint, took = "p2", 400*time.Millisecond
		}
		s.Run(&modeler.Tick{Now: now}, w)
		e, _ := w.Endpoints.Get(endpoint)
		request := modeler.Request{ID: "r", Node: "a", Service: "plain", Cost: k}
		w.Assign(modeler.Assignment{Request: request, Plan: modeler.Plan{Endpoint: e}, Placed: now, Alone: true, Predicted: w.PredictedCall(request, now)})
		now = now.Add(took)
		s.Run(&modeler.Tick{Now: now, Events: []modeler.Event{modeler.AttemptEnded{ID: "r", Outcome: modeler.Answered, Succeeded: true}}}, w)
		w.Unassign("r")
	}
	fast, _ := w.Endpoints.Get("p1")
	slow, _ := w.Endpoints.Get("p2")
	ratio := Pace(w, slow) / Pace(w, fast)
	assert.Assert(t, ratio > 2.5 && ratio < 6, "%v", ratio)
	predicted := w.PredictedCall(modeler.Request{Cost: k}, now)
	assert.Assert(t, predicted > 120*time.Millisecond && predicted < 330*time.Millisecond, "%v", predicted)
}

// TestHandover guards against a coordinator that begins with nothing after the one before was lost, and against a node whose own observations are
// replaced by fewer ones of another.
func TestHandover(t *testing.T) {
	first, second := newWorld("a"), newWorld("b")
	s := New(true)
	s.Run(&modeler.Tick{Now: start}, first)
	s.Run(&modeler.Tick{Now: start}, second)
	for range 6 {
		first.CallTimes.Learn(key("plain", 1), estimator.Observation{At: start, Value: 300})
		first.AnswerLengths.Learn(key("engines", 1), estimator.Observation{At: start, Value: 1310})
	}
	digest := modeler.PeerReceived{Message: modeler.Message{From: "a", Body: modeler.Digest{Costs: Summaries(start, first)}}}
	s.Run(&modeler.Tick{Now: start, Events: []modeler.Event{digest}}, second)
	assert.Assert(t, second.PredictedCall(modeler.Request{Cost: key("plain", 9)}, start) > 250*time.Millisecond)
	assert.Assert(t, second.PredictedAnswer(modeler.Request{Cost: key("engines", 9), Output: 4096}, start) < 2500)
	for range 20 {
		second.CallTimes.Learn(key("plain", 9), estimator.Observation{At: start, Value: 20})
	}
	s.Run(&modeler.Tick{Now: start, Events: []modeler.Event{digest}}, second)
	assert.Assert(t, second.PredictedCall(modeler.Request{Cost: key("plain", 9)}, start) < 80*time.Millisecond)
}

// TestUneven guards against a service whose calls differ widely and that no node places for all, and against one that is switched to and fro.
func TestUneven(t *testing.T) {
	w, s := newWorld("a"), New(true)
	steps := []struct {
		name   string
		values map[uint64]float64
		want   bool
	}{
		{"alike", map[uint64]float64{1: 20, 2: 30}, false},
		{"light ones that differ", map[uint64]float64{1: 10, 2: 90}, false},
		{"one turns costly", map[uint64]float64{2: 600}, true},
		{"somewhat less", map[uint64]float64{2: 170, 1: 35}, true},
		{"alike again", map[uint64]float64{2: 30}, false},
	}
	now := start
	for _, step := range steps {
		s.Run(&modeler.Tick{Now: now}, w)
		for special, value := range step.values {
			for range 30 {
				w.CallTimes.Learn(key("plain", special), estimator.Observation{At: now, Value: value})
			}
		}
		now = now.Add(2 * time.Second)
		s.Run(&modeler.Tick{Now: now}, w)
		assert.Equal(t, w.UnevenServices["plain"], step.want, step.name)
	}
}
