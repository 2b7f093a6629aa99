package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// testNode runs the placer of one node on its control state.
type testNode struct {
	world  *modeler.World
	system *System
	now    time.Time
}

func newTestNode(id, coordinator modeler.NodeID, engines int) *testNode {
	n := &testNode{world: modeler.NewWorld(modeler.Node{ID: id}), system: New(Options{ColdFactor: 1.5, ColdSlack: 5}), now: start}
	for _, other := range []modeler.NodeID{"a", "b", "c"} {
		if other != id {
			n.world.Nodes.Put(other, modeler.Node{ID: other}.WithLastSeen(start.Add(time.Hour)))
		}
	}
	n.world.Coordinator = coordinator
	services := []modeler.Service{{ID: "engines", Engine: profile, ColdRate: 36}, {ID: "plain"}}
	n.world.Configuration = modeler.NewConfiguration(1, nil, services, nil, modeler.Limits{})
	for i := range engines {
		e := modeler.Endpoint{ID: modeler.EndpointID(fmt.Sprintf("e%d", i)), Service: "engines", Slots: 2, DataCentre: "dc", Address: "x"}
		n.world.Endpoints.Put(e.ID, e)
	}
	return n
}

func (n *testNode) run(events ...modeler.Event) []modeler.Effect {
	tick := &modeler.Tick{Now: n.now, Rand: rand.New(rand.NewPCG(1, 1)), Events: events}
	n.system.Run(tick, n.world)
	return tick.Effects()
}

func request(id modeler.RequestID, node modeler.NodeID) modeler.Request {
	r := short()
	r.ID, r.Node, r.Service = id, node, "engines"
	return r
}

func peer(from modeler.NodeID, body modeler.MessageBody) modeler.Event {
	return modeler.PeerReceived{Message: modeler.Message{From: from, Body: body}}
}

// effects returns the effects of type E.
func effects[E modeler.Effect](all []modeler.Effect) []E {
	var found []E
	for _, e := range all {
		if match, ok := e.(E); ok {
			found = append(found, match)
		}
	}
	return found
}

// bodies returns the bodies of type B of all sent messages.
func bodies[B modeler.MessageBody](all []modeler.Effect) []B {
	var found []B
	for _, send := range effects[modeler.Send](all) {
		if body, ok := send.Message.Body.(B); ok {
			found = append(found, body)
		}
	}
	return found
}

// TestCoordinatorAnswersOnce guards against a second assignment for a request whose Ask is repeated because the response was lost.
func TestCoordinatorAnswersOnce(t *testing.T) {
	n := newTestNode("a", "a", 2)
	ask := peer("b", modeler.Ask{Request: request("r", "b")})
	first := bodies[modeler.Granted](n.run(ask))
	again := bodies[modeler.Granted](n.run(ask))
	assert.Equal(t, len(first), 1)
	assert.DeepEqual(t, first, again)
	assert.Equal(t, n.world.Assignments.Len(), 1)
}

// TestCoordinatorQueues guards against slots that are assigned twice, and against requests that keep waiting after a slot has become free.
func TestCoordinatorQueues(t *testing.T) {
	n := newTestNode("a", "a", 1)
	var granted, queued int
	for i := range 3 {
		all := n.run(peer("b", modeler.Ask{Request: request(modeler.RequestID(fmt.Sprint(i)), "b")}))
		granted += len(bodies[modeler.Granted](all))
		queued += len(bodies[modeler.Queued](all))
	}
	assert.DeepEqual(t, [2]int{granted, queued}, [2]int{2, 1})
	n.world.Unassign("0")
	n.now = n.now.Add(retryInterval)
	assert.Equal(t, len(bodies[modeler.Granted](n.run())), 1)
}

