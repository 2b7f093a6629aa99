package loadtester

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/elector"
	"damaskpick.example/damaskpick/internal/fleet/learner"
	"damaskpick.example/damaskpick/internal/fleet/modeler"
	"damaskpick.example/damaskpick/internal/fleet/placer"
	"damaskpick.example/damaskpick/internal/fleet/watcher"
)

// linkDelay is the delay of a message between two nodes, or between a node and an engine.
const linkDelay = 1400 * time.Microsecond

// node runs the systems of one node.
type node struct {
	fleet   *fleet
	world   *modeler.World
	systems []modeler.System
	random  *rand.Rand
	// events wait for the next tick. ticking is set once that tick is scheduled.
	events  []modeler.Event
	ticking bool
	wakeAt  time.Time
	dead    bool
	// pausedUntil is the end of the last pause of the node, and cut is set while its messages to and from other nodes are lost.
	pausedUntil time.Time
	cut         bool
	// waiters are called with the decisions on placements.
	waiters map[modeler.RequestID]func(modeler.Decision)
}

func nodeID(i int) modeler.NodeID { return modeler.NodeID(fmt.Sprintf("node-%02d", i)) }

func newNode(f *fleet, i, nodes int) *node {
	self := func(i int) modeler.Node {
		return modeler.Node{
			ID: nodeID(i), Incarnation: uint64(i + 1), Rank: modeler.Position(i + 1), PeerAddress: string(nodeID(i)), DataCentre: f.dataCentre(i),
		}
	}
	n := &node{
		fleet: f, world: modeler.NewWorld(self(i)), random: rand.New(rand.NewPCG(f.seed, uint64(i))),
		waiters: map[modeler.RequestID]func(modeler.Decision){},
		systems: []modeler.System{
			elector.New(placer.LoadSummaries).WithCosts(learner.Summaries), learner.New(f.learnsCosts), watcher.New(),
			placer.New(placer.Options{ColdFactor: 1.5, ColdSlack: 5}),
		},
	}
	for other := range nodes {
		if other != i {
			n.world.Nodes.Put(nodeID(other), self(other).WithLastSeen(f.clock.now))
		}
	}
	n.world.Configuration = modeler.NewConfiguration(1, nil, []modeler.Service{f.service}, nil, modeler.Limits{})
	for _, e := range f.engines {
		n.world.Endpoints.Put(e.endpoint.ID, e.endpoint)
	}
	return n
}

// post adds an event to the next tick.
func (n *node) post(event modeler.Event) {
	if n.dead {
		return
	}
	n.events = append(n.events, event)
	n.wake(n.fleet.clock.now)
}

// wake schedules a tick at the given time at the latest.
func (n *node) wake(at time.Time) {
	if n.ticking && !at.Before(n.wakeAt) {
		return
	}
	n.ticking, n.wakeAt = true, at
	n.fleet.clock.at(at, func() {
		if n.ticking && n.wakeAt.Equal(at) && !n.dead {
			n.tick()
		}
	})
}

func (n *node) tick() {
	n.ticking = false
	if n.fleet.clock.now.Before(n.pausedUntil) {
		n.wake(n.pausedUntil)
		return
	}
	n.world.BeginTick(n.fleet.clock.now)
	tick := &modeler.Tick{Now: n.fleet.clock.now, Rand: n.random, Events: n.events}
	n.events = nil
	for _, system := range n.systems {
		system.Run(tick, n.world)
	}
	for _, effect := range tick.Effects() {
		switch e := effect.(type) {
		case modeler.Send:
			if to := n.fleet.nodes[e.To.ID]; to != nil && !to.cut && !n.cut {
				n.fleet.send(to, e.Message)
			}
		case modeler.Reply:
			if waiter := n.waiters[e.ID]; waiter != nil {
				delete(n.waiters, e.ID)
				waiter(e.Decision)
			}
		default:
			if n.fleet.onEffect != nil {
				n.fleet.onEffect(n, effect)
			}
		}
	}
	if next := tick.Next(); !next.IsZero() {
		if !next.After(tick.Now) {
			next = tick.Now.Add(time.Microsecond)
		}
		n.wake(next)
	}
}

// place requests a placement and calls decided with the decision.
func (n *node) place(request modeler.Request, decided func(modeler.Decision)) {
	n.waiters[request.ID] = decided
	n.post(modeler.PlacementRequested{Request: request})
}
