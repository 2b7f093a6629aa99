package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// limited returns a node of the fleet that a coordinates, on whose control state the endpoints of a service name limits.
func limited(id modeler.NodeID, service modeler.ServiceID, limits []float64) *testNode {
	n := newTestNode(id, "a", 0)
	for i, limit := range limits {
		e := modeler.Endpoint{ID: modeler.EndpointID(fmt.Sprintf("e%d", i)), Service: service, Slots: 100, DataCentre: "dc", Address: "x"}
		n.world.Endpoints.Put(e.ID, e)
		if limit >= 0 {
			n.world.Terms.Put(e.ID, modeler.EndpointTerms{}.WithLimit(true, limit, start))
		}
	}
	return n
}

// TestLimitIsShared guards against a limit that is exceeded because requests of several nodes, of plain services too, are counted apart, and against one that is not
// used.
func TestLimitIsShared(t *testing.T) {
	const seconds = 8
	tests := []struct {
		name    string
		service modeler.ServiceID
		limit   float64
		least   int
	}{
		{"engines", "engines", 1, seconds},
		{"plain service", "plain", 3, 3 * seconds},
		{"decimal", "engines", 2.5, 20},
		{"high", "engines", 40, 40 * seconds},
		{"low", "plain", 0.5, seconds / 2},
		{"zero", "plain", 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := limited("a", tt.service, []float64{tt.limit})
			var granted []time.Time
			for i := 0; n.now.Before(start.Add(seconds * time.Second)); i++ {
				r := request(modeler.RequestID(fmt.Sprint(i)), "b")
				r.Service, r.Arrived, r.Due, r.Deadline = tt.service, n.now, n.now.Add(300*time.Millisecond), n.now.Add(time.Second)
				all := n.run(peer("b", modeler.Ask{Request: r}))
				for _, grant := range bodies[modeler.Granted](all) {
					if !grant.Decision.Refused {
						granted = append(granted, n.now)
						n.world.Unassign(grant.ID)
					}
				}
				n.now = n.now.Add(10 * time.Millisecond)
			}
			assert.Check(t, len(granted) >= tt.least, "%d requests at a limit of %v", len(granted), tt.limit)
			for i, at := range granted {
				end := i
				for end < len(granted) && granted[end].Sub(at) < 4*time.Second {
					end++
				}
				// The rest of what the rule allows is left for a coordinator that replaces this one.
				assert.Assert(t, float64(end-i) <= 4*max(tt.limit, minLimitRate)+2+tt.limit, "%d requests in 4 s at a limit of %v", end-i, tt.limit)
			}
		})
	}
}

// TestLimitWithoutCoordinator guards against nodes that together exceed a limit while each of them places its requests itself, also when that happens again.
func TestLimitWithoutCoordinator(t *testing.T) {
	const limit = 4.0
	ids := []modeler.NodeID{"b", "c", "d"}
	nodes := make([]*testNode, 0, len(ids))
	for _, id := range ids {
		n := limited(id, "plain", []float64{limit})
		n.world.Self = n.world.Self.WithRank(5)
		nodes = append(nodes, n)
	}
	for outage := range 3 {
		granted := 0
		for _, n := range nodes {
			n.world.CoordinatorUnresponsive = true
			for end, number := n.now.Add(4*time.Second), 0; n.now.Before(end); number++ {
				r := request(modeler.RequestID(fmt.Sprint(outage, "-", number)), n.world.Self.ID)
				r.Service, r.Arrived, r.Due, r.Deadline = "plain", n.now, n.now.Add(300*time.Millisecond), n.now.Add(time.Second)
				n.system.wait(n.world, modeler.Waiting{Request: r, Since: n.now})
				for _, reply := range effects[modeler.Reply](n.run()) {
					if !reply.Decision.Refused {
						granted++
					}
				}
				n.now = n.now.Add(20 * time.Millisecond)
			}
			n.world.CoordinatorUnresponsive = false
			for range 10 {
				n.now = n.now.Add(time.Second)
				n.run()
			}
		}
		assert.Check(t, granted > 0 && float64(granted) <= localLimitFraction*4*limit, "%d requests in outage %d", granted, outage)
	}
}

