package detector

import (
	"maps"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// extend opens the fence for FenceTimeout from askedAt, when the question was sent. The time of the answer must not count,
// because the answer may be older than a promise or a reclaim that was made meanwhile.
func (s *System) extend(world *modeler.World, askedAt time.Time) {
	if s.condemned || s.departed || !s.registered || s.opts.Ledger.Drained() {
		return
	}
	if limit := world.LogEndReadAt.Add(s.opts.OutageTolerance); askedAt.Add(modeler.FenceTimeout).After(limit) {
		return
	}
	if until := askedAt.Add(modeler.FenceTimeout); until.After(world.FenceUntil) {
		world.FenceUntil = until
	}
}

// ask sends the question for a vouch and notes when it was asked.
func (s *System) ask(tick *modeler.Tick) modeler.VouchAsk {
	s.nonce++
	s.asked[s.nonce] = tick.Now
	return modeler.VouchAsk{Nonce: s.nonce}
}

// dropAsked forgets questions whose answer would no longer extend the fence.
func (s *System) dropAsked(now time.Time) {
	maps.DeleteFunc(s.asked, func(_ uint64, at time.Time) bool { return now.Sub(at) > modeler.FenceTimeout })
}

// vouched accepts a vouch. A vouch of a node that this node promised away does not count, because that node may have been
// reclaimed without knowing it, and its promise is then missing from the record that reclaimed this node.
func (s *System) vouched(world *modeler.World, from modeler.NodeID, vouch modeler.Vouch) {
	askedAt, ok := s.asked[vouch.Nonce]
	node, _ := world.Nodes.Get(from)
	if !ok || vouch.For != world.Self.ID || !node.Live() || node.PromisedTo != "" {
		return
	}
	s.extend(world, askedAt)
}

// answerVouch vouches for a live node that was not promised away, and tells it otherwise if it was.
func (s *System) answerVouch(tick *modeler.Tick, world *modeler.World, from modeler.Sender, ask modeler.VouchAsk) {
	node, _ := world.Nodes.Get(from.ID)
	switch {
	case node.PromisedTo != "" || node.Phase == modeler.NodeReclaimed:
		tick.Send(from.ID, from.Address, modeler.Promise{Node: from.ID})
	case node.Live() && s.registered && !s.condemned && !s.departing && !s.departed:
		tick.Send(from.ID, from.Address, modeler.Vouch{For: from.ID, Nonce: ask.Nonce})
	}
}
