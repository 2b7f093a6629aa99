package detector

import (
	"damaskpick.example/damaskpick/internal/control/modeler"
)

// answerPromise promises not to vouch for a node any more, if this node has not heard from it lately.
func (s *System) answerPromise(tick *modeler.Tick, world *modeler.World, from modeler.Sender, id modeler.NodeID) {
	if !s.registered || s.condemned || id == world.Self.ID || id == from.ID {
		return
	}
	promise := modeler.Promise{Node: id, Refused: true}
	if s.promise(tick, world, id, from.ID) {
		promise.Refused = false
		promise.Flows = s.opts.Ledger.Close(id)
	}
	tick.Send(from.ID, from.Address, promise)
}

// promise gives a node up if it is live and silent, and tells whether it is given up. A first call only probes the node, so
// that a node that was itself paused does not give up those that it could not hear.
func (s *System) promise(tick *modeler.Tick, world *modeler.World, id, to modeler.NodeID) bool {
	node, _ := world.Nodes.Get(id)
	if !node.Live() {
		return false
	}
	if node.PromisedTo != "" {
		return true
	}
	probedAt, probed := s.probed[id]
	if !probed || node.LastSeenAt.After(probedAt) || tick.Now.Sub(probedAt) > 10*probeTime {
		s.probed[id] = tick.Now
		tick.Send(id, node.Address, s.ask(tick))
		return false
	}
	silent := node.Phase == modeler.NodeSilent || tick.Now.Sub(node.LastSeenAt) > silentAfter(s.count)
	if !silent || tick.Now.Sub(probedAt) < probeTime {
		return false
	}
	world.Nodes.Put(id, node.WithPromise(to))
	s.opts.Ledger.Close(id)
	return true
}

// promised notes the promise of a peer. A promise that names this node tells that its fence must never open again.
func (s *System) promised(world *modeler.World, from modeler.NodeID, promise modeler.Promise) {
	node, _ := world.Nodes.Get(promise.Node)
	if promise.Refused || !node.Live() && promise.Node != world.Self.ID {
		return
	}
	if promise.Node == world.Self.ID {
		s.condemned = true
		return
	}
	if s.promises[promise.Node] == nil {
		s.promises[promise.Node] = map[modeler.NodeID][]modeler.Flow{}
	}
	s.promises[promise.Node][from] = promise.Flows
	s.complete = s.complete || len(s.promises[promise.Node]) >= s.count-2
}
