package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

// host runs the placer of one node over its world.
type host struct {
	world  *modeler.World
	system *System
	now    time.Time
}

func newHost(id, coordinator modeler.NodeID, engines int) *host {
	h := &host{world: modeler.NewWorld(modeler.Node{ID: id}), system: New(Options{ColdFactor: 1.5, ColdSlack: 5}), now: start}
	for _, n := range []modeler.NodeID{"a", "b", "c"} {
		if n != id {
			h.world.Nodes.Put(n, modeler.Node{ID: n}.WithMessageAt(start.Add(time.Hour)))
		}
	}
	h.world.Coordinator = coordinator
	services := []modeler.Service{{ID: "engines", Engine: profile, ColdRate: 36}, {ID: "plain"}}
	h.world.Configuration = modeler.NewConfiguration(1, nil, services, nil, modeler.Limits{})
	for i := range engines {
		e := modeler.Endpoint{ID: modeler.EndpointID(fmt.Sprintf("e%d", i)), Service: "engines", Slots: 2, DataCentre: "dc", Address: "x"}
		h.world.Endpoints.Put(e.ID, e)
	}
	return h
}

func (h *host) run(events ...modeler.Event) []modeler.Effect {
	tick := &modeler.Tick{Now: h.now, Rand: rand.New(rand.NewPCG(1, 1)), Events: events}
	h.system.Run(tick, h.world)
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

// effects picks those of one type.
func effects[E modeler.Effect](all []modeler.Effect) []E {
	var found []E
	for _, e := range all {
		if match, ok := e.(E); ok {
			found = append(found, match)
		}
	}
	return found
}

// bodies picks the messages of one type.
func bodies[B modeler.MessageBody](all []modeler.Effect) []B {
	var found []B
	for _, send := range effects[modeler.Send](all) {
		if body, ok := send.Message.Body.(B); ok {
			found = append(found, body)
		}
	}
	return found
}

// TestCoordinatorAnswersOnce guards against a question that is repeated because its answer was lost, and gets a second place.
func TestCoordinatorAnswersOnce(t *testing.T) {
	h := newHost("a", "a", 2)
	ask := peer("b", modeler.Ask{Request: request("r", "b")})
	first := bodies[modeler.Granted](h.run(ask))
	again := bodies[modeler.Granted](h.run(ask))
	assert.Equal(t, len(first), 1)
	assert.DeepEqual(t, first, again)
	assert.Equal(t, h.world.Assignments.Len(), 1)
}

// TestCoordinatorQueues guards against slots that are given twice, and against requests that wait although a slot is free.
func TestCoordinatorQueues(t *testing.T) {
	h := newHost("a", "a", 1)
	var granted, queued int
	for i := range 3 {
		all := h.run(peer("b", modeler.Ask{Request: request(modeler.RequestID(fmt.Sprint(i)), "b")}))
		granted += len(bodies[modeler.Granted](all))
		queued += len(bodies[modeler.Queued](all))
	}
	assert.DeepEqual(t, [2]int{granted, queued}, [2]int{2, 1})
	h.world.Unassign("0")
	h.now = h.now.Add(retryInterval)
	assert.Equal(t, len(bodies[modeler.Granted](h.run())), 1)
}

// TestFollower guards against a request that waits for a coordinator which does not answer, and against one that is placed twice.
func TestFollower(t *testing.T) {
	tests := []struct {
		name string
		play func(h *host) []modeler.Effect
		// replies is the number of decisions, and assigned the number of places taken.
		replies, assigned int
		doubted           bool
	}{
		{"asks", func(h *host) []modeler.Effect {
			all := h.run(modeler.PlacementRequested{Request: request("r", "b")})
			assert.Equal(t, len(bodies[modeler.Ask](all)), 1)
			return all
		}, 0, 0, false},
		{"asks again", func(h *host) []modeler.Effect {
			h.run(modeler.PlacementRequested{Request: request("r", "b")})
			h.now = h.now.Add(askInterval)
			all := h.run()
			assert.Equal(t, len(bodies[modeler.Ask](all)), 1)
			return all
		}, 0, 0, false},
		{"places by itself", func(h *host) []modeler.Effect {
			h.run(modeler.PlacementRequested{Request: request("r", "b")})
			h.now = h.now.Add(askTimeout)
			return h.run()
		}, 1, 1, true},
		{"waits in the coordinator's queue", func(h *host) []modeler.Effect {
			h.run(modeler.PlacementRequested{Request: request("r", "b")})
			h.run(peer("a", modeler.Queued{ID: "r"}))
			h.now = h.now.Add(2 * askTimeout)
			return h.run()
		}, 0, 0, false},
		{"granted", func(h *host) []modeler.Effect {
			h.run(modeler.PlacementRequested{Request: request("r", "b")})
			return h.run(peer("a", modeler.Granted{ID: "r", Decision: modeler.Decision{Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e1"}}}}))
		}, 1, 1, false},
		{"refused", func(h *host) []modeler.Effect {
			h.run(modeler.PlacementRequested{Request: request("r", "b")})
			return h.run(peer("a", modeler.Granted{ID: "r", Decision: modeler.Decision{Refused: true}}))
		}, 1, 0, false},
		{"granted an endpoint that has left", func(h *host) []modeler.Effect {
			h.run(modeler.PlacementRequested{Request: request("r", "b")})
			h.world.Endpoints.Put("e1", modeler.Endpoint{ID: "e1", Service: "engines", Draining: true})
			all := h.run(peer("a", modeler.Granted{ID: "r", Decision: modeler.Decision{Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e1"}}}}))
			reply := effects[modeler.Reply](all)
			assert.Equal(t, len(reply), 1)
			assert.Equal(t, reply[0].Decision.Plan.Endpoint.ID, modeler.EndpointID("e0"))
			return all
		}, 1, 1, false},
		{"granted after it was withdrawn", func(h *host) []modeler.Effect {
			h.run(modeler.PlacementRequested{Request: request("r", "b")})
			withdrawn := h.run(modeler.PlacementCancelled{ID: "r"})
			assert.Equal(t, len(bodies[modeler.Ended](withdrawn)), 1)
			all := h.run(peer("a", modeler.Granted{ID: "r", Decision: modeler.Decision{Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e1"}}}}))
			assert.Equal(t, len(bodies[modeler.Ended](all)), 1, "the place is returned")
			return all
		}, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost("b", "a", 2)
			all := tt.play(h)
			assert.Equal(t, len(effects[modeler.Reply](all)), tt.replies)
			assert.Equal(t, h.world.Assignments.Len(), tt.assigned)
			assert.Equal(t, h.world.CoordinatorUnresponsive, tt.doubted)
		})
	}
}

// TestBeats guards against places that stay taken because the message of their end was lost, and against a coordinator that does not know
// what runs.
func TestBeats(t *testing.T) {
	running := modeler.Assignment{Request: request("r", "b"), Plan: modeler.Plan{Endpoint: modeler.Endpoint{ID: "e0"}}, Placed: start}
	tests := []struct {
		name  string
		known bool
		age   time.Duration
		beat  []modeler.Assignment
		want  bool
	}{
		{"learned", false, 0, []modeler.Assignment{running}, true},
		{"goes on", true, time.Second, []modeler.Assignment{running}, true},
		{"ended", true, time.Second, nil, false},
		{"placed just now", true, beatGrace / 2, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost("a", "a", 1)
			if tt.known {
				h.world.Assign(running)
			}
			h.now = start.Add(tt.age)
			h.run(peer("b", modeler.Beat{Running: tt.beat}))
			_, ok := h.world.Assignments.Get("r")
			assert.Equal(t, ok, tt.want)
		})
	}
}

// TestDecide guards against work for endpoints that are out, and against requests that wait for a place which cannot come.
func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *host, r *modeler.Request)
		after  time.Duration
		reason modeler.RefusalReason
		placed bool
	}{
		{"placed", func(*host, *modeler.Request) {}, 0, "", true},
		{"data centre out", func(h *host, _ *modeler.Request) { h.world.OutDataCentres.Put("dc", 1) }, 0, "", false},
		{"refused once it waited", func(h *host, _ *modeler.Request) { h.world.OutDataCentres.Put("dc", 1) }, time.Second, modeler.ReasonNoEndpoint, false},
		{"draining", func(h *host, _ *modeler.Request) {
			h.world.Endpoints.Put("e0", modeler.Endpoint{ID: "e0", Service: "engines", Slots: 2, Draining: true})
		}, 0, "", false},
		{"tried already", func(_ *host, r *modeler.Request) { *r = r.WithTried("e0") }, 0, "", false},
		{"silent, but the only one", func(h *host, _ *modeler.Request) { h.world.Health.Put("e0", modeler.Health{}.WithNoResponse(start)) }, 0, "", true},
		{"another endpoint has its address", func(h *host, _ *modeler.Request) { h.world.Health.Put("e0", modeler.Health{}.WithMisdirected()) }, 0, "", false},
		{"too large", func(_ *host, r *modeler.Request) { r.Prompt = 5_000_000 }, 0, modeler.ReasonTooLarge, false},
		{"quarantined", func(h *host, r *modeler.Request) {
			r.Fingerprint = 7
			h.world.BrokenAttempts.Put(7, modeler.BrokenAttempts{}.WithQuarantine(start))
		}, 0, modeler.ReasonQuarantined, false},
		{"unknown service", func(_ *host, r *modeler.Request) { r.Service = "other" }, 0, modeler.ReasonNoEndpoint, false},
		{"no configuration", func(h *host, _ *modeler.Request) { h.world.Configuration = modeler.Configuration{} }, 0, modeler.ReasonNoConfiguration, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost("a", "a", 1)
			r := request("r", "a")
			tt.change(h, &r)
			all := h.run(modeler.PlacementRequested{Request: r})
			if tt.after > 0 {
				h.now = start.Add(tt.after)
				all = h.run()
			}
			replies := effects[modeler.Reply](all)
			assert.Equal(t, h.world.Assignments.Len() == 1, tt.placed)
			assert.Equal(t, len(replies) == 1, tt.placed || tt.reason != "")
			if len(replies) == 1 {
				assert.Equal(t, replies[0].Decision.Reason, tt.reason)
			}
		})
	}
}

// TestColdLimit guards against a cold endpoint that gets more than it sustains, over all nodes and while two of them coordinate.
func TestColdLimit(t *testing.T) {
	const limit = 36*1.5 + 5
	total := 0
	for _, role := range []struct{ id, coordinator modeler.NodeID }{{"a", "a"}, {"b", "b"}, {"c", "a"}} {
		h := newHost(role.id, role.coordinator, 1)
		h.world.CoordinatorUnresponsive = role.id != role.coordinator
		h.world.Endpoints.Put("e0", modeler.Endpoint{ID: "e0", Service: "engines", Slots: 1000, ColdUntil: start.Add(time.Minute)})
		for i := range 100 {
			r := request(modeler.RequestID(fmt.Sprint(i)), role.id)
			r.Due, r.Deadline = start.Add(time.Hour), start.Add(time.Hour)
			h.run(modeler.PlacementRequested{Request: r})
		}
		placed := h.world.Assignments.Len()
		assert.Assert(t, placed > 0, "%s places nothing", role.id)
		total += placed
	}
	assert.Assert(t, total <= limit, "%d placed, %v allowed", total, float64(limit))
}

// TestOrder guards against places for requests that are late anyway while others could still be on time.
func TestOrder(t *testing.T) {
	h := newHost("a", "a", 1)
	due := func(d time.Duration) modeler.Request {
		r := request("r", "a")
		r.Due = start.Add(d)
		return r
	}
	urgent := due(time.Second)
	urgent.Priority = -1
	tests := []struct {
		name string
		a, b modeler.Request
		want int
	}{
		{"can be on time before late", due(290 * time.Millisecond), due(-time.Second), -1},
		{"cannot be on time any more", due(50 * time.Millisecond), due(290 * time.Millisecond), 1},
		{"sooner late first", due(250 * time.Millisecond), due(290 * time.Millisecond), -1},
		{"priority first", due(290 * time.Millisecond), urgent, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, h.system.order(start, h.world, tt.a, tt.b), tt.want) })
	}
}

// TestBalance guards against a kind that is given up for another one.
func TestBalance(t *testing.T) {
	b := newBalance()
	s, l := request("s", "a"), request("l", "a")
	l.Due = start.Add(3 * time.Second)
	for range 20 {
		b.count(s, true)
		b.count(l, false)
	}
	assert.Assert(t, b.favour(l) > 1.5)
	assert.Equal(t, b.favour(s), 1.0)
	for range 60 {
		b.count(l, true)
	}
	assert.Assert(t, b.favour(l) < 1.05)
}

// BenchmarkPlace measures one placement against the number of engines, with half of their slots taken.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{16, 69, 230, 660} {
		for _, prompt := range []modeler.Tokens{5_000, 182_000} {
			b.Run(fmt.Sprintf("prompt=%d/engines=%d", prompt, engines), func(b *testing.B) {
				h := newHost("a", "a", engines)
				for i := range engines {
					r := request(modeler.RequestID(fmt.Sprint(i)), "b")
					r.Deadline = start.Add(time.Hour)
					e, _ := h.world.Endpoints.Get(modeler.EndpointID(fmt.Sprintf("e%d", i)))
					h.world.Assign(modeler.Assignment{Request: r, Plan: modeler.Plan{Endpoint: e}, Placed: start}.WithStarted(start))
				}
				r := request("new", "a")
				r.Prompt, r.Due, r.Deadline = prompt, start.Add(3*time.Second), start.Add(time.Hour)
				for b.Loop() {
					h.run(modeler.PlacementRequested{Request: r})
					h.world.Unassign("new")
					h.world.Waiting.Delete("new")
				}
			})
		}
	}
}

// TestSample guards against a large fleet of which only a part gets work, and against a cost of places that grows with the fleet.
func TestSample(t *testing.T) {
	const engines = 300
	h := newHost("a", "a", engines)
	used := map[modeler.EndpointID]bool{}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2*engines - 20 {
		r := request(modeler.RequestID(fmt.Sprint(i)), "a")
		tick := &modeler.Tick{Now: start, Rand: random, Events: []modeler.Event{modeler.PlacementRequested{Request: r}}}
		service, _ := h.world.Configuration.Service("engines")
		assert.Equal(t, len(h.system.candidates(tick, h.world, service, r)), maxCandidates)
		h.system.Run(tick, h.world)
		for _, reply := range effects[modeler.Reply](tick.Effects()) {
			if !reply.Decision.Refused {
				used[reply.Decision.Plan.Endpoint.ID] = true
			}
		}
		h.now = h.now.Add(time.Millisecond)
	}
	assert.Assert(t, len(used) > engines*9/10, "%d engines were used", len(used))
}
