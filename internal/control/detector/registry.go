package detector

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// applyRecords applies records of the control stream in offset order and postpones the fence if the read reached the end of the
// stream.
func (s *System) applyRecords(tick *modeler.Tick, world *modeler.World, e modeler.RecordsRead) {
	for _, record := range e.Records {
		switch {
		case record.Offset <= s.offset:
			continue
		case s.offset == 0 && record.Offset > 1:
			s.trimmed = true
		case s.offset > 0 && record.Offset > s.offset+1:
			// The records that the log's retention dropped may have reclaimed this node.
			s.evicted = true
		}
		s.offset = record.Offset
		s.applyRecord(tick, world, record)
	}
	if e.AtEnd && e.AskedAt.After(world.LogEndReadAt) {
		world.LogEndReadAt = e.AskedAt
		s.postponeFence(world, e.AskedAt)
	}
}

// applyRecord applies one record to the Nodes table. If the record takes effect, it raises RecordApplied for later systems.
func (s *System) applyRecord(tick *modeler.Tick, world *modeler.World, record modeler.Record) {
	applied := modeler.RecordApplied{Record: record}
	switch value := record.Value.(type) {
	case modeler.NodeRegistered:
		if !s.applyRegistered(tick, world, value) {
			return
		}
		// The empty ID stands for a departure without an heir. The next node that registers takes over its balances.
		applied.UsableAt = s.balancesUsableAt(tick.Now, []modeler.NodeID{""}, value.Node.ID, 0)
	case modeler.NodeDeparted:
		if !validDeparture(world, value) {
			return
		}
		applied.UsableAt = s.balancesUsableAt(tick.Now, []modeler.NodeID{value.Node}, value.Heir, 0)
		s.endNode(world, value.Node, modeler.NodeLeft)
		s.dropNodes([]modeler.NodeID{value.Node})
	case modeler.NodeReclaim:
		if !validReclaim(world, value) {
			return
		}
		applied.UsableAt = s.balancesUsableAt(tick.Now, value.Nodes(), value.By, max(value.Wait, modeler.ReclaimDelay))
		for _, node := range value.Nodes() {
			s.endNode(world, node, modeler.NodeReclaimed)
		}
		s.dropNodes(value.Nodes())
	case modeler.Minted:
		if !isLive(world, value.By) {
			return
		}
	case modeler.HoldClaimed:
		if !isLive(world, value.Node) {
			return
		}
	}
	tick.Raise(applied)
}

// applyRegistered adds a registered node and reports whether the record took effect.
func (s *System) applyRegistered(tick *modeler.Tick, world *modeler.World, value modeler.NodeRegistered) bool {
	id := value.Node.ID
	node, ok := world.Nodes.Get(id)
	if ok && (node.Registered || node.Gone()) {
		return false
	}
	node.ID = id
	node = node.WithSender(value.Node).WithRegistered()
	if node.LastSeenAt.IsZero() {
		node = node.WithLastSeen(tick.Now)
	}
	world.Nodes.Put(id, node)
	if id == world.Self.ID {
		s.registered = true
	}
	return true
}

// endNode sets the final phase of a node that left or was reclaimed.
func (s *System) endNode(world *modeler.World, id modeler.NodeID, phase modeler.NodePhase) {
	node, _ := world.Nodes.Get(id)
	world.Nodes.Put(id, node.WithPhase(phase))
	if id != world.Self.ID {
		return
	}
	if phase == modeler.NodeLeft {
		s.departed = true
	} else {
		s.evicted = true
	}
}

// balancesUsableAt returns when node to may use the balances that it takes over from the nodes in from: after wait, and not before
// those nodes could have used the balances that they had taken over themselves.
func (s *System) balancesUsableAt(now time.Time, from []modeler.NodeID, to modeler.NodeID, wait time.Duration) time.Time {
	at := now.Add(wait)
	for _, node := range from {
		if s.usableAt[node].After(at) {
			at = s.usableAt[node]
		}
		delete(s.usableAt, node)
	}
	if at.After(now) && at.After(s.usableAt[to]) {
		s.usableAt[to] = at
	}
	return at
}

func isLive(world *modeler.World, id modeler.NodeID) bool {
	node, _ := world.Nodes.Get(id)
	return node.Live()
}

// validReclaim reports whether a reclaim takes effect at its offset. Every node computes the same result from the preceding
// records.
func validReclaim(world *modeler.World, record modeler.NodeReclaim) bool {
	nodes := record.Nodes()
	if !isLive(world, record.By) || slices.Contains(nodes, record.By) {
		return false
	}
	for _, node := range nodes {
		if !isLive(world, node) {
			return false
		}
	}
	for id, node := range world.Nodes.All() {
		if node.Live() && id != record.By && !slices.Contains(nodes, id) && !slices.Contains(record.Promised, id) {
			return false
		}
	}
	return allPeersLive(world, record.Balances)
}

// validDeparture reports whether a departure takes effect at its offset.
func validDeparture(world *modeler.World, record modeler.NodeDeparted) bool {
	if !isLive(world, record.Node) || record.Heir == record.Node {
		return false
	}
	if record.Heir != "" {
		return isLive(world, record.Heir) && allPeersLive(world, record.Balances)
	}
	for id, node := range world.Nodes.All() {
		if id != record.Node && node.Live() {
			return false
		}
	}
	return true
}

// allPeersLive reports whether every peer of balances is live. The lender's accounts already include the flows of peers that are
// gone, so a balance of such a peer would be counted twice. Equal peers are expected to be adjacent, so that each is looked up once.
func allPeersLive(world *modeler.World, balances []modeler.Balance) bool {
	checked := modeler.NodeID("")
	for _, b := range balances {
		if b.Peer != checked && !isLive(world, b.Peer) {
			return false
		}
		checked = b.Peer
	}
	return true
}
