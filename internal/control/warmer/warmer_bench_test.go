package warmer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

func engineID(i int) modeler.EndpointID { return modeler.EndpointID(fmt.Sprintf("engine-%03d", i)) }

// newHolder returns a system that holds two of the endpoints; another node holds the rest.
func newHolder(endpoints int) (*System, *modeler.World, []modeler.Endpoint) {
	world := modeler.NewWorld(modeler.Self{
		Sender: modeler.Sender{ID: self}, Weights: modeler.Weights{LongPart: 0.5, WarmCompletions: 2, MaxRunning: 1 << 20, PrefillRate: 10_000},
	})
	world.FenceUntil = start.Add(24 * time.Hour)
	for _, id := range []modeler.NodeID{self, other} {
		world.Nodes.Put(id, modeler.Node{ID: id, Address: "127.0.0.1:1", Registered: true})
	}
	s := New(Options{RenewInterval: time.Hour})
	list := make([]modeler.Endpoint, 0, endpoints)
	events := make([]modeler.Event, 1, endpoints+4)
	for i := range endpoints {
		list = append(list, modeler.Endpoint{ID: engineID(i), Address: "127.0.0.1:2", Capacity: 1 << 40, ColdLimit: 1 << 20, Models: []string{"m"}})
		node := other
		if i < 2 {
			node = self
		}
		events = append(events, modeler.RecordApplied{Record: modeler.Record{Value: modeler.HoldClaimed{Endpoint: engineID(i), Term: 1, Node: node}}})
	}
	events[0] = modeler.EndpointsListed{Endpoints: list}
	events = append(events, modeler.RecordsRead{Stream: modeler.StreamControl, AtEnd: true})
	for i := range 2 {
		events = append(events, modeler.EndpointReported{Endpoint: engineID(i), BootID: "boot", TakenAt: start})
	}
	s.Run(&modeler.Tick{Now: start, Events: events, Rand: rand.New(rand.NewPCG(1, 1))}, world)
	return s, world, list
}

// runAttempt runs one attempt on the first endpoint, from its permit to its release.
func runAttempt(s *System, world *modeler.World, now time.Time, id modeler.AttemptID, release bool) {
	tick := &modeler.Tick{Now: now}
	s.Ask(tick, world, other, modeler.PermitAsk{Attempt: id, Endpoint: engineID(0), Tokens: 1, Prompt: 1, Remaining: time.Hour})
	s.Confirm(&modeler.Tick{}, world, modeler.PermitConfirm{Attempt: id, Endpoint: engineID(0), BootID: "boot"})
	s.Confirm(&modeler.Tick{}, world, modeler.PermitConfirm{Attempt: id, Endpoint: engineID(0), BootID: "boot", FirstToken: true})
	if release {
		s.Release(tick, world, modeler.PermitRelease{Attempt: id, Endpoint: engineID(0), Completed: true})
	}
}

// BenchmarkTick measures a tick without an event.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{20, 200, 660} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			s, world, _ := newHolder(endpoints)
			for b.Loop() {
				s.Run(&modeler.Tick{Now: start}, world)
			}
		})
	}
}

// BenchmarkReleased measures a tick without an event by the number of releases of the last minute.
func BenchmarkReleased(b *testing.B) {
	for _, releases := range []int{10, 100, 1_000} {
		b.Run(fmt.Sprintf("releases=%d", releases), func(b *testing.B) {
			s, world, _ := newHolder(20)
			for i := range releases {
				runAttempt(s, world, start, modeler.AttemptID(fmt.Sprintf("r%d#1", i)), true)
			}
			for b.Loop() {
				s.Run(&modeler.Tick{Now: start}, world)
			}
		})
	}
}

// BenchmarkPermit measures one attempt from its permit to its release, by the permits of the node.
func BenchmarkPermit(b *testing.B) {
	for _, inFlight := range []int{10, 100, 200} {
		b.Run(fmt.Sprintf("inflight=%d", inFlight), func(b *testing.B) {
			s, world, _ := newHolder(20)
			for i := range inFlight {
				runAttempt(s, world, start, modeler.AttemptID(fmt.Sprintf("r%d#1", i)), false)
			}
			n := 0
			for b.Loop() {
				n++
				id := modeler.AttemptID(fmt.Sprintf("x%d#1", n))
				runAttempt(s, world, start, id, true)
				delete(s.releasedAt, id)
			}
		})
	}
}

// BenchmarkReport measures the report of an engine by its requests.
func BenchmarkReport(b *testing.B) {
	for _, inFlight := range []int{10, 100, 200} {
		b.Run(fmt.Sprintf("inflight=%d", inFlight), func(b *testing.B) {
			s, world, _ := newHolder(20)
			report := modeler.EndpointReported{Endpoint: engineID(0), BootID: "boot", TakenAt: start}
			for i := range inFlight {
				id := modeler.AttemptID(fmt.Sprintf("r%d#1", i))
				runAttempt(s, world, start, id, false)
				report.Attempts = append(report.Attempts, modeler.RunningAttempt{Attempt: id, Node: other, Tokens: 1})
			}
			for b.Loop() {
				s.applyReport(&modeler.Tick{Now: start}, world, report)
			}
		})
	}
}

// BenchmarkList measures the instance list, which arrives every second.
func BenchmarkList(b *testing.B) {
	for _, endpoints := range []int{20, 200, 660} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			s, world, list := newHolder(endpoints)
			for b.Loop() {
				s.updateEndpoints(world, list)
			}
		})
	}
}