// TestAskCoordinator guards against a request that keeps waiting for a coordinator that does not respond, and against one that is placed twice.
func TestAskCoordinator(t *testing.T) {
	tests := []struct {
		name string
		act  func(n *testNode) []modeler.Effect
		// replies is the number of decisions, and assigned the number of assignments.
		replies, assigned int
		unresponsive      bool
	}{
		{"asks", func(n *testNode) []modeler.Effect {
			all := n.run(modeler.PlacementRequested{Request: request("r", "b")})
			assert.Equal(t, len(bodies[modeler.Ask](all)), 1)
			return all
		}, 0, 0, false},
		{"repeats the Ask", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "b")})
			n.now = n.now.Add(askInterval)
			all := n.run()
			assert.Equal(t, len(bodies[modeler.Ask](all)), 1)
			return all
		}, 0, 0, false},
		{"places locally after the timeout", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "b")})
			n.now = n.now.Add(askTimeout)
			return n.run()
		}, 1, 1, true},
		{"waits in the coordinator's queue", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "b")})
			n.run(peer("a", modeler.Queued{ID: "r"}))
			n.now = n.now.Add(2 * askTimeout)
			return n.run()
		}, 0, 0, false},
		{"granted", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "b")})
			return n.run(peer("a", modeler.Granted{ID: "r", Decision: modeler.Decision{Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e1"}}}}))
		}, 1, 1, false},
		{"refused", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "b")})
			return n.run(peer("a", modeler.Granted{ID: "r", Decision: modeler.Decision{Refused: true}}))
		}, 1, 0, false},
		{"granted a draining endpoint", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "b")})
			n.world.Endpoints.Put("e1", modeler.Endpoint{ID: "e1", Service: "engines", Draining: true})
			all := n.run(peer("a", modeler.Granted{ID: "r", Decision: modeler.Decision{Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e1"}}}}))
			reply := effects[modeler.Reply](all)
			assert.Equal(t, len(reply), 1)
			assert.Equal(t, reply[0].Decision.Plan.Endpoint.ID, modeler.EndpointID("e0"))
			return all
		}, 1, 1, false},
		{"granted after cancellation", func(n *testNode) []modeler.Effect {
			n.run(modeler.PlacementRequested{Request: request("r", "b")})
			cancelled := n.run(modeler.PlacementCancelled{ID: "r"})
			assert.Equal(t, len(bodies[modeler.Ended](cancelled)), 1)
			all := n.run(peer("a", modeler.Granted{ID: "r", Decision: modeler.Decision{Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e1"}}}}))
			assert.Equal(t, len(bodies[modeler.Ended](all)), 1, "the assignment is released")
			return all
		}, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newTestNode("b", "a", 2)
			all := tt.act(n)
			assert.Equal(t, len(effects[modeler.Reply](all)), tt.replies)
			assert.Equal(t, n.world.Assignments.Len(), tt.assigned)
			assert.Equal(t, n.world.CoordinatorUnresponsive, tt.unresponsive)
		})
	}
}

// TestBeats guards against assignments that remain because the message about their end was lost, and against a coordinator that does not
// know the requests running on other nodes.
func TestBeats(t *testing.T) {
	running := modeler.Assignment{Request: request("r", "b"), Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e0"}}, Placed: start}
	part := 0
	if !(modeler.RequestPart{Count: 2}).Contains("r") {
		part = 1
	}
	tests := []struct {
		name  string
		known bool
		age   time.Duration
		beat  modeler.Beat
		want  bool
	}{
		{"unknown to the coordinator", false, 0, modeler.Beat{Running: []modeler.Assignment{running}}, true},
		{"still running", true, time.Second, modeler.Beat{Running: []modeler.Assignment{running}}, true},
		{"ended", true, time.Second, modeler.Beat{}, false},
		{"placed just now", true, beatGrace / 2, modeler.Beat{}, true},
		{"not in this part", true, time.Second, modeler.Beat{Part: modeler.RequestPart{Index: 1 - part, Count: 2}}, true},
		{"ended, in this part", true, time.Second, modeler.Beat{Part: modeler.RequestPart{Index: part, Count: 2}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newTestNode("a", "a", 1)
			if tt.known {
				n.world.Assign(running)
			}
			n.now = start.Add(tt.age)
			n.run(peer("b", tt.beat))
			_, ok := n.world.Assignments.Get("r")
			assert.Equal(t, ok, tt.want)
		})
	}
}

// suspected returns the count of a shared part with broken attempts of different requests, which all have the given parts.
func suspected(count int, firstAt time.Time, parts ...modeler.Fingerprint) modeler.BrokenAttempts {
	var b modeler.BrokenAttempts
	for i := range count {
		b = b.WithBrokenAttempt(firstAt).WithRequest(modeler.Fingerprint(i+1), parts)
	}
	return b
}

// TestDecide guards against placements on endpoints that are out of service, and against requests that wait for a placement that is
// impossible.
func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		change func(n *testNode, r *modeler.Request)
		after  time.Duration
		reason modeler.RefusalReason
		placed bool
	}{
		{"placed", func(*testNode, *modeler.Request) {}, 0, "", true},
		{"data centre out of service", func(n *testNode, _ *modeler.Request) { n.world.OutDataCentres.Put("dc", 1) }, 0, "", false},
		{"refused after the longest wait", func(n *testNode, _ *modeler.Request) { n.world.OutDataCentres.Put("dc", 1) }, time.Second, modeler.ReasonNoEndpoint, false},
		{"draining", func(n *testNode, _ *modeler.Request) {
			n.world.Endpoints.Put("e0", modeler.Endpoint{ID: "e0", Service: "engines", Slots: 2, Draining: true})
		}, 0, "", false},
		{"already tried", func(_ *testNode, r *modeler.Request) { *r = r.WithTried("e0") }, 0, "", false},
		{"not responding, but the only one", func(n *testNode, _ *modeler.Request) {
			n.world.Health.Put("e0", modeler.Health{}.WithNoResponse(start))
		}, 0, "", true},
		{"address belongs to another endpoint", func(n *testNode, _ *modeler.Request) { n.world.Health.Put("e0", modeler.Health{}.WithMisdirected()) }, 0, "", false},
		{"too large", func(_ *testNode, r *modeler.Request) { r.Prompt = 5_000_000 }, 0, modeler.ReasonTooLarge, false},
		{"quarantined", func(n *testNode, r *modeler.Request) {
			r.Fingerprint = 7
			n.world.BrokenAttempts.Put(7, modeler.BrokenAttempts{}.WithQuarantine(start, start, time.Minute, 2))
		}, 0, modeler.ReasonQuarantined, false},
		{"shared part quarantined", func(n *testNode, r *modeler.Request) {
			r.SharedParts = []modeler.Fingerprint{8, 9}
			n.world.BrokenAttempts.Put(9, modeler.BrokenAttempts{}.WithQuarantine(start, start, time.Minute, 2))
		}, 0, modeler.ReasonQuarantined, false},
		{"other shared part quarantined", func(n *testNode, r *modeler.Request) {
			r.SharedParts = []modeler.Fingerprint{8}
			n.world.BrokenAttempts.Put(9, modeler.BrokenAttempts{}.WithQuarantine(start, start, time.Minute, 2))
		}, 0, "", true},
		{"shared part quarantined together with another one", func(n *testNode, r *modeler.Request) {
			r.SharedParts = []modeler.Fingerprint{8, 9}
			n.world.BrokenAttempts.Put(9, suspected(3, start, 8, 9).WithQuarantine(start, start, time.Minute, 2))
		}, 0, modeler.ReasonQuarantined, false},
		{"without the other one", func(n *testNode, r *modeler.Request) {
			r.SharedParts = []modeler.Fingerprint{9}
			n.world.BrokenAttempts.Put(9, suspected(3, start, 8, 9).WithQuarantine(start, start, time.Minute, 2))
		}, 0, "", true},
		{"first attempt with a suspected part", func(n *testNode, r *modeler.Request) {
			r.SharedParts = []modeler.Fingerprint{9}
			n.world.BrokenAttempts.Put(9, suspected(2, start.Add(-time.Second)))
		}, 0, "", true},
		{"repeat with a suspected part", func(n *testNode, r *modeler.Request) {
			r.SharedParts, r.RepeatsBroken = []modeler.Fingerprint{9}, true
			n.world.BrokenAttempts.Put(9, suspected(2, start.Add(-time.Second)))
		}, 0, modeler.ReasonQuarantined, false},
		{"caller's repeat with a suspected part", func(n *testNode, r *modeler.Request) {
			r.SharedParts, r.Fingerprint = []modeler.Fingerprint{9}, 2
			n.world.BrokenAttempts.Put(9, suspected(2, start.Add(-time.Second)))
		}, 0, modeler.ReasonQuarantined, false},
		{"repeat with a part that broke once", func(n *testNode, r *modeler.Request) {
			r.SharedParts, r.RepeatsBroken = []modeler.Fingerprint{9}, true
			n.world.BrokenAttempts.Put(9, suspected(1, start.Add(-time.Second)))
		}, 0, "", true},
		{"repeat before others could show that endpoints survive", func(n *testNode, r *modeler.Request) {
			r.SharedParts, r.RepeatsBroken = []modeler.Fingerprint{9}, true
			n.world.BrokenAttempts.Put(9, suspected(2, start.Add(-modeler.ObservationTime/2)))
		}, 0, "", true},
		{"unknown service", func(_ *testNode, r *modeler.Request) { r.Service = "other" }, 0, modeler.ReasonNoEndpoint, false},
		{"no configuration", func(n *testNode, _ *modeler.Request) { n.world.Configuration = modeler.Configuration{} }, 0, modeler.ReasonNoConfiguration, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newTestNode("a", "a", 1)
			r := request("r", "a")
			tt.change(n, &r)
			all := n.run(modeler.PlacementRequested{Request: r})
			if tt.after > 0 {
				n.now = start.Add(tt.after)
				all = n.run()
			}
			replies := effects[modeler.Reply](all)
			assert.Equal(t, n.world.Assignments.Len() == 1, tt.placed)
			assert.Equal(t, len(replies) == 1, tt.placed || tt.reason != "")
			if len(replies) == 1 {
				assert.Equal(t, replies[0].Decision.Reason, tt.reason)
			}
		})
	}
}

// TestColdLimit guards against a cold endpoint that gets more requests from all nodes together than it sustains, while two nodes act as
// coordinator.
func TestColdLimit(t *testing.T) {
	const limit = 36*1.5 + 5
	total := 0
	for _, role := range []struct{ id, coordinator modeler.NodeID }{{"a", "a"}, {"b", "b"}, {"c", "a"}} {
		n := newTestNode(role.id, role.coordinator, 1)
		n.world.CoordinatorUnresponsive = role.id != role.coordinator
		n.world.Endpoints.Put("e0", modeler.Endpoint{ID: "e0", Service: "engines", Slots: 1000, ColdUntil: start.Add(time.Minute)})
		for i := range 100 {
			r := request(modeler.RequestID(fmt.Sprint(i)), role.id)
			r.Due, r.Deadline = start.Add(time.Hour), start.Add(time.Hour)
			n.run(modeler.PlacementRequested{Request: r})
		}
		placed := n.world.Assignments.Len()
		assert.Assert(t, placed > 0, "node %s placed no request", role.id)
		total += placed
	}
	assert.Assert(t, total <= limit, "%d placed, %v allowed", total, float64(limit))
}

// TestOrder guards against placing requests that are late in any case before requests that can still be on time.
func TestOrder(t *testing.T) {
	n := newTestNode("a", "a", 1)
	due := func(d time.Duration) modeler.Request {
		r := request("r", "a")
		r.Due = start.Add(d)
		r.Arrived = r.Due.Add(-time.Second)
		return r
	}
	tight := due(100 * time.Millisecond)
	tight.Arrived = start
	urgent := due(time.Second)
	urgent.Priority = -1
	tests := []struct {
		name string
		a, b modeler.Request
		want int
	}{
		{"can be on time before late", due(690 * time.Millisecond), due(-time.Second), -1},
		{"can no longer be on time", due(50 * time.Millisecond), due(690 * time.Millisecond), 1},
		{"earlier due time first", due(650 * time.Millisecond), due(690 * time.Millisecond), -1},
		{"priority first", due(690 * time.Millisecond), urgent, 1},
		{"a target that is too short counts as on time at first", tight, due(690 * time.Millisecond), -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.a.ID, tt.b.ID = "a", "b"
			for _, requests := range [][]modeler.Request{{tt.a, tt.b}, {tt.b, tt.a}} {
				q := newQueue()
				for _, r := range requests {
					q.add(newQueueKey(n.world, r))
				}
				order := q.due(start, capacityRevision{}, q.takeArrived(), func(modeler.RequestID) bool { return true })
				assert.Equal(t, len(order), 2)
				assert.Equal(t, order[0].id == "a", tt.want < 0)
			}
		})
	}
}

