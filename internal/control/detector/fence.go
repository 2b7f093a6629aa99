package detector

import (
	"maps"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// postponeFence sets FenceUntil to FenceTimeout after askedAt, the time at which the VouchAsk or the read of the log was sent, if
// that is later. The arrival of the answer must not count, because a promise or a reclaim may have been made after the answer was
// sent.
// FenceUntil is never later than the outage tolerance after the last read that reached the end of the log.
func (s *System) postponeFence(world *modeler.World, askedAt time.Time) {
	if s.evicted || s.departed || !s.registered || s.opts.Ledger.Drained() {
		return
	}
	if limit := world.LogEndReadAt.Add(s.opts.OutageTolerance); askedAt.Add(modeler.FenceTimeout).After(limit) {
		return
	}
	if until := askedAt.Add(modeler.FenceTimeout); until.After(world.FenceUntil) {
		world.FenceUntil = until
	}
}

// newVouchAsk returns a VouchAsk with a new nonce and records the time at which it is sent.
func (s *System) newVouchAsk(tick *modeler.Tick) modeler.VouchAsk {
	s.nonce++
	s.asks[s.nonce] = tick.Now
	return modeler.VouchAsk{Nonce: s.nonce}
}

// dropExpiredAsks drops the nonces whose vouch would no longer postpone the fence.
func (s *System) dropExpiredAsks(now time.Time) {
	maps.DeleteFunc(s.asks, func(_ uint64, at time.Time) bool { return now.Sub(at) > modeler.FenceTimeout })
}

// handleVouch postpones the fence by the vouch of a live node. It ignores the vouch if this node has promised not to vouch for the
// sender: the sender may have been reclaimed without having read the record. A reclaim of this node would then not ask the sender for
// a promise, so its vouch proves nothing.
func (s *System) handleVouch(world *modeler.World, from modeler.NodeID, vouch modeler.Vouch) {
	askedAt, ok := s.asks[vouch.Nonce]
	node, _ := world.Nodes.Get(from)
	if !ok || vouch.For != world.Self.ID || !node.Live() || node.PromisedTo != "" {
		return
	}
	s.postponeFence(world, askedAt)
}

// handleVouchAsk vouches for a live node. It answers with a Promise instead if this node has promised not to vouch for the
// node, or if the node was reclaimed.
func (s *System) handleVouchAsk(tick *modeler.Tick, world *modeler.World, from modeler.Sender, ask modeler.VouchAsk) {
	node, _ := world.Nodes.Get(from.ID)
	switch {
	case node.PromisedTo != "" || node.Phase == modeler.NodeReclaimed:
		tick.Send(from.ID, from.Address, modeler.Promise{Node: from.ID})
	case node.Live() && s.registered && !s.evicted && !s.departing && !s.departed:
		tick.Send(from.ID, from.Address, modeler.Vouch{For: from.ID, Nonce: ask.Nonce})
	}
}
