// Package elector decides which nodes live and which of them coordinates placement. There is no vote: each node takes the live node with
// the lowest rank, and ranks are offsets in the store. Two coordinators at a time cost quality of placement, never safety.
package elector

import (
	"cmp"
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/fleet/modeler"
)

const (
	// beatInterval is the time between two beats of a node and its coordinator.
	beatInterval = 250 * time.Millisecond
	// coordinatorTimeout is how long a coordinator may be silent: three beats and the delay of a datagram.
	coordinatorTimeout = 800 * time.Millisecond
	// helloInterval is the time between two beats to nodes that are not the coordinator, so that the others find a node without it.
	helloInterval = time.Second
	// nodeTimeout is how long any other node may be silent: two hellos and some delay.
	nodeTimeout = 2500 * time.Millisecond
	// electors is the number of nodes of lowest rank that greet all others. The rest greets only these, so that greetings grow with the
	// number of nodes and not with its square.
	electors = 6
	// digestEvery is the number of beats of the coordinator between two digests: two of them fit into nodeTimeout.
	digestEvery = 4
	// forgetAfter is when a node that is silent gets no beats any more; a node that comes back sends its own.
	forgetAfter = 20 * time.Second
)

// System keeps the nodes and the coordinator.
type System struct {
	nextBeat, nextHello time.Time
	beats               int
	// introduced counts the digests that named a start of a node, and turn is where the next one goes on with rows of all nodes.
	introduced map[uint64]int
	turn       int
	// loads summarises the load of endpoints for the digest.
	loads func(now time.Time, world *modeler.World) map[modeler.EndpointID]modeler.LoadSummary
}

// New returns the system. loads summarises the load of endpoints for other nodes.
func New(loads func(time.Time, *modeler.World) map[modeler.EndpointID]modeler.LoadSummary) *System {
	return &System{loads: loads, introduced: map[uint64]int{}}
}

// Run implements modeler.System.
func (s *System) Run(tick *modeler.Tick, world *modeler.World) {
	for _, event := range tick.Events {
		switch e := event.(type) {
		case modeler.SelfRegistered:
			world.Self = world.Self.WithRank(e.Rank)
			tick.Emit(modeler.Note{Name: modeler.NoteNodeRegistered, Fields: []modeler.Field{{Key: "Rank", Value: e.Rank}}})
			s.nextBeat, s.nextHello = tick.Now, tick.Now
		case modeler.NodeRegistered:
			learn(world, e.Node)
			s.nextHello = tick.Now
		case modeler.LeaveAsked:
			world.Self = world.Self.WithLeaving(true)
			s.nextBeat, s.nextHello = tick.Now, tick.Now
		case modeler.PeerReceived:
			s.receive(tick, world, e.Message)
		}
	}
	s.elect(tick, world)
	s.beat(tick, world)
}

// learn adds a node, or a newer start of a known one.
func learn(world *modeler.World, node modeler.Node) bool {
	if node.ID == world.Self.ID || node.ID == "" {
		return false
	}
	known, ok := world.Nodes.Get(node.ID)
	if ok && (known.Incarnation == node.Incarnation || known.Rank != modeler.UnregisteredRank && node.Rank < known.Rank) {
		return false
	}
	world.Nodes.Put(node.ID, node)
	return true
}

func (s *System) receive(tick *modeler.Tick, world *modeler.World, message modeler.Message) {
	switch body := message.Body.(type) {
	case modeler.Beat:
		if learn(world, body.Node) {
			s.nextHello = tick.Now
		}
		row, ok := world.Nodes.Get(message.From)
		if !ok || row.Incarnation != message.Incarnation {
			return
		}
		row = row.WithLeaving(body.Node.Leaving).WithRank(body.Node.Rank).WithCoordinates(body.Coordinates)
		world.Nodes.Put(message.From, row)
	case modeler.Digest:
		s.report(tick.Now, world, body)
		if message.From == world.Coordinator {
			world.Loads, world.LoadsAt = body.Loads, tick.Now
		}
	}
	row, ok := world.Nodes.Get(message.From)
	if !ok || row.Incarnation != message.Incarnation {
		return
	}
	world.Nodes.Put(message.From, row.WithHeard(tick.Now))
	if message.From == world.Coordinator {
		world.Doubted = false
	}
}

// Live tells whether a node counts as running.
func Live(node modeler.Node, now time.Time) bool {
	last := node.HeardAt
	if node.ReportedAt.After(last) {
		last = node.ReportedAt
	}
	return !last.IsZero() && now.Sub(last) < nodeTimeout
}