// TestOnTimeRates guards against a class of requests that is starved in favour of another one.
func TestOnTimeRates(t *testing.T) {
	rates := newOnTimeRates()
	short, long := request("s", "a"), request("l", "a")
	long.Due = start.Add(3 * time.Second)
	for range 20 {
		rates.record(short, true)
		rates.record(long, false)
	}
	assert.Assert(t, rates.weightFactor(long) > 1.5)
	assert.Equal(t, rates.weightFactor(short), 1.0)
	for range 60 {
		rates.record(long, true)
	}
	assert.Assert(t, rates.weightFactor(long) < 1.05)
}

// BenchmarkPlace measures one placement for several numbers of engines, with half of the slots occupied.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{16, 69, 230, 660} {
		for _, prompt := range []modeler.Tokens{5_000, 182_000} {
			b.Run(fmt.Sprintf("prompt=%d/engines=%d", prompt, engines), func(b *testing.B) {
				n := newTestNode("a", "a", engines)
				for i := range engines {
					r := request(modeler.RequestID(fmt.Sprint(i)), "b")
					r.Deadline = start.Add(time.Hour)
					e, _ := n.world.Endpoints.Get(modeler.EndpointID(fmt.Sprintf("e%d", i)))
					n.world.Assign(modeler.Assignment{Request: r, Plan: modeler.Plan{Endpoint: e}, Placed: start}.WithFirstEvent(start))
				}
				r := request("new", "a")
				r.Prompt, r.Due, r.Deadline = prompt, start.Add(3*time.Second), start.Add(time.Hour)
				for b.Loop() {
					n.run(modeler.PlacementRequested{Request: r})
					n.world.Unassign("new")
					n.world.Waiting.Delete("new")
				}
			})
		}
	}
}

