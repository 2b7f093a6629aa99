package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// drawWorld returns a coordinator in front of endpoints with random states and loads.
func drawWorld(t *rapid.T) *testNode {
	n := newTestNode("a", "a", 0)
	n.system = New(Options{ColdFactor: 1.5, ColdSlack: 5, KeepsRoom: rapid.Bool().Draw(t, "keeps room")})
	n.run()
	n.now = n.now.Add(time.Minute)
	for i := range rapid.IntRange(0, 8).Draw(t, "endpoints") {
		e := modeler.Endpoint{
			ID: modeler.EndpointID(fmt.Sprintf("e%d", i)), Service: "engines", Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Address: "x",
			DataCentre: modeler.DataCentreID(rapid.SampledFrom([]string{"dc", "out"}).Draw(t, "data centre")),
			Draining:   rapid.IntRange(0, 5).Draw(t, "draining") == 0,
		}
		if rapid.Bool().Draw(t, "plain") {
			e.Service = "plain"
		}
		if rapid.IntRange(0, 3).Draw(t, "cold") == 0 {
			e.ColdUntil = n.now.Add(time.Second)
		}
		n.world.Endpoints.Put(e.ID, e)
		switch rapid.IntRange(0, 6).Draw(t, "health") {
		case 0:
			n.world.Health.Put(e.ID, modeler.Health{}.WithNoResponse(n.now))
		case 1:
			n.world.Health.Put(e.ID, modeler.Health{}.WithMisdirected())
		case 2:
			n.world.Health.Put(e.ID, modeler.Health{}.WithPace(n.now, 6, 1))
		case 3:
			n.world.Terms.Put(e.ID, modeler.EndpointTerms{Limited: true, Limit: 2, LimitAt: n.now})
		}
		for k := range rapid.IntRange(0, 3).Draw(t, "running") {
			r := n.newShort(fmt.Sprintf("r%d-%d", i, k))
			r.Service = e.Service
			a := modeler.Assignment{Request: r, Plan: modeler.Plan{Endpoint: e}, Placed: n.now}
			if rapid.Bool().Draw(t, "writing") {
				a = a.WithFirstEvent(n.now)
			}
			n.world.Assign(a)
		}
		if rapid.Bool().Draw(t, "busy") {
			n.world.PrefillEnd.Put(e.ID, n.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "backlog"))*time.Millisecond))
		}
	}
	if rapid.Bool().Draw(t, "out") {
		n.world.OutDataCentres.Put("out", 1)
	}
	return n
}

// TestExplanationAgrees guards against an explanation that differs from the decision on the same request at the same moment, or that changes it.
func TestExplanationAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawWorld(t)
		prompt := modeler.Tokens(rapid.SampledFrom([]int{1000, 5000, 45_000, 260_000, 6_000_000}).Draw(t, "prompt"))
		r := n.newRequest("new", prompt, 300*time.Millisecond+time.Duration(prompt)*15*time.Microsecond, 2*time.Second+time.Duration(prompt)*50*time.Microsecond)
		r.Service = modeler.ServiceID(rapid.SampledFrom([]string{"engines", "plain", "unknown"}).Draw(t, "service"))
		if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
			r.Tried = []modeler.EndpointID{"e0", "e1"}
		}
		explained := effects[modeler.Explained](n.run(modeler.ExplainRequested{ID: 7, Request: r}))
		assert.Equal(t, len(explained), 1)
		e := explained[0].Explanation
		replies := effects[modeler.Reply](n.run(modeler.PlacementRequested{Request: r}))
		if e.Verdict == modeler.VerdictWait {
			assert.Equal(t, len(replies), 0, "explained as waiting: %s", e.Cause)
			return
		}
		assert.Equal(t, len(replies), 1, "explained as %s", e.Verdict)
		d := replies[0].Decision
		assert.Equal(t, d.Refused, e.Verdict == modeler.VerdictRefuse)
		assert.Equal(t, d.Reason, e.Decision.Reason)
		assert.Equal(t, d.RetryAfter, e.Decision.RetryAfter)
		if !d.Refused {
			assert.DeepEqual(t, d.Plan, e.Decision.Plan)
		}
	})
}

// TestExcluded guards against an endpoint that is left out without its reason.
func TestExcluded(t *testing.T) {
	n := newTestNode("a", "a", 6)
	put := func(id modeler.EndpointID, change func(modeler.Endpoint) modeler.Endpoint) {
		e, _ := n.world.Endpoints.Get(id)
		n.world.Endpoints.Put(id, change(e))
	}
	put("e0", func(e modeler.Endpoint) modeler.Endpoint { return e.WithDraining() })
	put("e1", func(e modeler.Endpoint) modeler.Endpoint { e.DataCentre = "out"; return e })
	n.world.OutDataCentres.Put("out", 1)
	n.world.Health.Put("e2", modeler.Health{}.WithMisdirected())
	n.world.Health.Put("e3", modeler.Health{}.WithNoResponse(n.now))
	r := request("new", "a")
	r.Tried = []modeler.EndpointID{"e4"}
	e := effects[modeler.Explained](n.run(modeler.ExplainRequested{ID: 1, Request: r}))[0].Explanation
	got := map[modeler.EndpointID]string{}
	for _, excluded := range e.Excluded {
		got[excluded.Endpoint] = excluded.Reason
	}
	assert.DeepEqual(t, got, map[modeler.EndpointID]string{"e0": "Draining", "e1": "Out", "e2": "Misdirected", "e3": "Avoided", "e4": "Tried"})
	assert.Equal(t, e.Verdict, modeler.VerdictPlace)
	assert.Equal(t, e.Decision.Plan.Endpoint.ID, modeler.EndpointID("e5"))
	assert.Equal(t, len(e.Candidates), 1)
	assert.Assert(t, e.Candidates[0].Usable && e.Candidates[0].Expected > 0)
}
