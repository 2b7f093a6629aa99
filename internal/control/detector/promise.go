package detector

import (
	"damaskpick.example/damaskpick/internal/control/modeler"
)

// handlePromiseAsk answers a PromiseAsk about id: it promises not to vouch for id any more if tryPromise allows that, and refuses
// otherwise.
func (s *System) handlePromiseAsk(tick *modeler.Tick, world *modeler.World, from modeler.Sender, id modeler.NodeID) {
	if !s.registered || s.evicted || id == world.Self.ID || id == from.ID {
		return
	}
	promise := modeler.Promise{Node: id, Refused: true}
	if s.tryPromise(tick, world, id, from.ID) {
		promise.Refused = false
		promise.Flows = s.opts.Ledger.Close(id)
	}
	tick.Send(from.ID, from.Address, promise)
}

// tryPromise records the promise to node to that this node no longer vouches for id, if id is live and silent, and reports whether
// such a promise exists. The first call only sends a probe to id, so that a node that was itself paused does not give promises about
// nodes whose messages it could not receive.
func (s *System) tryPromise(tick *modeler.Tick, world *modeler.World, id, to modeler.NodeID) bool {
	node, _ := world.Nodes.Get(id)
	if !node.Live() {
		return false
	}
	if node.PromisedTo != "" {
		return true
	}
	probedAt, probed := s.probes[id]
	if !probed || node.LastSeenAt.After(probedAt) || tick.Now.Sub(probedAt) > 10*probeTimeout {
		s.probes[id] = tick.Now
		tick.Send(id, node.Address, s.newVouchAsk(tick))
		return false
	}
	silent := node.Phase == modeler.NodeSilent || tick.Now.Sub(node.LastSeenAt) > silenceTimeout(s.nodeCount)
	if !silent || tick.Now.Sub(probedAt) < probeTimeout {
		return false
	}
	world.Nodes.Put(id, node.WithPromise(to))
	s.opts.Ledger.Close(id)
	return true
}

// handlePromise records the promise of a peer. After a promise about this node, it must never start new work again.
func (s *System) handlePromise(world *modeler.World, from modeler.NodeID, promise modeler.Promise) {
	node, _ := world.Nodes.Get(promise.Node)
	if promise.Refused || !node.Live() && promise.Node != world.Self.ID {
		return
	}
	if promise.Node == world.Self.ID {
		s.evicted = true
		return
	}
	if s.promises[promise.Node] == nil {
		s.promises[promise.Node] = map[modeler.NodeID][]modeler.Flow{}
	}
	s.promises[promise.Node][from] = promise.Flows
	s.checkReclaim = s.checkReclaim || len(s.promises[promise.Node]) >= s.nodeCount-2
}
