package lender

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/ranker"
)

// receive handles the messages of one batch from a peer.
func (s *System) receive(tick *modeler.Tick, world *modeler.World, from modeler.Sender, messages []modeler.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case modeler.BorrowAsk:
			s.lend(tick, world, from, m)
		case modeler.BorrowRefusal:
			s.handleRefusal(tick, m.Member, from.ID)
		case modeler.TransferSent:
			s.receiveTransfer(tick, world, from, m.Transfer)
		case modeler.TransferAck:
			s.handleAck(world, from.ID, m.ID)
		case modeler.DebtAsk:
			if s.debtPaidOff(world, m.Member) {
				tick.Send(from.ID, from.Address, modeler.DebtPaid{Member: m.Member, Offset: s.accounts.offset})
			}
		case modeler.DebtPaid:
			s.handleDebtPaid(world, from.ID, m)
		}
	}
}

// moveIdle transfers a free balance that no queued request of this node needs to the two preferred keepers of the member, half to
// each, so that a borrower finds it with two BorrowAsks. A preferred keeper keeps the balance, unless it is leaving.
func (s *System) moveIdle(tick *modeler.Tick, world *modeler.World, id modeler.MemberID) {
	member, ok := world.Members.Get(id)
	if !ok || member.Free() <= 0 || member.Frozen || member.Wanted > 0 {
		return
	}
	nodes := s.lendingPeers
	if !s.leaving {
		nodes = append([]modeler.NodeID{world.Self.ID}, s.lendingPeers...)
	}
	top := ranker.Top(string(id), nodes)
	if slices.Contains(top, world.Self.ID) {
		s.idle.Set(id, tick.Now.Add(recheckAfter+time.Duration(tick.Rand.Int64N(int64(recheckAfter)))))
		return
	}
	for i, node := range top {
		s.transfer(tick, world, node, id, member.Free()/modeler.Tokens(len(top)-i))
		member = memberOrNew(world, id)
	}
	if member.Free() > 0 {
		s.idle.Set(id, tick.Now.Add(resendAfter))
	}
}

// startLeaving hands over all free balances once this leaving node has stopped serving callers. Balances that are refunded later
// are handed over as they become free.
func (s *System) startLeaving(tick *modeler.Tick, world *modeler.World) {
	if s.leaving || !world.Leaving || !s.opts.MayHandOver() {
		return
	}
	s.leaving = true
	for id := range world.Members.All() {
		s.updateMember(tick, world, id)
	}
}

// checkDrained marks a leaving node as drained once it has handed over all balances. Balances that cannot be handed over because
// no other node is live stay in its account, and the next node that registers gets them.
func (s *System) checkDrained(world *modeler.World) {
	if s.drained || !s.leaving || len(s.settlements) > 0 {
		return
	}
	for _, member := range world.Members.All() {
		if member.Used > 0 || (member.Balance > 0 && len(s.lendingPeers) > 0) {
			return
		}
	}
	for _, t := range world.Transfers.All() {
		if l := s.ledgers[t.To]; l != nil && !l.closed {
			return
		}
	}
	s.drained = true
	world.FenceUntil = time.Time{}
}
