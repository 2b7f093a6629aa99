package lender

import (
	"maps"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// takeover is a reclaimed node whose requests may still run.
type takeover struct {
	node modeler.NodeID
	// at is when the record that reclaimed the node was read.
	at time.Time
}

// settlement holds the balances that this node took over from other nodes. They are credited once those nodes can start no more work
// and their requests are cancelled.
type settlement struct {
	// at is the earliest time of the credit.
	at time.Time
	// nodes are the nodes whose requests must be cancelled first.
	nodes   []modeler.NodeID
	credits []modeler.Balance
	// members are the members of which this node became the account node. They stay frozen until the credit, because the requests of
	// the nodes may still use more than the accounts show.
	members []modeler.MemberID
}

// applyRecord applies one control record to the accounts and to the balances of this node.
func (s *System) applyRecord(now time.Time, world *modeler.World, e modeler.RecordApplied) {
	if s.accounts.offset == 0 && e.Record.Offset > 1 {
		s.accounts.trimmed = true
	}
	s.accounts.offset = e.Record.Offset
	switch record := e.Record.Value.(type) {
	case modeler.NodeRegistered:
		s.mergeAccounts(now, world, []modeler.NodeID{unownedAccount}, record.Node.ID, e.UsableAt)
		s.lendingPeersAt = time.Time{}
	case modeler.NodeDeparted:
		s.applyDeparted(now, world, record, e.UsableAt)
	case modeler.NodeReclaim:
		s.applyReclaim(now, world, record, e.UsableAt)
	case modeler.Minted:
		if s.accounts.mint(e.Record.Offset, record) {
			s.applyMinted(world, record)
		}
	}
}

// applyMinted applies the changes of a Minted record to the balances of this node.
func (s *System) applyMinted(world *modeler.World, record modeler.Minted) {
	s.mint = mint{}
	for _, change := range record.Changes {
		member := memberOrNew(world, change.Member).WithMintedVersion(record.Version)
		switch own := s.accounts.accountNode[change.Member] == world.Self.ID; {
		case own && change.Amount > 0:
			member = member.WithCredit(change.Amount)
		case own:
			member = member.WithDebt(-change.Amount)
		case change.Amount < 0:
			member = member.WithFrozen(true)
		default:
			continue
		}
		world.Members.Put(change.Member, member)
	}
}

// applyDeparted adds the flows of a node that left to the accounts. Amounts that this node sent and the departed node did not receive
// are credited back.
func (s *System) applyDeparted(now time.Time, world *modeler.World, record modeler.NodeDeparted, usableAt time.Time) {
	returned := map[modeler.MemberID]modeler.Tokens{}
	if l, ok := s.ledgers[record.Node]; ok && record.Node != world.Self.ID {
		maps.Copy(returned, l.net)
		for _, b := range record.Balances {
			if b.Peer == world.Self.ID {
				returned[b.Member] += b.Amount
			}
		}
	}
	for id, amount := range returned {
		if amount > 0 {
			world.Members.Put(id, memberOrNew(world, id).WithCredit(amount))
		}
	}
	s.dropPeer(world, record.Node)
	s.accounts.addFlows(record.Node, record.Balances, -1)
	s.mergeAccounts(now, world, []modeler.NodeID{record.Node}, record.Heir, usableAt)
}

// applyReclaim adds the flows of reclaimed nodes to the accounts.
func (s *System) applyReclaim(now time.Time, world *modeler.World, record modeler.NodeReclaim, usableAt time.Time) {
	for _, node := range record.Nodes() {
		s.dropPeer(world, node)
		s.takeovers[node] = append(s.takeovers[node], takeover{node: node, at: now})
	}
	s.accounts.addFlows(record.Node, record.Balances, 1)
	s.mergeAccounts(now, world, record.Nodes(), record.By, usableAt)
}

// mergeAccounts moves the accounts of nodes to another node. If that is this node, it owes their debts immediately and is credited
// their balances by a settlement, not before usableAt.
func (s *System) mergeAccounts(now time.Time, world *modeler.World, nodes []modeler.NodeID, to modeler.NodeID, usableAt time.Time) {
	sums, members := s.accounts.merge(nodes, to)
	pending := settlement{at: usableAt, nodes: s.recordTakeovers(now, nodes, to)}
	if to != world.Self.ID {
		return
	}
	for _, b := range sums {
		if b.Amount > 0 {
			pending.credits = append(pending.credits, b)
			continue
		}
		world.Members.Put(b.Member, memberOrNew(world, b.Member).WithDebt(-b.Amount))
	}
	for _, id := range members {
		if s.accounts.reductionOffset[id] > 0 {
			pending.members = append(pending.members, id)
			world.Members.Put(id, memberOrNew(world, id).WithFrozen(true))
		}
	}
	if len(sums)+len(pending.members) > 0 {
		s.settlements = append(s.settlements, pending)
	}
}

// recordTakeovers moves the takeovers of nodes to node to and returns the reclaimed nodes whose requests may still run.
func (s *System) recordTakeovers(now time.Time, nodes []modeler.NodeID, to modeler.NodeID) []modeler.NodeID {
	var running []modeler.NodeID
	for _, node := range nodes {
		for _, t := range s.takeovers[node] {
			if now.Sub(t.at) < takeoverRetention {
				running = append(running, t.node)
				s.takeovers[to] = append(s.takeovers[to], t)
			}
		}
		delete(s.takeovers, node)
	}
	return running
}

// settle credits the settlements that are due and whose nodes have no running requests.
func (s *System) settle(tick *modeler.Tick, world *modeler.World) {
	var rest []settlement
	for _, pending := range s.settlements {
		if tick.Now.Before(pending.at) || !s.requestsCancelled(pending.nodes) {
			rest = append(rest, pending)
			tick.WakeAt(later(pending.at, tick.Now.Add(cancelPollInterval)))
			continue
		}
		for _, b := range pending.credits {
			world.Members.Put(b.Member, memberOrNew(world, b.Member).WithCredit(b.Amount))
		}
		for _, id := range pending.members {
			// Put marks the member as changed, so that updateMember checks whether it can be unfrozen.
			world.Members.Put(id, memberOrNew(world, id))
		}
	}
	s.settlements = rest
}

// requestsCancelled reports whether no endpoint runs a request of nodes any more.
func (s *System) requestsCancelled(nodes []modeler.NodeID) bool {
	for _, node := range nodes {
		if !s.opts.RequestsCancelled(node) {
			return false
		}
	}
	return true
}

// debtPaidOff reports whether this node is the account node of a member, all debt of the member is paid off, and no settlement of the
// member is pending.
func (s *System) debtPaidOff(world *modeler.World, id modeler.MemberID) bool {
	if s.accounts.accountNode[id] != world.Self.ID || memberOrNew(world, id).Debt > 0 {
		return false
	}
	for _, pending := range s.settlements {
		for _, other := range pending.members {
			if other == id {
				return false
			}
		}
	}
	return true
}

// tryUnfreeze unfreezes a member if this node is its account node and the debt is paid off. A node that is not the account node
// transfers its free balance to the account node and, if it still has or wants balance of the member, sends it a DebtAsk. tryUnfreeze
// returns the member as stored afterwards.
func (s *System) tryUnfreeze(tick *modeler.Tick, world *modeler.World, member modeler.Member) modeler.Member {
	id := member.ID
	if s.debtPaidOff(world, id) {
		member = member.WithFrozen(false)
		world.Members.Put(id, member)
		return member
	}
	to := s.accounts.accountNode[id]
	if to == world.Self.ID {
		return member
	}
	if member.Free() > 0 && s.transfer(tick, world, to, id, member.Free()) {
		member = memberOrNew(world, id)
	}
	if member.Balance > 0 || member.Wanted > 0 {
		node, _ := world.Nodes.Get(to)
		tick.Send(to, node.Address, modeler.DebtAsk{Member: id})
		s.retry.Set(id, tick.Now.Add(resendAfter))
	}
	return member
}

// handleDebtPaid unfreezes a member if its account node reports that the debt of the last reduction is paid off.
func (s *System) handleDebtPaid(world *modeler.World, from modeler.NodeID, m modeler.DebtPaid) {
	member := memberOrNew(world, m.Member)
	if member.Frozen && s.accounts.accountNode[m.Member] == from && m.Offset >= s.accounts.reductionOffset[m.Member] {
		world.Members.Put(m.Member, member.WithFrozen(false))
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
