package detector

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/control/ranker"
)

// rankDelay is how much longer each node waits than the node ranked before it, so that not all of them reclaim the same node at
// once.
const rankDelay = time.Second

// reclaim reclaims the nodes that targets returns. It asks every other node that is registered and not gone to
// promise not to vouch for them, appends the record once all have promised, and appends it again until it is read back. Promises are
// never revoked, so a node for which this node has given a promise is reclaimed even if it sends liveness signals again.
func (s *System) reclaim(tick *modeler.Tick, world *modeler.World) {
	if !s.registered || s.trimmed || s.opts.Ledger.Drained() {
		return
	}
	targets, together := s.targets(tick.Now, world)
	if len(targets) == 0 {
		return
	}
	if together {
		s.advanceReclaim(tick, world, targets)
		return
	}
	for _, target := range targets {
		s.advanceReclaim(tick, world, []modeler.NodeID{target})
	}
}

// targets returns the nodes to reclaim and whether one record reclaims them together:
//   - Of several silent nodes, those that the rules declare dead or that were silent for longer than the outage tolerance. Two or more
//     are reclaimed together, because they could still vouch for each other.
//   - A single silent node. All other nodes can promise, so it need not wait for the outage tolerance.
//   - Otherwise, the nodes for which this node has given a promise, each by its own record.
//
// A silent node is included only once it is this node's turn to reclaim it; see isMyTurn.
func (s *System) targets(now time.Time, world *modeler.World) (targets []modeler.NodeID, together bool) {
	var silent, promised []modeler.NodeID
	candidates := reclaimers(world)
	for id, node := range world.Nodes.All() {
		if id == world.Self.ID || !node.Live() {
			continue
		}
		if node.PromisedTo != "" {
			promised = append(promised, id)
		}
		if node.Phase == modeler.NodeSilent && s.isMyTurn(now, world, candidates, id) {
			silent = append(silent, id)
		}
	}
	for _, id := range silent {
		if len(silent) > 1 && (s.declaredDead(world, id) || now.Sub(s.silentSince[id]) > s.opts.OutageTolerance) {
			targets = append(targets, id)
		}
	}
	switch {
	case len(targets) > 1:
		return targets, true
	case len(targets) == 1:
		return targets, false
	case len(silent) == 1:
		return silent, false
	default:
		return promised, false
	}
}

// reclaimers returns the nodes that may reclaim others: this node and the active live nodes.
func reclaimers(world *modeler.World) []modeler.NodeID {
	nodes := make([]modeler.NodeID, 0, world.Nodes.Len())
	for id, node := range world.Nodes.All() {
		if id == world.Self.ID || (node.Live() && node.Phase == modeler.NodeActive) {
			nodes = append(nodes, id)
		}
	}
	return nodes
}

// isMyTurn reports whether this node's turn to reclaim id has come. It computes the rank only while the rank can change the result,
// because it is called in every round for all silent nodes of a lost data centre.
func (s *System) isMyTurn(now time.Time, world *modeler.World, reclaimers []modeler.NodeID, id modeler.NodeID) bool {
	waited := now.Sub(s.silentSince[id].Add(silenceTimeout(s.nodeCount)))
	if waited < 0 || waited >= time.Duration(len(reclaimers))*rankDelay {
		return waited >= 0
	}
	return waited >= time.Duration(ranker.Position(string(id), world.Self.ID, reclaimers))*rankDelay
}

// declaredDead reports whether the rules declare the node dead, by its configured name or by its full node ID.
func (s *System) declaredDead(world *modeler.World, id modeler.NodeID) bool {
	return slices.Contains(world.Rules.DeadNodes, id.Name()) || slices.Contains(world.Rules.DeadNodes, string(id))
}

// advanceReclaim requests the missing promises for the targets, or appends the reclaim record if none is missing.
func (s *System) advanceReclaim(tick *modeler.Tick, world *modeler.World, targets []modeler.NodeID) {
	missing := false
	for _, target := range targets {
		if !s.tryPromise(tick, world, target, world.Self.ID) {
			missing = true
		}
	}
	var promised []modeler.NodeID
	for _, peer := range livePeers(world) {
		if slices.Contains(targets, peer) {
			continue
		}
		promised = append(promised, peer)
		node, _ := world.Nodes.Get(peer)
		for _, target := range targets {
			if _, ok := s.promises[target][peer]; !ok {
				missing = true
				tick.Send(peer, node.Address, modeler.PromiseAsk{Node: target})
			}
		}
	}
	if missing || tick.Now.Before(s.reclaimAt[targets[0]]) {
		return
	}
	s.reclaimAt[targets[0]] = tick.Now.Add(appendTimeout)
	tick.Emit(modeler.AppendRecord{Stream: modeler.StreamControl, Record: s.reclaimRecord(world, targets, promised)})
}

// reclaimRecord builds the record that reclaims targets from this node's ledger and the flows that the promised peers reported.
func (s *System) reclaimRecord(world *modeler.World, targets, promised []modeler.NodeID) modeler.NodeReclaim {
	record := modeler.NodeReclaim{
		Node: targets[0], By: world.Self.ID, With: slices.Clone(targets[1:]), Promised: promised, Wait: modeler.ReclaimDelay,
	}
	for _, target := range targets {
		if len(targets) > 1 && !s.declaredDead(world, target) {
			// The targets may continue to vouch for each other until OutageTolerance after they last read the log, which was
			// before this record was appended. One percent covers the clock drift between nodes.
			record.Wait = s.opts.OutageTolerance + s.opts.OutageTolerance/100 + modeler.ReclaimDelay
		}
		record.Balances = addFlows(record.Balances, world.Self.ID, s.opts.Ledger.Close(target))
		for _, peer := range promised {
			record.Balances = addFlows(record.Balances, peer, s.promises[target][peer])
		}
	}
	return record
}

// addFlows appends the nonzero net flows that peer reported to balances.
func addFlows(balances []modeler.Balance, peer modeler.NodeID, flows []modeler.Flow) []modeler.Balance {
	for _, flow := range flows {
		if net := flow.Sent - flow.Received; net != 0 {
			balances = append(balances, modeler.Balance{Peer: peer, Member: flow.Member, Amount: net})
		}
	}
	return balances
}