// TestLimitedRefusal guards against a request that waits until its time is over although the limits of all endpoints are known to leave no share, and against
// one that is refused although another endpoint has none.
func TestLimitedRefusal(t *testing.T) {
	tests := []struct {
		name   string
		limits []float64
		reason modeler.RefusalReason
		placed bool
	}{
		{"all used up", []float64{0.3, 0.3}, modeler.ReasonLimited, false},
		{"one without a limit", []float64{0.3, -1}, "", true},
		{"a share comes in time", []float64{20, 20}, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := limited("a", "plain", tt.limits)
			for id, endpoint := range n.world.Endpoints.All() {
				for terms, _ := n.world.Terms.Get(id); terms.Limited && n.system.acquireLimit(n.now, n.world, endpoint, false); {
				}
			}
			r := request("r", "a")
			r.Service, r.Arrived, r.Due, r.Deadline = "plain", n.now, n.now.Add(150*time.Millisecond), n.now.Add(time.Second)
			replies := effects[modeler.Reply](n.run(modeler.PlacementRequested{Request: r}))
			if tt.reason == "" && !tt.placed {
				assert.Equal(t, len(replies), 0)
				n.now = n.now.Add(100 * time.Millisecond)
				replies = effects[modeler.Reply](n.run())
				assert.Equal(t, len(replies), 1)
				assert.Assert(t, !replies[0].Decision.Refused)
				return
			}
			assert.Equal(t, len(replies), 1)
			assert.Equal(t, replies[0].Decision.Refused, !tt.placed)
			assert.Equal(t, replies[0].Decision.Reason, tt.reason)
			if tt.reason != "" {
				assert.Assert(t, replies[0].Decision.RetryAfter > time.Second)
			}
		})
	}
}

// TestLimitedServiceIsForwarded guards against nodes that each place requests for a plain service with a limit, and against a detour for services without
// one.
func TestLimitedServiceIsForwarded(t *testing.T) {
	tests := []struct {
		name  string
		limit float64
		asks  int
	}{{"limit", 3, 1}, {"none", -1, 0}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := limited("b", "plain", []float64{tt.limit})
			r := request("r", "b")
			r.Service = "plain"
			all := n.run(modeler.PlacementRequested{Request: r})
			assert.Equal(t, len(bodies[modeler.Ask](all)), tt.asks)
			assert.Equal(t, len(effects[modeler.Reply](all)), 1-tt.asks)
		})
	}
}

// TestLimitAtHandovers guards against a limit that is exceeded because each new coordinator grants what the one before has granted already.
func TestLimitAtHandovers(t *testing.T) {
	const seconds = 12
	for _, interval := range []time.Duration{time.Second, 2 * time.Second} {
		for _, limit := range []float64{0.5, 1, 2.5, 10, 40} {
			t.Run(fmt.Sprintf("each %v with a limit of %v", interval, limit), func(t *testing.T) {
				var granted []time.Time
				var n *testNode
				next := start
				for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(10 * time.Millisecond) {
					if !now.Before(next) {
						n, next = limited("a", "engines", []float64{limit}), next.Add(interval)
					}
					n.now = now
					r := request(modeler.RequestID(now.Sub(start).String()), "b")
					r.Arrived, r.Due, r.Deadline = now, now.Add(300*time.Millisecond), now.Add(time.Second)
					for _, grant := range bodies[modeler.Granted](n.run(peer("b", modeler.Ask{Request: r}))) {
						if !grant.Decision.Refused {
							granted = append(granted, now)
							n.world.Unassign(grant.ID)
						}
					}
				}
				most := 0
				for i, at := range granted {
					end := i
					for end < len(granted) && granted[end].Sub(at) < 4*time.Second {
						end++
					}
					most = max(most, end-i)
				}
				assert.Check(t, float64(most) <= 1.5*4*limit+5, "%d requests in 4 s", most)
			})
		}
	}
}