// TestSample guards against a large fleet in which some endpoints get no requests, and against a placement cost that grows with the fleet.
func TestSample(t *testing.T) {
	const engines = 300
	n := newTestNode("a", "a", engines)
	used := map[modeler.EndpointID]bool{}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2*engines - 20 {
		r := request(modeler.RequestID(fmt.Sprint(i)), "a")
		tick := &modeler.Tick{Now: start, Rand: random, Events: []modeler.Event{modeler.PlacementRequested{Request: r}}}
		service, _ := n.world.Configuration.Service("engines")
		assert.Equal(t, len(n.system.candidates(tick, n.world, service, r)), maxCandidates)
		n.system.Run(tick, n.world)
		for _, reply := range effects[modeler.Reply](tick.Effects()) {
			if !reply.Decision.Refused {
				used[reply.Decision.Plan.Endpoint.ID] = true
			}
		}
		n.now = n.now.Add(time.Millisecond)
	}
	assert.Assert(t, len(used) > engines*9/10, "%d engines were used", len(used))
}

// TestLocalSpread guards against nodes that place without the coordinator and all choose the same engine.
func TestLocalSpread(t *testing.T) {
	const nodes, engines = 50, 40
	used := map[modeler.EndpointID]int{}
	for i := range nodes {
		n := newTestNode("b", "a", engines)
		n.system.wait(n.world, modeler.Waiting{Request: request("r", "b"), Since: start})
		tick := &modeler.Tick{Now: start, Rand: rand.New(rand.NewPCG(uint64(i), 2))}
		n.system.Run(tick, n.world)
		for _, reply := range effects[modeler.Reply](tick.Effects()) {
			used[reply.Decision.Plan.Endpoint.ID]++
		}
	}
	busiest := 0
	for _, count := range used {
		busiest = max(busiest, count)
	}
	assert.Assert(t, busiest <= nodes/5, "%d of %d requests on one engine", busiest, nodes)
}

