package detector

import (
	"slices"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// read applies records of the control stream in offset order.
func (s *System) read(tick *modeler.Tick, world *modeler.World, e modeler.RecordsRead) {
	for _, record := range e.Records {
		switch {
		case record.Offset <= s.offset:
			continue
		case s.offset == 0 && record.Offset > 1:
			s.trimmed = true
		case s.offset > 0 && record.Offset > s.offset+1:
			// Records that were lost to retention may have ended this node.
			s.condemned = true
		}
		s.offset = record.Offset
		s.apply(tick, world, record)
	}
	if e.AtEnd && e.AskedAt.After(world.LogEndReadAt) {
		world.LogEndReadAt = e.AskedAt
		s.extend(world, e.AskedAt)
	}
}

// apply changes the Nodes table by one record and raises it for later systems if it took effect.
func (s *System) apply(tick *modeler.Tick, world *modeler.World, record modeler.Record) {
	applied := modeler.RecordApplied{Record: record}
	switch value := record.Value.(type) {
	case modeler.NodeRegistered:
		if !s.applyRegistered(tick, world, value) {
			return
		}
		applied.UsableAt = s.usableAt(tick.Now, []modeler.NodeID{""}, value.Node.ID, 0)
	case modeler.NodeDeparted:
		if !validDeparture(world, value) {
			return
		}
		applied.UsableAt = s.usableAt(tick.Now, []modeler.NodeID{value.Node}, value.Heir, 0)
		s.end(world, value.Node, modeler.NodeLeft)
		s.forget([]modeler.NodeID{value.Node})
	case modeler.NodeReclaim:
		if !validReclaim(world, value) {
			return
		}
		applied.UsableAt = s.usableAt(tick.Now, value.Nodes(), value.By, max(value.Wait, modeler.ReclaimDelay))
		for _, node := range value.Nodes() {
			s.end(world, node, modeler.NodeReclaimed)
		}
		s.forget(value.Nodes())
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

func (s *System) end(world *modeler.World, id modeler.NodeID, phase modeler.NodePhase) {
	node, _ := world.Nodes.Get(id)
	world.Nodes.Put(id, node.WithPhase(phase))
	if id != world.Self.ID {
		return
	}
	if phase == modeler.NodeLeft {
		s.departed = true
	} else {
		s.condemned = true
	}
}

// usableAt returns when a node may use what it gets from others: after wait, and not before those could use what they had
// reclaimed themselves.
func (s *System) usableAt(now time.Time, from []modeler.NodeID, to modeler.NodeID, wait time.Duration) time.Time {
	at := now.Add(wait)
	for _, node := range from {
		if s.usable[node].After(at) {
			at = s.usable[node]
		}
		delete(s.usable, node)
	}
	if at.After(now) && at.After(s.usable[to]) {
		s.usable[to] = at
	}
	return at
}

func isLive(world *modeler.World, id modeler.NodeID) bool {
	node, _ := world.Nodes.Get(id)
	return node.Live()
}

// validReclaim tells whether a reclaim takes effect at its offset. Every node computes the same from the records before it.
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
	return livePeers(world, record.Balances)
}

// validDeparture tells whether a departure takes effect at its offset.
func validDeparture(world *modeler.World, record modeler.NodeDeparted) bool {
	if !isLive(world, record.Node) || record.Heir == record.Node {
		return false
	}
	if record.Heir != "" {
		return isLive(world, record.Heir) && livePeers(world, record.Balances)
	}
	for id, node := range world.Nodes.All() {
		if id != record.Node && node.Live() {
			return false
		}
	}
	return true
}

// livePeers tells whether every peer is live. The flows of a peer that is gone are in the accounts already.
func livePeers(world *modeler.World, balances []modeler.Balance) bool {
	checked := modeler.NodeID("")
	for _, b := range balances {
		if b.Peer != checked && !isLive(world, b.Peer) {
			return false
		}
		checked = b.Peer
	}
	return true
}
