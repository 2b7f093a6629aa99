package lender

import (
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/ranker"
)

// yieldMargin is how much longer one node must have waited than another to get its balance. If the difference is smaller, the node
// with the smaller ID gets it: the waiting times as seen on two nodes differ by the message delay, so without the margin both nodes
// might refuse each other permanently.
const yieldMargin = time.Second

// borrowing is the progress of borrowing for one member.
type borrowing struct {
	startedAt time.Time
	// pending holds the time at which each unanswered BorrowAsk was sent.
	pending map[modeler.NodeID]time.Time
	// order lists the nodes of the current round in the order in which they are asked.
	order []modeler.NodeID
	// next is the index in order of the node to ask next.
	next int
	// refusals counts the refusals since the last transfer.
	refusals int
	// notBefore is the earliest time of the next BorrowAsk after a refusal.
	notBefore time.Time
}

// borrow asks peers for the tokens that queued requests of a member need, preferred keepers first, with at most maxPendingAsks
// unanswered BorrowAsks at a time.
func (s *System) borrow(tick *modeler.Tick, world *modeler.World, member modeler.Member) {
	l := s.borrowings[member.ID]
	if l == nil {
		l = &borrowing{startedAt: tick.Now, pending: map[modeler.NodeID]time.Time{}}
		s.borrowings[member.ID] = l
	}
	wakeAt := tick.Now.Add(askTimeout)
	for node, at := range l.pending {
		if expiry := at.Add(askTimeout); !tick.Now.Before(expiry) {
			delete(l.pending, node)
		} else if expiry.Before(wakeAt) {
			wakeAt = expiry
		}
	}
	if tick.Now.Before(l.notBefore) {
		s.retry.Set(member.ID, l.notBefore)
		return
	}
	for tried := 0; len(l.pending) < maxPendingAsks && tried < len(s.lendingPeers); tried++ {
		node := s.nextPeer(l, member.ID)
		if _, ok := l.pending[node]; ok || !s.mayExchange(world, node) {
			continue
		}
		l.pending[node] = tick.Now
		to, _ := world.Nodes.Get(node)
		tick.Send(node, to.Address, modeler.BorrowAsk{Member: member.ID, Amount: member.Wanted, Waited: tick.Now.Sub(l.startedAt)})
	}
	s.retry.Set(member.ID, wakeAt)
}

// nextPeer returns the next node of the round. A round starts with the two preferred keepers; the other nodes are ranked only if
// these two did not lend enough.
func (s *System) nextPeer(l *borrowing, id modeler.MemberID) modeler.NodeID {
	switch {
	case l.next == 0 || l.next >= len(s.lendingPeers):
		l.order, l.next = ranker.Top(string(id), s.lendingPeers), 0
	case l.next >= len(l.order):
		l.order = ranker.Rank(string(id), s.lendingPeers)
	}
	l.next++
	return l.order[l.next-1]
}

// endAsk deletes the pending BorrowAsk to a node that sent a transfer and resets the backoff.
func (s *System) endAsk(id modeler.MemberID, node modeler.NodeID) {
	if l := s.borrowings[id]; l != nil {
		delete(l.pending, node)
		l.refusals, l.notBefore = 0, time.Time{}
	}
}

// handleRefusal delays the next BorrowAsk by an exponential backoff with jitter, so that the nodes of a member at its cap do not ask
// all other nodes without a pause.
func (s *System) handleRefusal(tick *modeler.Tick, id modeler.MemberID, node modeler.NodeID) {
	l := s.borrowings[id]
	if l == nil {
		return
	}
	if _, ok := l.pending[node]; !ok {
		return
	}
	delete(l.pending, node)
	backoff := min(minBackoff<<min(l.refusals, 10), maxBackoff)
	l.refusals++
	l.notBefore = tick.Now.Add(backoff/2 + time.Duration(tick.Rand.Int64N(int64(backoff/2))))
	s.retry.Set(id, l.notBefore)
}

// lend transfers what a peer asks for, as far as the free balance covers it, or refuses if there is nothing to lend. A node whose
// own queued requests need the balance lends nothing, unless it yields to the peer.
func (s *System) lend(tick *modeler.Tick, world *modeler.World, from modeler.Sender, ask modeler.BorrowAsk) {
	member := memberOrNew(world, ask.Member)
	amount := min(member.Free(), ask.Amount)
	if member.Frozen || (member.Wanted > 0 && !s.yieldsTo(tick.Now, world, from.ID, ask)) {
		amount = 0
	}
	if !s.transfer(tick, world, from.ID, ask.Member, amount) {
		tick.Send(from.ID, from.Address, modeler.BorrowRefusal{Member: ask.Member})
	}
}

// yieldsTo reports whether a peer gets the balance that both nodes need, because it has waited longer or, within yieldMargin,
// because it has the smaller ID.
func (s *System) yieldsTo(now time.Time, world *modeler.World, from modeler.NodeID, ask modeler.BorrowAsk) bool {
	l := s.borrowings[ask.Member]
	if l == nil {
		return false
	}
	switch longer := ask.Waited - now.Sub(l.startedAt); {
	case longer > yieldMargin:
		return true
	case longer < -yieldMargin:
		return false
	default:
		return from < world.Self.ID
	}
}