// TestSlowEngine guards against requests on an engine that has been slow, or whose first event is overdue, while others are free, and against
// engines that count as slow because a node has not reported.
func TestSlowEngine(t *testing.T) {
	running := func(node modeler.NodeID, expected time.Duration) modeler.Assignment {
		return modeler.Assignment{
			Request: modeler.Request{ID: "old", Node: node, Service: "engines", Prompt: 5000, Gap: 250 * time.Millisecond, Due: start.Add(time.Minute), Deadline: start.Add(time.Minute)},
			Plan:    modeler.Plan{Endpoint: modeler.Endpoint{ID: "e0"}, TimeToFirstEvent: expected}, Placed: start,
		}
	}
	tests := []struct {
		name    string
		prepare func(n *testNode)
		// want is the engine of a request that is placed after half a second.
		want modeler.EndpointID
	}{
		{"none is slow", func(n *testNode) { n.world.Assign(running("b", time.Minute).WithFirstEvent(start)) }, "e0"},
		{"slow", func(n *testNode) {
			n.world.Assign(running("b", time.Minute).WithFirstEvent(start))
			n.world.Health.Put("e0", modeler.Health{}.WithPace(n.now, 6, 1))
		}, "e1"},
		{"first event overdue", func(n *testNode) { n.world.Assign(running("b", 100*time.Millisecond)) }, "e1"},
		{"first event not due yet", func(n *testNode) { n.world.Assign(running("b", 450*time.Millisecond)) }, "e0"},
		{"the node that would report it is silent", func(n *testNode) {
			n.world.Assign(running("c", 100*time.Millisecond))
			n.world.Nodes.Put("c", modeler.Node{ID: "c"}.WithLastSeen(start))
		}, "e0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newTestNode("a", "a", 2)
			tt.prepare(n)
			n.now = start.Add(500 * time.Millisecond)
			r := request("r", "a")
			r.Arrived, r.Due, r.Deadline = n.now, n.now.Add(300*time.Millisecond), n.now.Add(2*time.Second)
			replies := effects[modeler.Reply](n.run(modeler.PlacementRequested{Request: r}))
			assert.Equal(t, len(replies), 1)
			assert.Equal(t, replies[0].Decision.Plan.Endpoint.ID, tt.want)
		})
	}
}
