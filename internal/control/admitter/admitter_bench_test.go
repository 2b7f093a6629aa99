package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/router"
)

var benchStart = time.Unix(1_000_000, 0)

// newAdmission returns an admission system whose endpoints are all held by another node.
func newAdmission(endpoints int) (*System[router.LengthAware], *modeler.World) {
	weights := modeler.Weights{LongPart: 0.5, PrefillRate: 10_000, FirstTokenTimeout: time.Second, MaxRunning: 1 << 20, RetryPart: 0.1}
	world := modeler.NewWorld(modeler.Self{Sender: modeler.Sender{ID: "a/1", DataCentre: "east"}, Weights: weights})
	world.FenceUntil = benchStart.Add(24 * time.Hour)
	world.Rules = modeler.Rules{Version: 1, Fleet: 1 << 50, Shares: []modeler.ShareRule{{Member: "m", Percent: 100}}}
	world.Members.Put("m", modeler.Member{ID: "m", Cap: 1 << 50, Balance: 1 << 50})
	world.Nodes.Put("b/1", modeler.Node{ID: "b/1", Address: "127.0.0.1:1", Registered: true})
	for i := range endpoints {
		id := modeler.EndpointID(fmt.Sprintf("engine-%03d", i))
		world.Endpoints.Put(id, modeler.Endpoint{
			ID: id, Models: []string{"model-0", "model-1"}, Capacity: 1 << 40, ColdLimit: 2, Phase: modeler.Warm, Holder: "b/1", DataCentre: "east",
		})
	}
	return New(weights, nil, func(r modeler.Request) modeler.AttemptID { return NewAttemptID(r.ID, "1") },
		func(cache *PrefixCache, _ func(modeler.EndpointID) uint64) router.LengthAware {
			return router.LengthAware{Weights: weights, DataCentre: "east", CachedOn: cache.Get}
		}), world
}

// start admits a request, confirms its first token and returns its attempt.
func start(s *System[router.LengthAware], world *modeler.World, id modeler.RequestID, r *rand.Rand) modeler.AttemptID {
	request := modeler.Request{
		ID: id, Member: "m", Target: "model-1", Prompt: 1_000, MaxOutput: 1, ArrivedAt: benchStart, Deadline: benchStart.Add(time.Hour),
	}
	run(s, world, r, modeler.RequestArrived{Request: request})
	admitted, _ := world.Requests.Get(id)
	run(s, world, r, modeler.PeerAnswered{Messages: []modeler.Message{modeler.PermitGiven{Attempt: admitted.Attempt, Endpoint: admitted.Endpoint, Term: 1}}})
	run(s, world, r, modeler.AttemptConfirmed{Attempt: admitted.Attempt})
	run(s, world, r, modeler.FirstTokenSeen{Attempt: admitted.Attempt})
	return admitted.Attempt
}

func run(s *System[router.LengthAware], world *modeler.World, r *rand.Rand, events ...modeler.Event) {
	s.Run(&modeler.Tick{Now: benchStart, Rand: r, Events: events}, world)
	world.Requests.Changed()
}

// BenchmarkTick measures a tick without an event, by the requests in flight.
func BenchmarkTick(b *testing.B) {
	for _, inFlight := range []int{10, 100, 1_000} {
		b.Run(fmt.Sprintf("inflight=%d", inFlight), func(b *testing.B) {
			s, world := newAdmission(20)
			r := rand.New(rand.NewPCG(1, 1))
			for i := range inFlight {
				start(s, world, modeler.RequestID(fmt.Sprintf("r%d", i)), r)
			}
			for b.Loop() {
				run(s, world, r)
			}
		})
	}
}

// BenchmarkRequest measures one request from its arrival to its end, in six ticks, by endpoints and by requests in flight.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		key   string
		sizes []int
	}{{"endpoints", []int{20, 200, 660}}, {"inflight", []int{10, 100, 1_000}}} {
		for _, size := range c.sizes {
			b.Run(fmt.Sprintf("%s=%d", c.key, size), func(b *testing.B) {
				endpoints, inFlight := 20, 10
				if c.key == "endpoints" {
					endpoints = size
				} else {
					inFlight = size
				}
				s, world := newAdmission(endpoints)
				r := rand.New(rand.NewPCG(1, 1))
				for i := range inFlight {
					start(s, world, modeler.RequestID(fmt.Sprintf("r%d", i)), r)
				}
				n := 0
				for b.Loop() {
					n++
					id := modeler.RequestID(fmt.Sprintf("x%d", n))
					attempt := start(s, world, id, r)
					run(s, world, r, modeler.RequestEnded{Request: id, Completed: true})
					run(s, world, r, modeler.PeerAnswered{Messages: []modeler.Message{modeler.PermitReleased{Attempt: attempt}}})
				}
			})
		}
	}
}
