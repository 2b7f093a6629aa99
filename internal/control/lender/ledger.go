package lender

import (
	"fmt"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// peerLedger sums up the balances that this node and one peer sent each other. A closed ledger never changes.
type peerLedger struct {
	closed bool
	// net is the amount sent minus the amount received. Entries that become zero are deleted, which keeps the ledgers small.
	net map[modeler.MemberID]modeler.Tokens
	// lastSent is the sequence number of the last transfer to the peer.
	lastSent uint64
	// receivedTo is the sequence number up to which all transfers of the peer were received.
	receivedTo uint64
	// outOfOrder holds the sequence numbers above receivedTo that were received.
	outOfOrder map[uint64]struct{}
}

// ledger returns the ledger of a peer and creates it if there is none.
func (s *System) ledger(node modeler.NodeID) *peerLedger {
	l, ok := s.ledgers[node]
	if !ok {
		l = &peerLedger{net: map[modeler.MemberID]modeler.Tokens{}, outOfOrder: map[uint64]struct{}{}}
		s.ledgers[node] = l
	}
	return l
}

// markReceived records the sequence number of a received transfer and reports whether it is new.
func (l *peerLedger) markReceived(seq uint64) bool {
	if _, ok := l.outOfOrder[seq]; ok || seq <= l.receivedTo {
		return false
	}
	l.outOfOrder[seq] = struct{}{}
	for {
		if _, ok := l.outOfOrder[l.receivedTo+1]; !ok {
			return true
		}
		l.receivedTo++
		delete(l.outOfOrder, l.receivedTo)
	}
}

// add records that amount was sent to the peer. A negative amount was received.
func (l *peerLedger) add(id modeler.MemberID, amount modeler.Tokens) {
	l.net[id] += amount
	if l.net[id] == 0 {
		delete(l.net, id)
	}
}

// mayExchange reports whether balances may be exchanged with a node. Both nodes must be registered in the records that this node
// has read, because the record that reclaims a node needs the ledgers of exactly the nodes that were registered before it.
func (s *System) mayExchange(world *modeler.World, id modeler.NodeID) bool {
	self, _ := world.Nodes.Get(world.Self.ID)
	node, _ := world.Nodes.Get(id)
	if !self.Live() || !node.Live() || node.PromisedTo != "" {
		return false
	}
	l, ok := s.ledgers[id]
	return !ok || !l.closed
}

// transfer moves amount of a member's free balance to a node and reports whether it did. The amount is subtracted on this node before
// it is sent. A drained node sends nothing, because its departure record already states what it sent; later credits from the log go
// to its heir.
func (s *System) transfer(tick *modeler.Tick, world *modeler.World, to modeler.NodeID, id modeler.MemberID, amount modeler.Tokens) bool {
	if amount <= 0 || s.drained || to == world.Self.ID || !s.mayExchange(world, to) {
		return false
	}
	member, ok := memberOrNew(world, id).WithDebit(amount)
	if !ok {
		return false
	}
	world.Members.Put(id, member)
	l := s.ledger(to)
	l.lastSent++
	l.add(id, amount)
	t := modeler.Transfer{
		ID:     modeler.TransferID(fmt.Sprintf("%s>%s#%d", world.Self.ID, to, l.lastSent)),
		Member: id, From: world.Self.ID, To: to, Amount: amount, Seq: l.lastSent,
	}
	s.send(tick, world, t)
	return true
}

// send sends a transfer and schedules the next resend.
func (s *System) send(tick *modeler.Tick, world *modeler.World, t modeler.Transfer) {
	node, _ := world.Nodes.Get(t.To)
	t = t.WithResendAt(tick.Now.Add(resendAfter << min(t.Sends, maxResendShift)))
	world.Transfers.Put(t.ID, t)
	s.resend.Set(t.ID, t.ResendAt)
	tick.Send(t.To, node.Address, modeler.TransferSent{Transfer: t})
}

// resendTransfer sends a transfer again. A transfer to a node whose ledger is closed is dropped but counts as sent, and the reclaim
// of that node credits the balance to the reclaiming node.
func (s *System) resendTransfer(tick *modeler.Tick, world *modeler.World, id modeler.TransferID) {
	t, ok := world.Transfers.Get(id)
	if !ok {
		return
	}
	if l := s.ledgers[t.To]; l == nil || l.closed {
		world.Transfers.Delete(id)
		return
	}
	s.send(tick, world, t)
}

// receiveTransfer credits a transfer once, however often it arrives. It does not acknowledge a transfer that it must not credit, so
// that the sender continues to count it as sent.
func (s *System) receiveTransfer(tick *modeler.Tick, world *modeler.World, from modeler.Sender, t modeler.Transfer) {
	if t.To != world.Self.ID || t.From != from.ID || s.drained || !s.mayExchange(world, from.ID) {
		return
	}
	tick.Send(from.ID, from.Address, modeler.TransferAck{ID: t.ID})
	l := s.ledger(from.ID)
	if !l.markReceived(t.Seq) {
		return
	}
	l.add(t.Member, -t.Amount)
	member := memberOrNew(world, t.Member).WithCredit(t.Amount)
	world.Members.Put(t.Member, member.WithWanted(member.Wanted-min(t.Amount, member.Wanted)))
	s.endAsk(t.Member, from.ID)
}

// handleAck drops a transfer that its receiver acknowledged.
func (s *System) handleAck(world *modeler.World, from modeler.NodeID, id modeler.TransferID) {
	if t, ok := world.Transfers.Get(id); ok && t.To == from {
		world.Transfers.Delete(id)
		s.resend.Clear(id)
	}
}

// dropPeer deletes the state of a node that is gone. From now on, the accounts include the flows with it.
func (s *System) dropPeer(world *modeler.World, node modeler.NodeID) {
	delete(s.ledgers, node)
	for id, t := range world.Transfers.All() {
		if t.To == node {
			world.Transfers.Delete(id)
			s.resend.Clear(id)
		}
	}
	for _, l := range s.borrowings {
		delete(l.pending, node)
	}
	s.lendingPeersAt = s.lendingPeersAt.Add(-modeler.GossipInterval)
}