// elect takes the node with the lowest rank among those that live and stay.
func (s *System) elect(tick *modeler.Tick, world *modeler.World) {
	best := world.Self
	if best.Leaving {
		best.Rank = modeler.UnregisteredRank
	}
	for id, node := range world.Nodes.All() {
		// Another node's word does not make a coordinator: this node must hear it.
		if node.Leaving || node.Rank >= best.Rank || node.HeardAt.IsZero() || tick.Now.Sub(node.HeardAt) >= nodeTimeout {
			continue
		}
		// A coordinator beats at short intervals; it had time for it since it was taken. A node that this one took, and that itself
		// follows another, is heard at the longer ones.
		if id == world.Coordinator && node.Coordinates && tick.Now.Sub(later(node.HeardAt, world.CoordinatorSince)) > coordinatorTimeout {
			continue
		}
		best = node
	}
	if world.Coordinator != "" && world.Coordinator != world.Self.ID {
		tick.WakeAt(tick.Now.Add(coordinatorTimeout / 4))
	}
	if best.ID == world.Coordinator {
		return
	}
	if old, ok := world.Nodes.Get(world.Coordinator); ok && !old.Leaving && Live(old, tick.Now) && old.Rank < best.Rank {
		// The old coordinator fell silent. It counts again once it is heard.
		old.HeardAt, old.ReportedAt = time.Time{}, time.Time{}
		world.Nodes.Put(old.ID, old)
	}
	tick.Emit(modeler.Note{Name: modeler.NoteCoordinatorChanged, Fields: []modeler.Field{
		{Key: "Coordinator", Value: string(best.ID)}, {Key: "Replaced", Value: string(world.Coordinator)}, {Key: "Rank", Value: best.Rank},
	}})
	world.Coordinator, world.CoordinatorSince, world.Doubted = best.ID, tick.Now, false
	s.nextBeat = tick.Now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beat tells the others that this node lives. A node that coordinates tells all of them, others mostly the coordinator.
func (s *System) beat(tick *modeler.Tick, world *modeler.World) {
	if tick.Now.Before(s.nextBeat) && tick.Now.Before(s.nextHello) {
		tick.WakeAt(earlier(s.nextBeat, s.nextHello))
		return
	}
	hello := !tick.Now.Before(s.nextHello)
	message := s.message(world)
	var digest *modeler.Digest
	if world.Coordinates() {
		if s.beats++; s.beats%digestEvery == 0 || hello {
			digest = s.digest(tick.Now, world)
		}
	}
	greeted, elects := lowest(tick.Now, world)
	world.Elects = elects
	for id, node := range world.Nodes.All() {
		if !node.HeardAt.IsZero() && tick.Now.Sub(node.HeardAt) > forgetAfter && !hello {
			continue
		}
		if world.Coordinates() || world.ReadsForAll || id == world.Coordinator || hello && (elects || greeted[id]) {
			tick.Emit(modeler.Send{To: node, Message: message})
			if digest != nil {
				tick.Emit(modeler.Send{To: node, Message: world.Message(*digest)})
			}
		}
	}
	s.nextBeat = tick.Now.Add(beatInterval)
	if hello {
		s.nextHello = tick.Now.Add(helloInterval)
	}
	tick.WakeAt(earlier(s.nextBeat, s.nextHello))
}

// lowest returns the other nodes of lowest rank among those that live, and whether this node is one of them. Nodes that ended keep their
// rows, so that they would fill the list after some time.
func lowest(now time.Time, world *modeler.World) (others map[modeler.NodeID]bool, self bool) {
	nodes := []modeler.Node{world.Self}
	for _, node := range world.Nodes.All() {
		if Live(node, now) || node.HeardAt.IsZero() {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(a, b modeler.Node) int { return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.ID, b.ID)) })
	others = map[modeler.NodeID]bool{}
	for _, node := range nodes[:min(len(nodes), electors)] {
		if node.ID == world.Self.ID {
			self = true
			continue
		}
		others[node.ID] = true
	}
	return others, self
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *System) message(world *modeler.World) modeler.Message {
	body := modeler.Beat{Node: world.Self, Coordinates: world.Coordinates(), Known: world.Known, ReadsForAll: world.ReadsForAll}
	for _, id := range world.ByNode.Keys(world.Self.ID) {
		if a, ok := world.Assignments.Get(id); ok {
			body.Running = append(body.Running, a)
		}
	}
	return world.Message(body)
}

// Alive returns the nodes that run and stay, this one included, in order of their ids.
func Alive(world *modeler.World, now time.Time) []modeler.Node {
	var alive []modeler.Node
	if !world.Self.Leaving {
		alive = append(alive, world.Self)
	}
	for _, node := range world.Nodes.All() {
		if !node.Leaving && Live(node, now) {
			alive = append(alive, node)
		}
	}
	slices.SortFunc(alive, func(a, b modeler.Node) int { return cmp.Compare(a.ID, b.ID) })
	return alive
}
